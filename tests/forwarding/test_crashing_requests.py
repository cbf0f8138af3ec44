"""Tests of the quarantine of requests that crash every server that runs them, under usual load."""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import pytest

from tests.forwarding.driving import (
    Driver,
    configuration,
    gather_route,
    good_answer,
    sharded_driver,
    single_route,
    single_service_driver,
)
from tests.forwarding.gossip_simulation import instance
from turmerictiller.forwarding.effects import (
    CancelAttempt,
    ProbeConnection,
    ReplyRefusal,
    SendAttempt,
    SendGossip,
    WriteLog,
)
from turmerictiller.forwarding.events import (
    AttemptAnswered,
    AttemptFailed,
    ConnectionProbed,
    FailureKind,
    GossipReceived,
    Tick,
)
from turmerictiller.forwarding.peers import build_gossip

if TYPE_CHECKING:
    from collections.abc import Callable

    from turmerictiller.forwarding.effects import Effect
    from turmerictiller.forwarding.events import Event
    from turmerictiller.forwarding.model import Route

CRASHING = 99
ONE_WAY_MS = 1.0
RESTART_MS = 3_000.0  # downtime of a server that crashed
PROPAGATION_MS = 4_000.0  # after the third crash, the platform allows three more retries
SEARCH = gather_route(10, 0.89, 145.0)
SINGLE = single_route()


