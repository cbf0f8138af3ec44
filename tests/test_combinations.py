"""Property tests of crashing requests and draining servers over several instances."""

from __future__ import annotations

import itertools
import math
from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.fleet import Fleet
from tests.harness import first_note, shard_map, snapshot
from turmerictiller.core import effects, events
from turmerictiller.core.servers.quarantine import FIRST_QUARANTINE_MS

INSTANCES = 4
SERVICES = 2
CRASHING = "crash me"
SPREAD_MS = 3_000.0
DRAINED = "jobs-0-s0"


# A caller repeats a request after its answer; copies in flight together cost servers each.
GAPS_MS = st.sampled_from([20.0, 20.0, 700.0, 3_500.0, 20_000.0])


class UpstreamFleet(Fleet):
    """A fleet with upstreams that answer, shed, crash at one request and start again.

    :param tells: by server, the instances to which it reports that it drains.
    :param sent: time, server and incarnation of every call to a server.
    """

    def __init__(self, seed: int) -> None:
        super().__init__(INSTANCES, seed)
        self.delay_ms = 5.0
        self.shards = shard_map(SERVICES)
        self.starts: dict[str, int] = {}
        self.running: dict[str, list[tuple[int, int]]] = {}
        self.tells: dict[str, set[int]] = {}
        self.sent: list[tuple[float, str, str]] = []
        self.lost: list[tuple[float, str]] = []
        self.shed_share = 0.0
        self.call_ids = itertools.count(1)
        self.refusals: list[str] = []
        for index in range(INSTANCES):
            self.start(index)
        self.publish(first_note(services=SERVICES))
        self.advance(6_000)
        assert all(node and len(node.state.shard_maps_by_snapshot) == 1 for node in self.nodes)

    def search(self, index: int, query: str) -> None:
        """Let a caller search at an instance."""
        event = events.SearchArrived(self.at, next(self.call_ids), "booking", query)
        self._dispatch(index, event)

    def incarnation(self, server_id: str) -> str:
        return f"{server_id}-{self.starts.get(server_id, 0)}"

    def status(self, server_id: str, index: int) -> events.UpstreamStatus:
        """Return what a server says to an instance."""
        draining = index in self.tells.get(server_id, ())
        names = (snapshot(1, self.shards),)
        return events.UpstreamStatus(self.incarnation(server_id), draining, names)

    def on_effect(self, index: int, effect: effects.Effect) -> None:
        match effect:
            case effects.PollHealth(server_id=server):
                status = self.status(server, index)
                self._reply(index, lambda: events.HealthReported(self.at, server, status))
            case effects.FetchShardMap(server_id=server, snapshot=name):
                shards = self.shards
                self._reply(index, lambda: events.ShardMapSeen(self.at, server, name, shards))
            case effects.SendSearch():
                self._serve(index, effect)
            case effects.ReplyRefusal(refusal=refusal):
                self.refusals.append(refusal.type.value)

    def _serve(self, index: int, effect: effects.SendSearch) -> None:
        server = effect.server_id
        self.sent.append((self.at, server, self.incarnation(server)))
        self.running.setdefault(server, []).append((index, effect.attempt_id))
        if effect.query == CRASHING:
            self._crash(server)
        elif self.rng.random() < self.shed_share:
            status = self.status(server, index)
            kind, id_ = events.FailureKind.SHED, effect.attempt_id
            self._end(index, server, id_, lambda: events.AttemptFailed(self.at, id_, kind, status))
        else:
            self._answer(index, effect)

    def _answer(self, index: int, effect: effects.SendSearch) -> None:
        shards, status = self.shards[effect.service], self.status(effect.server_id, index)
        hits = tuple(events.Hit(1.0, shard, "1") for shard in shards)
        id_, name = effect.attempt_id, effect.snapshot
        self._end(
            index,
            effect.server_id,
            id_,
            lambda: events.AttemptAnswered(self.at, id_, name, shards, hits, status),
        )

    def _crash(self, server: str) -> None:
        """Lose a server with everything that it runs; it starts again as another incarnation."""
        self.lost.append((self.at, server))
        self.starts[server] = self.starts.get(server, 0) + 1
        for index, id_ in self.running.pop(server):
            self._reply(index, self._loss(id_))

    def _loss(self, id_: int) -> Callable[[], events.Event]:
        return lambda: events.AttemptFailed(self.at, id_, events.FailureKind.LOST)

    def _end(self, index: int, server: str, id_: int, make: Callable[[], events.Event]) -> None:
        started = self.starts.get(server, 0)

        def end() -> events.Event:
            if started == self.starts.get(server, 0):
                self.running[server].remove((index, id_))
                return make()
            return events.Tick(self.at)

        self._reply(index, end)

    def _reply(self, index: int, make: Callable[[], events.Event]) -> None:
        self._schedule(index, make, self.nodes[index], 1 + self.rng.random() * 5)


