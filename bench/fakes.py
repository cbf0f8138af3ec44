"""Simulated servers, and simulated instances that run the reducer in virtual time."""

from __future__ import annotations

import random
from collections import Counter, deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from bench.deployments import shard_map
from turmerictiller.core import effects, events
from turmerictiller.core.events import FailureKind, UpstreamStatus
from turmerictiller.core.reducer import reduce

if TYPE_CHECKING:
    from collections.abc import Callable

    from bench.deployments import FrontShape, Network
    from bench.virtual_clock import VirtualClock
    from turmerictiller.core.state import State

LOAD_REPORT_MS = 1_000.0
QUEUE_PER_SLOT = 5
LOGNORMAL_SIGMA = 0.5
STALL_SHARE = 0.005
STALL_FACTOR = 5.0
COLD_FACTOR = 4.0
COLD_MS = 1_000.0
POLL_TIMEOUT_MS = 1_000.0


@dataclass(slots=True, eq=False)
class Call:
    """One sub-request in flight.

    :param epoch: the server's epoch when the call was sent.
    :param closed: whether the instance has its result or has cancelled it.
    :param connected: whether it holds a connection.
    """

    instance: FakeInstance
    effect: effects.SendSearch
    server: FakeServer
    expires_at: float
    epoch: int
    closed: bool = False
    connected: bool = False


@dataclass(eq=False)
class FakeServer:
    """A server with slots, a bounded queue, a connection limit, load shedding and a cold start.

    :param slowdown: factor on the service time.
    :param crash_query: query that crashes the server.
    :param up_at: time from which the server accepts calls.
    :param epoch: number of restarts; connections of an earlier epoch are closed.
    :param busy: slots in use.
    :param in_flight: calls that instances have sent and not closed.
    """

    id: str
    domain: str
    service: str
    shape: FrontShape
    clock: VirtualClock
    rng: random.Random
    counters: Counter[str]
    snapshots: tuple[str, ...] = ()
    shards: tuple[str, ...] = ()
    slowdown: float = 1.0
    crash_query: str = ""
    up_at: float = -COLD_MS
    epoch: int = 0
    busy: int = 0
    in_flight: int = 0
    open_connections: int = 0
    queue: deque[Call] = field(default_factory=deque)
    running: dict[Call, None] = field(default_factory=dict)
    reported_load: float = 0.0
    reported_at: float = 0.0

    @property
    def is_up(self) -> bool:
        return self.clock.now >= self.up_at

    def report_load(self) -> None:
        """Sample the load that is reported until the next sample."""
        self.reported_load = self.busy / self.shape.slots
        self.reported_at = self.clock.now
        self.clock.after(LOAD_REPORT_MS, self.report_load)

    def status(self) -> UpstreamStatus:
        """Return the status report of the server; its load is up to ``LOAD_REPORT_MS`` old."""
        age_ms = self.clock.now - self.reported_at
        name = f"{self.id}.{self.epoch}"
        return UpstreamStatus(name, False, self.snapshots, self.reported_load, age_ms)

    def expected_delay_ms(self) -> float:
        """Return the expected delay of one more call, in milliseconds."""
        ahead = max(0, self.in_flight + 1 - self.shape.slots)
        return self.shape.service_ms * self.service_time_factor() * (1 + ahead / self.shape.slots)

    def can_accept(self) -> bool:
        """Return whether one more call would be accepted."""
        return self.is_up and self.in_flight < (1 + QUEUE_PER_SLOT) * self.shape.slots

    def service_time_factor(self) -> float:
        """Return the factor on the service time of a call that starts now."""
        cold_share = max(0.0, self.up_at + COLD_MS - self.clock.now) / COLD_MS
        return self.slowdown * (1 + (COLD_FACTOR - 1) * cold_share)

    def accept(self, call: Call) -> None:
        """Start, queue or refuse a call that arrived."""
        if call.closed:
            return
        if not self.is_up or call.epoch != self.epoch:
            call.instance.fail(call, FailureKind.LOST)
        elif call.effect.snapshot not in self.snapshots:
            call.instance.fail(call, FailureKind.SNAPSHOT_GONE, self.status())
        elif self.busy < self.shape.slots:
            self._start(call)
        elif len(self.queue) >= QUEUE_PER_SLOT * self.shape.slots:
            self.counters["shed"] += 1
            call.instance.fail(call, FailureKind.SHED, self.status())
        else:
            self.queue.append(call)

    def _start(self, call: Call) -> None:
        if self.crash_query and call.effect.query == self.crash_query:
            self.queue.append(call)
            self.crash()
            return
        self.busy += 1
        self.running[call] = None
        self.counters["run"] += 1
        time_ms = self.shape.service_ms * self.rng.lognormvariate(
            -(LOGNORMAL_SIGMA**2) / 2, LOGNORMAL_SIGMA
        )
        if self.rng.random() < STALL_SHARE:
            time_ms *= STALL_FACTOR
        self.clock.after(time_ms * self.service_time_factor(), self._complete, call)

    def _complete(self, call: Call) -> None:
        if call not in self.running:
            return
        self._release(call)
        call.instance.answer(call)

    def _release(self, call: Call) -> None:
        del self.running[call]
        self.busy -= 1
        while self.queue and self.busy < self.shape.slots and self.is_up:
            queued = self.queue.popleft()
            if queued.expires_at < self.clock.now:
                queued.instance.fail(queued, FailureKind.REJECTED, self.status())
            else:
                self._start(queued)

    def cancel(self, call: Call) -> None:
        """Cancel a call and free its slot."""
        if call in self.running:
            self._release(call)
        elif call in self.queue:
            self.queue.remove(call)

    def crash(self, down_ms: float = 500.0) -> None:
        """Fail all calls, drop all connections, and restart cold after ``down_ms``."""
        failed_calls = [*self.running, *self.queue]
        self.running.clear()
        self.queue.clear()
        self.busy = self.open_connections = 0
        self.up_at = self.clock.now + down_ms
        self.epoch += 1
        self.counters["crashes"] += 1
        for call in failed_calls:
            call.instance.fail(call, FailureKind.LOST)


