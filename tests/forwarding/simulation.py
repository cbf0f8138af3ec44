"""Simulation of many instances and servers under load, in virtual time."""

from __future__ import annotations

import heapq
import random
from collections import deque
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from tests.forwarding.driving import SETTINGS, Driver, configuration, gather_route, good_answer
from turmerictiller.forwarding.effects import (
    CancelAttempt,
    ReplyRefusal,
    SendAttempt,
    SendGossip,
    SendMergedAnswer,
)
from turmerictiller.forwarding.events import (
    AttemptAnswered,
    GossipReceived,
    ServerEntryRemoved,
    Tick,
)
from turmerictiller.forwarding.peers import build_gossip
from turmerictiller.forwarding.state import new_state

if TYPE_CHECKING:
    from collections.abc import Callable

SLOTS = 4
MAX_CONNECTIONS = 66  # of one server, for all instances together
LEFT_BEFORE_MS = 3_000.0  # after which servers that left are not used as a last resort
ROUND_TRIP_MS = 2.0  # between an instance and a server
CALLER_ROUND_TRIP_MS = 6.0  # between a caller and an instance; counts against the target


@dataclass
class Server:
    """A server that runs a few requests at once and queues the rest."""

    running: int = 0
    queue: deque[tuple[int, SendAttempt]] = field(default_factory=deque)