def most_lost(instances: int, after_ms: float) -> int:
    """Return how many servers a crashing request may cost within a time since its first call.

    The caller repeats the request only after its answer. An instance that has not heard of the
    quarantine loses one server per service, and one more by the retry of the first loss. Each
    instance that imposed a quarantine tests it after 30 s, with doubled waits.
    """
    tests = math.floor(math.log2(1 + after_ms / FIRST_QUARANTINE_MS))
    return instances * (SERVICES + 1 + tests)


@settings(max_examples=12)
@given(
    st.integers(0, 2**16),
    st.lists(
        st.tuples(st.integers(0, INSTANCES - 1), GAPS_MS),
        min_size=8,
        max_size=20,
    ),
)
def test_crashing_request_costs_a_bounded_number_of_servers(
    seed: int, calls: list[tuple[int, float]]
) -> None:
    """Guards against a request that takes down one server after another through new instances."""
    fleet = UpstreamFleet(seed)
    began = fleet.at
    unaware: set[int] = set()
    for index, gap_ms in calls:
        if fleet.at - began < SPREAD_MS:
            unaware.add(index)
        fleet.search(index, CRASHING)
        fleet.search((index + 1) % INSTANCES, f"velvet {fleet.at}")
        fleet.advance(gap_ms)
        assert len(fleet.lost) <= most_lost(len(unaware), fleet.at - began)


def test_quarantine_reaches_other_instances_before_a_slow_caller() -> None:
    """Guards against a quarantine that each instance learns at the cost of its own servers."""
    fleet = UpstreamFleet(1)
    for index in range(INSTANCES):
        fleet.search(index, CRASHING)
        fleet.advance(SPREAD_MS)
    assert 2 <= len(fleet.lost) <= most_lost(1, 0)
    assert fleet.refusals == ["quarantined"] * INSTANCES


@pytest.mark.parametrize("source", ["list", "peer", "answers"])
@settings(max_examples=10)
@given(seed=st.integers(0, 2**16))
def test_draining_server_gets_no_new_work_whichever_source_is_left(source: str, seed: int) -> None:
    """Guards against work for a draining server, retries included, when two of three sources fail."""
    fleet = UpstreamFleet(seed)
    fleet.shed_share = 0.3
    keep_searching(fleet, 1_000)
    began, incarnation = fleet.at, fleet.incarnation(DRAINED)
    start_draining(fleet, source, incarnation)
    keep_searching(fleet, 8_000)
    late = [row for row in fleet.sent if row[1:] == (DRAINED, incarnation)]
    assert [row for row in late if row[0] <= began], "the server had no work before"
    assert [row for row in late if row[0] > began + SPREAD_MS] == []
    # Another incarnation takes work again although the old reports go on.
    fleet.starts[DRAINED] = 1
    fleet.tells.clear()
    keep_searching(fleet, 3_000)
    assert [row for row in fleet.sent if row[2] == f"{DRAINED}-1"]


def keep_searching(fleet: UpstreamFleet, ms: float) -> None:
    """Search at every instance all the time."""
    for _ in range(int(ms / 50)):
        for index in range(INSTANCES):
            fleet.search(index, f"velvet {fleet.at} {index}")
        fleet.advance(50)


def start_draining(fleet: UpstreamFleet, source: str, incarnation: str) -> None:
    """Let a server drain such that only one source tells of it."""
    if source == "answers":
        fleet.tells[DRAINED] = set(range(INSTANCES))
    elif source == "peer":
        fleet.tells[DRAINED] = {0}
    else:
        row: Any = ("upstream", "127.0.0.1:1", "plateau", True, incarnation)
        rows = (events.ListedInstance(DRAINED, *row),)
        for index in range(INSTANCES):
            fleet._schedule(index, lambda: events.InstanceListSeen(fleet.at, 2, rows), None, 1.0)
    if source != "peer":
        pairs = itertools.permutations(range(INSTANCES), 2)
        fleet.cut_links |= set(pairs)
