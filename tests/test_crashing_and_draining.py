"""Property tests of requests that crash servers, and of draining servers, on several instances."""

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
from turmerictiller.core.servers.quarantine import INITIAL_QUARANTINE_MS

INSTANCE_COUNT = 4
SERVICE_COUNT = 2
CRASHING_QUERY = "crash me"
PROPAGATION_MS = 3_000.0
DRAINING_SERVER = "jobs-0-s0"

# A caller repeats a request only after its answer: several copies in flight at the same time would
# each crash servers.
GAPS_MS = st.sampled_from([20.0, 20.0, 700.0, 3_500.0, 20_000.0])


class UpstreamFleet(Fleet):
    """Fleet whose upstreams answer, shed load, crash on one query and restart.

    :ivar restarts: number of restarts by server.
    :ivar in_flight: instance and attempt id of the unanswered attempts, by server.
    :ivar drain_reported_to: by server, the instances to which it reports that it is draining.
    :ivar sent: time, server and incarnation of every attempt.
    :ivar crashes: time and server of every crash.
    """

    def __init__(self, seed: int) -> None:
        super().__init__(INSTANCE_COUNT, seed)
        self.delay_ms = 5.0
        self.shards = shard_map(SERVICE_COUNT)
        self.restarts: dict[str, int] = {}
        self.in_flight: dict[str, list[tuple[int, int]]] = {}
        self.drain_reported_to: dict[str, set[int]] = {}
        self.sent: list[tuple[float, str, str]] = []
        self.crashes: list[tuple[float, str]] = []
        self.shed_share = 0.0
        self.call_ids = itertools.count(1)
        self.refusals: list[str] = []
        for index in range(INSTANCE_COUNT):
            self.start(index)
        self.publish(first_note(services=SERVICE_COUNT))
        self.advance(6_000)
        assert all(node and len(node.state.shard_maps_by_snapshot) == 1 for node in self.nodes)

    def search(self, index: int, query: str) -> None:
        """Send a search to an instance."""
        event = events.SearchArrived(self.at, next(self.call_ids), "booking", query)
        self._dispatch(index, event)

    def incarnation(self, server_id: str) -> str:
        return f"{server_id}-{self.restarts.get(server_id, 0)}"

    def status(self, server_id: str, index: int) -> events.UpstreamStatus:
        """Return the status that a server reports to an instance."""
        draining = index in self.drain_reported_to.get(server_id, ())
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
        self.in_flight.setdefault(server, []).append((index, effect.attempt_id))
        if effect.query == CRASHING_QUERY:
            self._crash(server)
        elif self.rng.random() < self.shed_share:
            status = self.status(server, index)
            kind, id_ = events.FailureKind.SHED, effect.attempt_id
            self._finish(
                index, server, id_, lambda: events.AttemptFailed(self.at, id_, kind, status)
            )
        else:
            self._answer(index, effect)

    def _answer(self, index: int, effect: effects.SendSearch) -> None:
        shards, status = self.shards[effect.service], self.status(effect.server_id, index)
        hits = tuple(events.Hit(1.0, shard, "1") for shard in shards)
        id_, name = effect.attempt_id, effect.snapshot
        self._finish(
            index,
            effect.server_id,
            id_,
            lambda: events.AttemptAnswered(self.at, id_, name, shards, hits, status),
        )

    def _crash(self, server: str) -> None:
        """Fail all attempts in flight on a server and restart it with a new incarnation."""
        self.crashes.append((self.at, server))
        self.restarts[server] = self.restarts.get(server, 0) + 1
        for index, id_ in self.in_flight.pop(server):
            self._reply(index, self._make_lost(id_))

    def _make_lost(self, id_: int) -> Callable[[], events.Event]:
        return lambda: events.AttemptFailed(self.at, id_, events.FailureKind.LOST)

    def _finish(
        self, index: int, server: str, id_: int, make_event: Callable[[], events.Event]
    ) -> None:
        """Deliver the result of an attempt, unless the server crashes before."""
        restarts = self.restarts.get(server, 0)

        def finish() -> events.Event:
            if restarts == self.restarts.get(server, 0):
                self.in_flight[server].remove((index, id_))
                return make_event()
            return events.Tick(self.at)

        self._reply(index, finish)

    def _reply(self, index: int, make_event: Callable[[], events.Event]) -> None:
        self._schedule(index, make_event, self.nodes[index], 1 + self.rng.random() * 5)


