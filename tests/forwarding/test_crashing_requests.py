"""Tests of requests that crash each server which runs them, at a fleet under its usual load."""

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
    good,
    running,
    searching,
    single_route,
)
from tests.forwarding.gossip_simulation import instance
from turmerictiller.forwarding.effects import (
    AbortAttempt,
    LogDecision,
    ProbeConnection,
    Refuse,
    SendAttempt,
    SendGossip,
)
from turmerictiller.forwarding.events import (
    AttemptAnswered,
    AttemptFailed,
    ConnectionProbed,
    Failure,
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
WAY_MS = 1.0
START_MS = 3_000.0  # until a server that crashed is back
CONTACT_MS = 4_000.0  # after the third crash, the platform allows three more retries
SEARCH = gather_route(10, 0.89, 145.0)
SINGLE = single_route()


@dataclass
class Fleet:
    """Instances and servers in virtual time; a request with one fingerprint crashes servers.

    :param down_until: when a server that crashed accepts connections again.
    :param crashed_at: times at which servers crashed.
    :param refused_at: times at which callers were refused.
    :param suspected: number of times that an instance suspected a request.
    :param received_at: times at which the crashing request reached a running server.
    """

    instances: int
    servers: int
    work_ms: float
    rng: random.Random = field(default_factory=lambda: random.Random(1))
    drivers: list[Driver] = field(default_factory=list)
    down_until: dict[str, float] = field(default_factory=dict)
    crashed_at: list[float] = field(default_factory=list)
    received_at: list[float] = field(default_factory=list)
    refused_at: list[float] = field(default_factory=list)
    suspected: int = 0
    crashing_calls: set[tuple[int, int]] = field(default_factory=set)
    work: dict[str, dict[tuple[int, int], None]] = field(default_factory=dict)
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
        """Let requests arrive at random instances, and the crashing one again and again.

        :param fingerprint: that of all other requests; 0 if each has its own.
        """
        start = self.drivers[0].now
        end = start + seconds * 1_000
        at = start
        while (at := at + self.rng.expovariate(per_second / 1_000)) < end:
            self.at(at, lambda now: self._arrive(now, route, fingerprint))
        at = start + 2_000
        while at < end:
            self.at(at, lambda now: self._arrive(now, route, CRASHING))
            at += crash_every_ms
        while self._due and self._due[0][0] <= end:
            at, _, action = heapq.heappop(self._due)
            action(at)

    def received_late(self) -> int:
        """Return how often the crashing request reached servers after it had to be known."""
        if len(self.crashed_at) < 3:
            return 0
        known_at = sorted(self.crashed_at)[2] + CONTACT_MS
        return sum(at > known_at for at in self.received_at)

    def at(self, at: float, action: Callable[[float], None]) -> None:
        """Do something at a time."""
        self._number += 1
        heapq.heappush(self._due, (at, self._number, action))

    def _arrive(self, now: float, route: Route, fingerprint: int) -> None:
        index = self.rng.randrange(self.instances)
        driver = self.drivers[index]
        driver.now = now
        before = len(driver.effects)
        if fingerprint == CRASHING:
            self.crashing_calls.add((index, driver.last_call + 1))
        driver.request(f"{route.prefix}x", route.timeout_ms, fingerprint)
        self._run(index, driver.effects[before:])

    def _give(self, index: int, event: Event) -> None:
        self.drivers[index].now = event.at
        self._run(index, self.drivers[index].dispatch(event))

    def _run(self, index: int, effects: list[Effect]) -> None:
        now = self.drivers[index].now
        for effect in effects:
            if isinstance(effect, SendAttempt):
                self.at(now + WAY_MS, lambda at, e=effect: self._receive(index, e, at))  # type: ignore[misc]
            elif isinstance(effect, AbortAttempt):
                for running in self.work.values():
                    running.pop((index, effect.attempt_id), None)
            elif isinstance(effect, ProbeConnection):
                self.at(now + WAY_MS, lambda at, e=effect: self._probe(index, e, at))  # type: ignore[misc]
            elif isinstance(effect, SendGossip):
                self._ask(index, effect)
            elif isinstance(effect, Refuse):
                self.refused_at.append(now)
            elif isinstance(effect, LogDecision):
                self.suspected += effect.event == "request_suspected"
        self.drivers[index].effects.clear()
        self._tick(index)

    def _tick(self, index: int) -> None:
        due_at = self.drivers[index].state.timers.next_at()
        if due_at is not None:
            self.at(max(due_at, self.drivers[index].now), lambda now: self._on_tick(index, now))

    def _on_tick(self, index: int, now: float) -> None:
        due_at = self.drivers[index].state.timers.next_at()
        if due_at is not None and due_at <= now:
            self._give(index, Tick(now))

    def _receive(self, index: int, effect: SendAttempt, now: float) -> None:
        if now < self.down_until.get(effect.server_id, 0.0):
            self._fail(index, effect.attempt_id, Failure.REFUSED, now)
            return
        running = self.work.setdefault(effect.server_id, {})
        running[index, effect.attempt_id] = None
        if (index, effect.call_id) in self.crashing_calls:
            self.received_at.append(now)
            self.crash(effect.server_id, now)
            return
        ends_at = now + self.work_ms * self.rng.uniform(0.6, 1.4)
        self.at(ends_at, lambda at: self._end(index, effect, at))

    def crash(self, server_id: str, now: float) -> None:
        """Let a server break off all that it runs, and be gone for some seconds."""
        self.crashed_at.append(now)
        self.down_until[server_id] = now + START_MS
        for index, attempt_id in self.work.pop(server_id, {}):
            self._fail(index, attempt_id, Failure.RESET, now)

    def _end(self, index: int, effect: SendAttempt, now: float) -> None:
        running = self.work.get(effect.server_id, {})
        if (index, effect.attempt_id) in running:
            del running[index, effect.attempt_id]
            answer = good(signature=f"{effect.server_id}/{effect.attempt_id}".encode())
            event = AttemptAnswered(now + WAY_MS, effect.attempt_id, answer)
            self.at(event.at, lambda at: self._give(index, event))

    def _fail(self, index: int, attempt_id: int, failure: Failure, now: float) -> None:
        event = AttemptFailed(now + WAY_MS, attempt_id, failure, failure is not Failure.REFUSED)
        self.at(event.at, lambda at: self._give(index, event))

    def _probe(self, index: int, effect: ProbeConnection, now: float) -> None:
        is_up = now >= self.down_until.get(effect.server_id, 0.0)
        failure = None if is_up else Failure.REFUSED
        event = ConnectionProbed(now + WAY_MS, effect.server_id, failure)
        self.at(event.at, lambda at: self._give(index, event))

    def _ask(self, index: int, effect: SendGossip) -> None:
        numbers = [
            number
            for number, driver in enumerate(self.drivers)
            if driver.state.settings.peer_address == effect.address
        ]
        if not numbers:
            return
        asked = self.drivers[numbers[0]]
        now = asked.now = self.drivers[index].now
        answer = build_gossip(asked.state)
        self._give(numbers[0], GossipReceived(now, effect.gossip))
        self.at(now + 2 * WAY_MS, lambda at: self._give(index, GossipReceived(at, answer)))


@pytest.mark.parametrize(("instances", "crash_every_ms"), [(9, 700.0), (9, 1_500.0), (90, 700.0)])
def test_request_that_crashes_one_server_at_a_time_is_not_sent_for_ever(
    instances: int, crash_every_ms: float
) -> None:
    """Guards against crashes that no instance notices because none asks the server again in time."""
    fleet = Fleet(instances, servers=11, work_ms=120.0)
    fleet.run(40, 20.0 * instances / 9, SINGLE, crash_every_ms)
    assert len(fleet.crashed_at) >= 3
    assert fleet.received_late() <= 3


def test_request_that_is_let_through_again_crashes_no_more_than_its_allowance() -> None:
    """Guards against crashes that are forgotten at once when the refusals end."""
    fleet = Fleet(9, servers=11, work_ms=120.0)
    fleet.run(300, 5.0, SINGLE, crash_every_ms=700.0)
    assert 1 <= fleet.received_late() <= 3


@pytest.mark.parametrize(("instances", "crash_every_ms"), [(9, 1_500.0), (9, 5_000.0)])
def test_search_that_crashes_a_server_of_each_shard_is_not_sent_for_ever(
    instances: int, crash_every_ms: float
) -> None:
    """Guards against a search whose crashes count as one though each shard lost a server."""
    fleet = Fleet(instances, servers=3, work_ms=22.5)
    fleet.run(40, 60.0, SEARCH, crash_every_ms)
    assert fleet.received_late() <= 3


def test_frequent_request_is_served_though_several_servers_crash_under_it_at_once() -> None:
    """Guards against equal requests of many callers that all instances refuse after an unrelated crash."""
    fleet = Fleet(9, servers=11, work_ms=120.0)
    start = fleet.drivers[0].now
    for number in range(1, 6):
        fleet.at(start + 3_000, lambda now, n=number: fleet.crash(f"a-{n}", now))  # type: ignore[misc]
    fleet.run(10, 60.0, SINGLE, crash_every_ms=1e9, fingerprint=7)
    assert fleet.suspected
    refused = [at - start for at in fleet.refused_at]
    assert not [at for at in refused if at > 4_000]
    assert len(refused) < 10


def crashed(driver: Driver, sent: SendAttempt) -> None:
    """Let a server break off an attempt and refuse the connection that is opened to find out."""
    driver.fail(sent, Failure.RESET)
    driver.dispatch(ConnectionProbed(driver.now, sent.server_id, Failure.REFUSED))


def test_search_with_an_answered_part_is_not_suspected() -> None:
    """Guards against searches that are refused because several shards lost a server at once."""
    driver = searching(10, min_share=0.5)
    call_id = driver.request(fingerprint=CRASHING)
    first, *others = driver.sent(call_id)
    driver.answer(first)
    for sent in others:
        crashed(driver, sent)
    assert not driver.logged("request_suspected")
    assert driver.sent(driver.request(fingerprint=CRASHING))


def test_server_that_accepts_connections_has_not_crashed() -> None:
    """Guards against requests that are refused because connections were reset."""
    driver = running(idempotent=True)
    for _ in range(4):
        sent = driver.sent(driver.request("/one/x", fingerprint=CRASHING))[0]
        driver.fail(sent, Failure.RESET)
        driver.dispatch(ConnectionProbed(driver.now, sent.server_id))
        driver.wait(3_000)
    assert not driver.logged("request_suspected")
    assert driver.sent(driver.request("/one/x", fingerprint=CRASHING))


def test_request_that_turns_out_to_crash_servers_gets_no_second_server() -> None:
    """Guards against second attempts that crash more servers of a search that is known by then."""
    driver = searching(10, min_share=0.5)
    call_id = driver.request(fingerprint=CRASHING)
    sent = driver.sent(call_id)
    for item in sent[:3]:
        crashed(driver, item)
    before = len(driver.sent(call_id))
    for item in sent[3:]:
        driver.fail(item, Failure.RESET)
    assert len(driver.sent(call_id)) == before
    assert [item.fields["crashes_known"] for item in driver.logged("request_quarantined")] == [3]
