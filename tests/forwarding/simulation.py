"""Many instances and servers in virtual time: what callers get under a load that a test states."""

from __future__ import annotations

import heapq
import random
from collections import deque
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from tests.forwarding.driving import SETTINGS, Driver, configuration, gather_route, good
from turmerictiller.forwarding.effects import (
    AbortAttempt,
    Refuse,
    SendAttempt,
    SendGossip,
    SendMergedAnswer,
)
from turmerictiller.forwarding.events import AttemptAnswered, GossipReceived, Tick
from turmerictiller.forwarding.peers import build_gossip
from turmerictiller.forwarding.state import new_state

if TYPE_CHECKING:
    from collections.abc import Callable

SLOTS = 4
MAX_CONNECTIONS = 66  # of a server, for all instances
WAY_MS = 2.0  # to a server and back
ANSWER_WAY_MS = 6.0  # of the target, from the caller to the instance and back


@dataclass
class Server:
    """A server that works on a few requests at once and queues the rest."""

    running: int = 0
    waiting: deque[tuple[int, SendAttempt]] = field(default_factory=deque)


@dataclass
class Simulation:
    """A deployment of equal instances and of shards with three servers each, which queue work.

    :param work_ms: returns the time a server works, by server and time.
    :param late: arrival times of searches that were answered after the target, or not at all.
    """

    instances: int
    shards: int
    target_ms: float
    min_share: float
    work_ms: Callable[[str, float], float]
    slots: int = SLOTS
    max_connections: int = MAX_CONNECTIONS
    seed: int = 1
    drivers: list[Driver] = field(default_factory=list)
    arrived_at: dict[tuple[int, int], float] = field(default_factory=dict)
    late: list[float] = field(default_factory=list)
    sent: int = 0
    servers_by_id: dict[str, Server] = field(default_factory=dict)
    aborted: set[tuple[int, int]] = field(default_factory=set)
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
        self.by_address = {driver.state.settings.peer_address: driver for driver in self.drivers}

    def run(self, per_second: float, seconds: float) -> None:
        """Let searches arrive at random instances."""
        now = self.drivers[0].now
        end = now + seconds * 1_000
        at = now
        while (at := at + self.rng.expovariate(per_second / 1_000)) < end:
            self._at(at, lambda now: self._arrive(now, self.rng.randrange(self.instances)))
        for index in range(self.instances):
            self._tick(index)
        while self._due and self._due[0][0] <= end:
            at, _, action = heapq.heappop(self._due)
            action(at)

    def share_in_time(self, since: float, until: float) -> float:
        """Return which share of the searches that arrived in a time were answered in time."""
        arrived = [at for at in self.arrived_at.values() if since <= at < until]
        return 1 - sum(since <= at < until for at in self.late) / len(arrived)

    def _at(self, at: float, action: Callable[[float], None]) -> None:
        self._number += 1
        heapq.heappush(self._due, (at, self._number, action))

    def _give(self, index: int, event: object) -> None:
        driver = self.drivers[index]
        driver.now = event.at  # type: ignore[attr-defined]
        for effect in driver.dispatch(event):  # type: ignore[arg-type]
            if isinstance(effect, SendAttempt):
                self._send(index, effect)
            elif isinstance(effect, AbortAttempt):
                self.aborted.add((index, effect.attempt_id))
            elif isinstance(effect, SendGossip):
                self._ask(index, effect)
            elif isinstance(effect, SendMergedAnswer | Refuse):
                ms = driver.now - self.arrived_at[index, effect.call_id] + ANSWER_WAY_MS
                if isinstance(effect, Refuse) or ms > self.target_ms:
                    self.late.append(self.arrived_at[index, effect.call_id])
        driver.effects.clear()
        self._tick(index)

    def _tick(self, index: int) -> None:
        due_at = self.drivers[index].state.timers.next_at()
        if due_at is not None:
            self._at(max(due_at, self.drivers[index].now), lambda now: self._on_tick(index, now))

    def _on_tick(self, index: int, now: float) -> None:
        due_at = self.drivers[index].state.timers.next_at()
        if due_at is not None and due_at <= now:
            self._give(index, Tick(now))

    def _arrive(self, now: float, index: int) -> None:
        driver = self.drivers[index]
        driver.now = now
        self.arrived_at[index, driver.last_call + 1] = now
        before = len(driver.effects)
        driver.request()
        effects, driver.effects = driver.effects[before:], []
        for effect in effects:
            if isinstance(effect, SendAttempt):
                self._send(index, effect)
            elif isinstance(effect, Refuse):
                self.late.append(now)
        self._tick(index)

    def _send(self, index: int, effect: SendAttempt) -> None:
        self.sent += 1
        now = self.drivers[index].now
        server = self.servers_by_id.setdefault(effect.server_id, Server())
        work = (index, effect)
        self._at(now + WAY_MS / 2, lambda at: self._queue(server, work, at))

    def _queue(self, server: Server, work: tuple[int, SendAttempt], now: float) -> None:
        server.waiting.append(work)
        self._serve(server, now)

    def _serve(self, server: Server, now: float) -> None:
        while server.waiting and server.running < self.slots:
            index, effect = server.waiting.popleft()
            if (index, effect.attempt_id) in self.aborted:
                continue
            server.running += 1
            ends_at = now + self.work_ms(effect.server_id, now)
            work = (index, effect)
            self._at(ends_at, lambda at, work=work: self._end(server, work, at))  # type: ignore[misc]

    def _end(self, server: Server, work: tuple[int, SendAttempt], now: float) -> None:
        index, effect = work
        server.running -= 1
        self._serve(server, now)
        if (index, effect.attempt_id) not in self.aborted:
            answer = good(signature=f"{effect.server_id}/{effect.attempt_id}".encode())
            event = AttemptAnswered(now + WAY_MS / 2, effect.attempt_id, answer)
            self._at(event.at, lambda at: self._give(index, event))

    def _ask(self, index: int, effect: SendGossip) -> None:
        asked = self.by_address.get(effect.address)
        if asked is None:
            return
        other = self.drivers.index(asked)
        now = self.drivers[index].now
        asked.now = now
        answer = build_gossip(asked.state)
        self._give(other, GossipReceived(now, effect.gossip))
        self._at(now + WAY_MS, lambda at: self._give(index, GossipReceived(at, answer)))