def max_crashes(instances: int, after_ms: float) -> int:
    """Return the maximum number of crashes within a time after the first crashing request.

    The caller repeats the request only after its answer. On an instance that has not received the
    quarantine, the request crashes one server per service, and one more through the retry after the
    first crash. An instance that imposed a quarantine tests the request again after 30 s, and
    doubles the wait after each failed test.

    :param instances: number of instances that had not received the quarantine.
    """
    tests = math.floor(math.log2(1 + after_ms / INITIAL_QUARANTINE_MS))
    return instances * (SERVICE_COUNT + 1 + tests)


@settings(max_examples=12)
@given(
    st.integers(0, 2**16),
    st.lists(
        st.tuples(st.integers(0, INSTANCE_COUNT - 1), GAPS_MS),
        min_size=8,
        max_size=20,
    ),
)
def test_crashing_request_costs_a_bounded_number_of_servers(
    seed: int, calls: list[tuple[int, float]]
) -> None:
    """Guards against a request that crashes server after server as it reaches new instances."""
    fleet = UpstreamFleet(seed)
    started_at = fleet.at
    unaware_instances: set[int] = set()
    for index, gap_ms in calls:
        if fleet.at - started_at < PROPAGATION_MS:
            unaware_instances.add(index)
        fleet.search(index, CRASHING_QUERY)
        fleet.search((index + 1) % INSTANCE_COUNT, f"velvet {fleet.at}")
        fleet.advance(gap_ms)
        assert len(fleet.crashes) <= max_crashes(len(unaware_instances), fleet.at - started_at)


def test_quarantine_reaches_other_instances_before_a_slow_caller() -> None:
    """Guards against a quarantine that is not propagated, so that each instance loses servers."""
    fleet = UpstreamFleet(1)
    for index in range(INSTANCE_COUNT):
        fleet.search(index, CRASHING_QUERY)
        fleet.advance(PROPAGATION_MS)
    assert 2 <= len(fleet.crashes) <= max_crashes(1, 0)
    assert fleet.refusals == ["quarantined"] * INSTANCE_COUNT


@pytest.mark.parametrize("source", ["list", "peer", "answers"])
@settings(max_examples=10)
@given(seed=st.integers(0, 2**16))
def test_draining_server_gets_no_new_work_with_only_one_source(source: str, seed: int) -> None:
    """Guards against attempts and retries on a draining server when two of three sources fail."""
    fleet = UpstreamFleet(seed)
    fleet.shed_share = 0.3
    keep_searching(fleet, 1_000)
    started_at, incarnation = fleet.at, fleet.incarnation(DRAINING_SERVER)
    start_draining(fleet, source, incarnation)
    keep_searching(fleet, 8_000)
    attempts = [row for row in fleet.sent if row[1:] == (DRAINING_SERVER, incarnation)]
    assert [
        row for row in attempts if row[0] <= started_at
    ], "the server got no attempts before it drained"
    assert [row for row in attempts if row[0] > started_at + PROPAGATION_MS] == []
    # A new incarnation gets work again although the drain of the old one is still reported.
    fleet.restarts[DRAINING_SERVER] = 1
    fleet.drain_reported_to.clear()
    keep_searching(fleet, 3_000)
    assert [row for row in fleet.sent if row[2] == f"{DRAINING_SERVER}-1"]


def keep_searching(fleet: UpstreamFleet, ms: float) -> None:
    """Send a search to every instance each 50 ms."""
    for _ in range(int(ms / 50)):
        for index in range(INSTANCE_COUNT):
            fleet.search(index, f"velvet {fleet.at} {index}")
        fleet.advance(50)


def start_draining(fleet: UpstreamFleet, source: str, incarnation: str) -> None:
    """Drain a server so that only one source reports it.

    :param source: the instance list (``list``), gossip (``peer``) or ``answers`` of the server.
    """
    if source == "answers":
        fleet.drain_reported_to[DRAINING_SERVER] = set(range(INSTANCE_COUNT))
    elif source == "peer":
        fleet.drain_reported_to[DRAINING_SERVER] = {0}
    else:
        row: Any = ("upstream", "127.0.0.1:1", "plateau", True, incarnation)
        rows = (events.ListedInstance(DRAINING_SERVER, *row),)
        for index in range(INSTANCE_COUNT):
            fleet._schedule(index, lambda: events.InstanceListSeen(fleet.at, 2, rows), None, 1.0)
    if source != "peer":
        pairs = itertools.permutations(range(INSTANCE_COUNT), 2)
        fleet.cut_links |= set(pairs)