@dataclass
class Simulation:
    """A deployment of identical instances, and of shards with three servers each.

    :param service_ms: returns the service time of a request, by server and time.
    :param removed_servers: ids of servers that left before the first search.
    :param late_arrivals: arrival times of searches that were refused or missed the target.
    :param refused_calls: instance and call id of searches that were refused.
    :param sent_calls: instance and call id of searches of which a part was sent.
    """

    instances: int
    shards: int
    target_ms: float
    min_share: float
    service_ms: Callable[[str, float], float]
    slots: int = SLOTS
    max_connections: int = MAX_CONNECTIONS
    seed: int = 1
    removed_servers: tuple[str, ...] = ()
    drivers: list[Driver] = field(default_factory=list)
    arrived_at: dict[tuple[int, int], float] = field(default_factory=dict)
    late_arrivals: list[float] = field(default_factory=list)
    refused_calls: set[tuple[int, int]] = field(default_factory=set)
    sent_calls: set[tuple[int, int]] = field(default_factory=set)
    sent: int = 0
    servers_by_id: dict[str, Server] = field(default_factory=dict)
    cancelled: set[tuple[int, int]] = field(default_factory=set)
    _due: list[tuple[float, int, Callable[[float], None]]] = field(default_factory=list)
    _number: int = 0

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        route = replace(gather_route(self.shards, self.min_share, self.target_ms), max_servers=2)
        for number in range(self.instances):
            address = f"10.0.0.{number + 1}:7000"
            settings = replace(
                SETTINGS,
                instance_id=f"e{number}",
                seed=self.seed * 1_000 + number,
                peer_address=address,
                seed_addresses=("10.0.0.1:7000", "10.0.0.2:7000"),
                extra_slack=20.0 * self.instances,
            )
            self.drivers.append(
                Driver(new_state(settings)).start(
                    configuration(route, max_connections=self.max_connections)
                )
            )
        for driver in self.drivers:
            for server_id in self.removed_servers:
                driver.dispatch(ServerEntryRemoved(driver.now, server_id, 2))
            driver.wait(LEFT_BEFORE_MS)
        self.by_address = {driver.state.settings.peer_address: driver for driver in self.drivers}

    def run(self, per_second: float, seconds: float) -> None:
        """Send searches to random instances at a mean rate."""
        now = self.drivers[0].now
        end = now + seconds * 1_000
        at = now
        while (at := at + self.rng.expovariate(per_second / 1_000)) < end:
            self._at(at, lambda now: self._send_request(now, self.rng.randrange(self.instances)))
        for index in range(self.instances):
            self._tick(index)
        while self._due and self._due[0][0] <= end:
            at, _, action = heapq.heappop(self._due)
            action(at)

    def share_in_time(self, since: float, until: float) -> float:
        """Return the share of the searches that arrived in an interval and met the target."""
        arrived = [at for at in self.arrived_at.values() if since <= at < until]
        return 1 - sum(since <= at < until for at in self.late_arrivals) / len(arrived)

    def _at(self, at: float, action: Callable[[float], None]) -> None:
        self._number += 1
        heapq.heappush(self._due, (at, self._number, action))

    def _dispatch(self, index: int, event: object) -> None:
        driver = self.drivers[index]
        driver.now = event.at  # type: ignore[attr-defined]
        for effect in driver.dispatch(event):  # type: ignore[arg-type]
            if isinstance(effect, SendAttempt):
                self._send(index, effect)
            elif isinstance(effect, CancelAttempt):
                self.cancelled.add((index, effect.attempt_id))
            elif isinstance(effect, SendGossip):
                self._gossip(index, effect)
            elif isinstance(effect, SendMergedAnswer | ReplyRefusal):
                if isinstance(effect, ReplyRefusal):
                    self.refused_calls.add((index, effect.call_id))
                ms = driver.now - self.arrived_at[index, effect.call_id] + CALLER_ROUND_TRIP_MS
                if isinstance(effect, ReplyRefusal) or ms > self.target_ms:
                    self.late_arrivals.append(self.arrived_at[index, effect.call_id])
        driver.effects.clear()
        self._tick(index)

    def _tick(self, index: int) -> None:
        due_at = self.drivers[index].state.timers.next_at()
        if due_at is not None:
            self._at(max(due_at, self.drivers[index].now), lambda now: self._on_tick(index, now))

    def _on_tick(self, index: int, now: float) -> None:
        due_at = self.drivers[index].state.timers.next_at()
        if due_at is not None and due_at <= now:
            self._dispatch(index, Tick(now))

    def _send_request(self, now: float, index: int) -> None:
        driver = self.drivers[index]
        driver.now = now
        self.arrived_at[index, driver.last_call + 1] = now
        before = len(driver.effects)
        driver.request()
        effects, driver.effects = driver.effects[before:], []
        for effect in effects:
            if isinstance(effect, SendAttempt):
                self._send(index, effect)
            elif isinstance(effect, ReplyRefusal):
                self.refused_calls.add((index, effect.call_id))
                self.late_arrivals.append(now)
        self._tick(index)

    def _send(self, index: int, effect: SendAttempt) -> None:
        self.sent += 1
        self.sent_calls.add((index, effect.call_id))
        now = self.drivers[index].now
        server = self.servers_by_id.setdefault(effect.server_id, Server())
        work = (index, effect)
        self._at(now + ROUND_TRIP_MS / 2, lambda at: self._enqueue(server, work, at))

    def _enqueue(self, server: Server, work: tuple[int, SendAttempt], now: float) -> None:
        server.queue.append(work)
        self._start_queued(server, now)

    def _start_queued(self, server: Server, now: float) -> None:
        while server.queue and server.running < self.slots:
            index, effect = server.queue.popleft()
            if (index, effect.attempt_id) in self.cancelled:
                continue
            server.running += 1
            ends_at = now + self.service_ms(effect.server_id, now)
            work = (index, effect)
            self._at(ends_at, lambda at, work=work: self._finish(server, work, at))  # type: ignore[misc]

    def _finish(self, server: Server, work: tuple[int, SendAttempt], now: float) -> None:
        index, effect = work
        server.running -= 1
        self._start_queued(server, now)
        if (index, effect.attempt_id) not in self.cancelled:
            answer = good_answer(signature=f"{effect.server_id}/{effect.attempt_id}".encode())
            event = AttemptAnswered(now + ROUND_TRIP_MS / 2, effect.attempt_id, answer)
            self._at(event.at, lambda at: self._dispatch(index, event))

    def _gossip(self, index: int, effect: SendGossip) -> None:
        receiver = self.by_address.get(effect.address)
        if receiver is None:
            return
        other = self.drivers.index(receiver)
        now = self.drivers[index].now
        receiver.now = now
        answer = build_gossip(receiver.state)
        self._dispatch(other, GossipReceived(now, effect.message))
        self._at(now + ROUND_TRIP_MS, lambda at: self._dispatch(index, GossipReceived(at, answer)))