@dataclass
class Fleet:
    """Instances and servers in virtual time; requests with one fingerprint crash servers.

    :param down_until: when a server that crashed accepts connections again.
    :param crashed_at: times at which servers crashed.
    :param refused_at: times at which callers were refused.
    :param suspect_count: number of times that an instance suspected a request.
    :param received_at: times at which the crashing request reached a running server.
    """

    instances: int
    servers: int
    service_ms: float
    rng: random.Random = field(default_factory=lambda: random.Random(1))
    drivers: list[Driver] = field(default_factory=list)
    down_until: dict[str, float] = field(default_factory=dict)
    crashed_at: list[float] = field(default_factory=list)
    received_at: list[float] = field(default_factory=list)
    refused_at: list[float] = field(default_factory=list)
    suspect_count: int = 0
    crashing_calls: set[tuple[int, int]] = field(default_factory=set)
    attempts_by_server: dict[str, dict[tuple[int, int], None]] = field(default_factory=dict)
    _due: list[tuple[float, int, Callable[[float], None]]] = field(default_factory=list)
    _number: int = 0

    def __post_init__(self) -> None:
        for number in range(1, self.instances + 1):
            driver = instance(number)
            driver.start(configuration(SEARCH, SINGLE, version=2), self.servers)
            self.drivers.append(driver)
        for index in range(self.instances):
            self._tick(index)

    def run(
        self,
        seconds: float,
        per_second: float,
        route: Route,
        crash_every_ms: float,
        fingerprint: int = 0,
    ) -> None:
        """Send requests to random instances at a mean rate, and the crashing one periodically.

        :param fingerprint: fingerprint of all other requests; 0 if each has its own.
        """
        start = self.drivers[0].now
        end = start + seconds * 1_000
        at = start
        while (at := at + self.rng.expovariate(per_second / 1_000)) < end:
            self.schedule(at, lambda now: self._send_request(now, route, fingerprint))
        at = start + 2_000
        while at < end:
            self.schedule(at, lambda now: self._send_request(now, route, CRASHING))
            at += crash_every_ms
        while self._due and self._due[0][0] <= end:
            at, _, action = heapq.heappop(self._due)
            action(at)

    def late_receipts(self) -> int:
        """Return how often the crashing request reached servers after the propagation time."""
        if len(self.crashed_at) < 3:
            return 0
        known_by = sorted(self.crashed_at)[2] + PROPAGATION_MS
        return sum(at > known_by for at in self.received_at)

    def schedule(self, at: float, action: Callable[[float], None]) -> None:
        """Schedule an action at a time."""
        self._number += 1
        heapq.heappush(self._due, (at, self._number, action))

    def _send_request(self, now: float, route: Route, fingerprint: int) -> None:
        index = self.rng.randrange(self.instances)
        driver = self.drivers[index]
        driver.now = now
        before = len(driver.effects)
        if fingerprint == CRASHING:
            self.crashing_calls.add((index, driver.last_call + 1))
        driver.request(f"{route.prefix}x", route.timeout_ms, fingerprint)
        self._run_effects(index, driver.effects[before:])

    def _dispatch(self, index: int, event: Event) -> None:
        self.drivers[index].now = event.at
        self._run_effects(index, self.drivers[index].dispatch(event))

    def _run_effects(self, index: int, effects: list[Effect]) -> None:
        now = self.drivers[index].now
        for effect in effects:
            if isinstance(effect, SendAttempt):
                self.schedule(now + ONE_WAY_MS, lambda at, e=effect: self._receive(index, e, at))  # type: ignore[misc]
            elif isinstance(effect, CancelAttempt):
                for running in self.attempts_by_server.values():
                    running.pop((index, effect.attempt_id), None)
            elif isinstance(effect, ProbeConnection):
                self.schedule(now + ONE_WAY_MS, lambda at, e=effect: self._probe(index, e, at))  # type: ignore[misc]
            elif isinstance(effect, SendGossip):
                self._gossip(index, effect)
            elif isinstance(effect, ReplyRefusal):
                self.refused_at.append(now)
            elif isinstance(effect, WriteLog):
                self.suspect_count += effect.event == "request_suspected"
        self.drivers[index].effects.clear()
        self._tick(index)

    def _tick(self, index: int) -> None:
        due_at = self.drivers[index].state.timers.next_at()
        if due_at is not None:
            self.schedule(
                max(due_at, self.drivers[index].now), lambda now: self._on_tick(index, now)
            )

    def _on_tick(self, index: int, now: float) -> None:
        due_at = self.drivers[index].state.timers.next_at()
        if due_at is not None and due_at <= now:
            self._dispatch(index, Tick(now))

    def _receive(self, index: int, effect: SendAttempt, now: float) -> None:
        if now < self.down_until.get(effect.server_id, 0.0):
            self._fail(index, effect.attempt_id, FailureKind.REFUSED, now)
            return
        running = self.attempts_by_server.setdefault(effect.server_id, {})
        running[index, effect.attempt_id] = None
        if (index, effect.call_id) in self.crashing_calls:
            self.received_at.append(now)
            self.crash(effect.server_id, now)
            return
        ends_at = now + self.service_ms * self.rng.uniform(0.6, 1.4)
        self.schedule(ends_at, lambda at: self._finish(index, effect, at))

    def crash(self, server_id: str, now: float) -> None:
        """Reset all attempts that a server runs, and refuse connections to it for some seconds."""
        self.crashed_at.append(now)
        self.down_until[server_id] = now + RESTART_MS
        for index, attempt_id in self.attempts_by_server.pop(server_id, {}):
            self._fail(index, attempt_id, FailureKind.RESET, now)

    def _finish(self, index: int, effect: SendAttempt, now: float) -> None:
        running = self.attempts_by_server.get(effect.server_id, {})
        if (index, effect.attempt_id) in running:
            del running[index, effect.attempt_id]
            reply = good_answer(signature=f"{effect.server_id}/{effect.attempt_id}".encode())
            event = AttemptAnswered(now + ONE_WAY_MS, effect.attempt_id, reply)
            self.schedule(event.at, lambda at: self._dispatch(index, event))

    def _fail(self, index: int, attempt_id: int, failure: FailureKind, now: float) -> None:
        event = AttemptFailed(
            now + ONE_WAY_MS, attempt_id, failure, failure is not FailureKind.REFUSED
        )
        self.schedule(event.at, lambda at: self._dispatch(index, event))

    def _probe(self, index: int, effect: ProbeConnection, now: float) -> None:
        is_up = now >= self.down_until.get(effect.server_id, 0.0)
        failure = None if is_up else FailureKind.REFUSED
        event = ConnectionProbed(now + ONE_WAY_MS, effect.server_id, failure)
        self.schedule(event.at, lambda at: self._dispatch(index, event))

    def _gossip(self, index: int, effect: SendGossip) -> None:
        indices = [
            number
            for number, driver in enumerate(self.drivers)
            if driver.state.settings.peer_address == effect.address
        ]
        if not indices:
            return
        receiver = self.drivers[indices[0]]
        now = receiver.now = self.drivers[index].now
        reply = build_gossip(receiver.state)
        self._dispatch(indices[0], GossipReceived(now, effect.message))
        self.schedule(
            now + 2 * ONE_WAY_MS, lambda at: self._dispatch(index, GossipReceived(at, reply))
        )