Delivery = effects.ReplySearch | effects.ReplyRefusal | effects.SendGossip


@dataclass(eq=False)
class FakeInstance:
    """One entry instance: runs the reducer and executes its effects in virtual time.

    :param sent_parts: call id and service of the parts for which a sub-request was sent.
    """

    state: State
    network: Network
    clock: VirtualClock
    servers_by_id: dict[str, FakeServer]
    deliver: Callable[[FakeInstance, Delivery], None]
    counters: Counter[str] = field(default_factory=Counter)
    sent_parts: set[tuple[int, str]] = field(default_factory=set)
    _idle_connections: Counter[tuple[str, int]] = field(default_factory=Counter)
    _calls_by_attempt: dict[int, Call] = field(default_factory=dict)

    def dispatch(self, event: events.Event) -> None:
        """Reduce one event and execute its effects."""
        for effect in reduce(self.state, event):
            match effect:
                case effects.SendSearch():
                    self._send(effect)
                case effects.CancelAttempt():
                    self._cancel(effect.attempt_id)
                case effects.ReplySearch() | effects.ReplyRefusal() | effects.SendGossip():
                    self.deliver(self, effect)
                case effects.WakeAt():
                    self.clock.at(effect.at, self._on_wake, effect.at)
                case effects.FetchShardMap():
                    self._fetch_shard_map(effect)
                case effects.PollHealth():
                    self._poll_health(self.servers_by_id[effect.server_id])

    def _on_wake(self, due_at: float) -> None:
        if self.state.wake_at == due_at:
            self.dispatch(events.Tick(self.clock.now))

    def _delay_ms(self, server: FakeServer) -> float:
        return self.network.delay_ms(self.state.settings.failure_domain, server.domain)

    def _is_cut(self, server: FakeServer) -> bool:
        return self.network.is_cut(self.state.settings.failure_domain, server.domain)

    def _poll_health(self, server: FakeServer) -> None:
        if self._is_cut(server) or not server.is_up:
            failed = events.HealthFailed(self.clock.now + POLL_TIMEOUT_MS, server.id)
            self.clock.at(failed.at, self.dispatch, failed)
            return
        at = self.clock.now + 2 * self._delay_ms(server)
        self.clock.at(at, self.dispatch, events.HealthReported(at, server.id, server.status()))

    def _fetch_shard_map(self, effect: effects.FetchShardMap) -> None:
        at = self.clock.now + 2 * self.network.deployment.between_ms
        shards = shard_map(self.network.deployment)
        seen = events.ShardMapSeen(at, effect.server_id, effect.snapshot, shards)
        self.clock.at(at, self.dispatch, seen)

    def _send(self, effect: effects.SendSearch) -> None:
        server = self.servers_by_id[effect.server_id]
        self.counters["sent"] += 1
        attempt = self.state.attempts_by_id.get(effect.attempt_id)
        if attempt is not None:
            self.sent_parts.add((attempt.call_id, attempt.service))
        call = Call(self, effect, server, self.clock.now + effect.budget_ms, server.epoch)
        self._calls_by_attempt[effect.attempt_id] = call
        server.in_flight += 1
        self.clock.after(effect.timeout_ms, self.fail, call, FailureKind.TIMED_OUT)
        if self._is_cut(server):
            return
        open_ms = self._open_connection(call)
        if call.connected:
            self.clock.after(open_ms + self._delay_ms(server), server.accept, call)
        else:
            self.fail(call, FailureKind.UNSENT)

    def _open_connection(self, call: Call) -> float:
        server = call.server
        if self._idle_connections[server.id, server.epoch] > 0:
            self._idle_connections[server.id, server.epoch] -= 1
            call.connected = True
            return 0.0
        call.connected = server.is_up and server.open_connections < server.shape.connections
        server.open_connections += call.connected
        return server.shape.open_ms

    def answer(self, call: Call) -> None:
        """Deliver the answer to a call after the network delay."""
        self.clock.after(self._delay_ms(call.server), self._on_answer, call, call.server.status())

    def fail(self, call: Call, kind: FailureKind, status: UpstreamStatus | None = None) -> None:
        """Deliver a failure of a call after the network delay."""
        if not call.closed:
            self.clock.after(self._delay_ms(call.server), self._on_failure, call, kind, status)

    def _on_answer(self, call: Call, status: UpstreamStatus) -> None:
        if self._is_cut(call.server) or not self._close(call, keep_connection=True):
            return
        self.counters["merged"] += 1
        effect, shards = call.effect, call.server.shards
        self.dispatch(
            events.AttemptAnswered(
                self.clock.now, effect.attempt_id, effect.snapshot, shards, (), status
            )
        )

    def _on_failure(self, call: Call, kind: FailureKind, status: UpstreamStatus | None) -> None:
        keep_connection = kind in (
            FailureKind.SHED,
            FailureKind.SNAPSHOT_GONE,
            FailureKind.REJECTED,
        )
        if self._close(call, keep_connection):
            self.counters[f"failed.{kind.value}"] += 1
            self.dispatch(
                events.AttemptFailed(self.clock.now, call.effect.attempt_id, kind, status)
            )

    def _close(self, call: Call, keep_connection: bool) -> bool:
        if call.closed:
            return False
        call.closed = True
        call.server.in_flight -= 1
        del self._calls_by_attempt[call.effect.attempt_id]
        if keep_connection:
            self._idle_connections[call.server.id, call.epoch] += 1
        elif call.connected and call.epoch == call.server.epoch:
            call.server.open_connections -= 1
        return True

    def _cancel(self, attempt_id: int) -> None:
        call = self._calls_by_attempt.get(attempt_id)
        if call is not None and self._close(call, keep_connection=False):
            self.clock.after(self._delay_ms(call.server), call.server.cancel, call)