@pytest.mark.parametrize(("instances", "crash_every_ms"), [(9, 700.0), (9, 1_500.0), (90, 700.0)])
def test_request_that_crashes_one_server_at_a_time_is_quarantined(
    instances: int, crash_every_ms: float
) -> None:
    """Guards against crashes that no instance detects because none sends to the server in time."""
    fleet = Fleet(instances, servers=11, service_ms=120.0)
    fleet.run(40, 20.0 * instances / 9, SINGLE, crash_every_ms)
    assert len(fleet.crashed_at) >= 3
    assert fleet.late_receipts() <= 3


def test_request_after_its_quarantine_causes_few_further_crashes() -> None:
    """Guards against crash counts that are dropped when the quarantine ends."""
    fleet = Fleet(9, servers=11, service_ms=120.0)
    fleet.run(300, 5.0, SINGLE, crash_every_ms=700.0)
    assert 1 <= fleet.late_receipts() <= 3


@pytest.mark.parametrize(("instances", "crash_every_ms"), [(9, 1_500.0), (9, 5_000.0)])
def test_search_that_crashes_a_server_of_each_shard_is_quarantined(
    instances: int, crash_every_ms: float
) -> None:
    """Guards against a search whose crashes count once though each shard lost a server."""
    fleet = Fleet(instances, servers=3, service_ms=22.5)
    fleet.run(40, 60.0, SEARCH, crash_every_ms)
    assert fleet.late_receipts() <= 3


def test_frequent_request_is_served_after_unrelated_crashes() -> None:
    """Guards against equal requests of many callers that are refused after unrelated crashes."""
    fleet = Fleet(9, servers=11, service_ms=120.0)
    start = fleet.drivers[0].now
    for number in range(1, 6):
        fleet.schedule(start + 3_000, lambda now, n=number: fleet.crash(f"a-{n}", now))  # type: ignore[misc]
    fleet.run(10, 60.0, SINGLE, crash_every_ms=1e9, fingerprint=7)
    assert fleet.suspect_count
    refused = [at - start for at in fleet.refused_at]
    assert not [at for at in refused if at > 4_000]
    assert len(refused) < 10


def crash_server(driver: Driver, sent: SendAttempt) -> None:
    """Reset an attempt and refuse the crash probe that follows."""
    driver.fail(sent, FailureKind.RESET)
    driver.dispatch(ConnectionProbed(driver.now, sent.server_id, FailureKind.REFUSED))


def test_search_with_an_answered_part_is_not_suspected() -> None:
    """Guards against searches that are refused because several shards lost a server at once."""
    driver = sharded_driver(10, min_share=0.5)
    call_id = driver.request(fingerprint=CRASHING)
    first, *others = driver.sent(call_id)
    driver.answer(first)
    for sent in others:
        crash_server(driver, sent)
    assert not driver.logged("request_suspected")
    assert driver.sent(driver.request(fingerprint=CRASHING))


def test_reset_by_a_server_that_accepts_connections_is_not_a_crash() -> None:
    """Guards against requests that are refused because connections were reset."""
    driver = single_service_driver(idempotent=True)
    for _ in range(4):
        sent = driver.sent(driver.request("/one/x", fingerprint=CRASHING))[0]
        driver.fail(sent, FailureKind.RESET)
        driver.dispatch(ConnectionProbed(driver.now, sent.server_id))
        driver.wait(3_000)
    assert not driver.logged("request_suspected")
    assert driver.sent(driver.request("/one/x", fingerprint=CRASHING))


def test_request_quarantined_in_flight_is_not_retried() -> None:
    """Guards against retries and hedges that crash more servers after the third crash."""
    driver = sharded_driver(10, min_share=0.5)
    call_id = driver.request(fingerprint=CRASHING)
    sent = driver.sent(call_id)
    for item in sent[:3]:
        crash_server(driver, item)
    before = len(driver.sent(call_id))
    for item in sent[3:]:
        driver.fail(item, FailureKind.RESET)
    assert len(driver.sent(call_id)) == before
    assert [item.fields["crashes_known"] for item in driver.logged("request_quarantined")] == [3]
