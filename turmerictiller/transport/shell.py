"""Imperative shell of the forwarding core: turns I/O into events and runs the core's effects."""

from __future__ import annotations

import asyncio
import hashlib
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from turmerictiller.errors import Ran, Refusal, RefusalType
from turmerictiller.forwarding import effects, events
from turmerictiller.forwarding.model import CallerLimits
from turmerictiller.forwarding.pauses import observe_time
from turmerictiller.forwarding.reducer import reduce
from turmerictiller.forwarding.servers import may_send
from turmerictiller.forwarding.state import new_state
from turmerictiller.phases import ProcessPhase
from turmerictiller.transport.decision_log import DecisionLog
from turmerictiller.transport.http_client import ConnectionPool, HttpExchange
from turmerictiller.transport.http_server import ConnectionErrors, HttpListener
from turmerictiller.transport.process_metrics import ProcessMetrics

if TYPE_CHECKING:
    from collections.abc import Callable

    from turmerictiller.clock import Clock, Millis
    from turmerictiller.forwarding.settings import ForwardingSettings
    from turmerictiller.transport.dialect import CallerRequest, Dialect
    from turmerictiller.transport.http_server import ServerConnection
    from turmerictiller.transport.messages import RawRequest, RawResponse


FINGERPRINT_BYTES = 7  # fits into a signed 64-bit integer


@dataclass(slots=True)
class Call:
    """A request of a caller that is not answered yet."""

    connection: ServerConnection
    raw: RawRequest
    request: CallerRequest
    shared_head: bytes = b""
    arrived_at: Millis = 0.0


@dataclass
class ForwardingShell:
    """Sockets, timers and forwarding state of one instance.

    :param max_connections: limit on connections of callers.
    :param send_gossip: sends a gossip message to another instance and receives its reply.
    """

    settings: ForwardingSettings
    dialect: Dialect
    clock: Clock
    max_connections: int
    send_gossip: Callable[[effects.SendGossip], None] = field(default=lambda effect: None)
    log: DecisionLog = field(init=False)
    listener: HttpListener = field(init=False)
    stopped: asyncio.Event = field(default_factory=asyncio.Event)

    def __post_init__(self) -> None:
        self.state = new_state(self.settings)
        self.log = DecisionLog(self.clock, self.settings.instance_id)
        self.counters: Counter[str] = Counter()
        self.metrics = ProcessMetrics(self.state, self.log, self.counters)
        self.pool = ConnectionPool(self.clock)
        self.listener = HttpListener(
            self.clock,
            CallerLimits(),
            self._connection_errors(),
            self._on_request,
            self._on_disconnect,
            self.max_connections,
        )
        self._calls_by_id: dict[int, Call] = {}
        self._exchanges_by_attempt: dict[int, HttpExchange] = {}
        self._next_call_id = 1
        self._wake_timer: asyncio.TimerHandle | None = None
        self._probe_tasks: set[asyncio.Task[None]] = set()
        self._handler_by_effect: dict[type, Callable[[Any], None]] = {
            effects.SendAttempt: self._send_attempt,
            effects.CancelAttempt: self._cancel_attempt,
            effects.CloseServerConnections: lambda effect: self.pool.close_idle(effect.address),
            effects.CloseIdleConnections: lambda effect: self.pool.close_idle(
                effect.address, effect.idle_ms
            ),
            effects.ProbeConnection: self._probe_connection,
            effects.SendGossip: lambda effect: self.send_gossip(effect),
            effects.RelayAnswer: self._relay_answer,
            effects.SendMergedAnswer: self._send_merged_answer,
            effects.ReplyRefusal: self._reply_refusal,
            effects.ApplyCallerLimits: self._apply_caller_limits,
            effects.WakeAt: self._schedule_wake,
            effects.WriteLog: self._write_log,
            effects.CloseListeners: self._close_listeners,
            effects.Stop: lambda effect: self.stopped.set(),
        }

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer may open new connections."""
        return self.state.phase is ProcessPhase.RUNNING and not self.state.is_partitioned

    def now_ms(self) -> Millis:
        return self.clock.now_ms()

    def dispatch(self, event: events.Event) -> None:
        """Apply one event and run its effects; an exception fails only the call concerned."""
        try:
            new_effects = reduce(self.state, event)
        except Exception as error:
            new_effects, self.state.out = self.state.out, []
            self._on_fault(event, error)
        for effect in new_effects:
            try:
                self._handler_by_effect[type(effect)](effect)
            except Exception as error:
                self._log_fault("effect_failed", effect, error)

    def close(self) -> None:
        """Close all sockets and flush the log."""
        self.listener.close()
        self.pool.close()
        if self._wake_timer is not None:
            self._wake_timer.cancel()
        self.log.flush()

    def _on_fault(self, event: events.Event, error: Exception) -> None:
        self.counters["faults"] += 1
        self._log_fault("event_failed", event, error)
        if isinstance(event, events.RequestArrived):
            refusal = Refusal(RefusalType.INTERNAL, "an internal error", Ran.MAYBE)
            self._reply_refusal(effects.ReplyRefusal(event.call_id, refusal))

    def _log_fault(self, name: str, subject: object, error: Exception) -> None:
        fields = {"type": type(subject).__name__, "error": repr(error)[:300]}
        self.log.write(name, fields, urgent=True)

    # Callers

    def _connection_errors(self) -> ConnectionErrors:
        def refusal(type_: RefusalType, message: str) -> bytes:
            return self.dialect.encode_refusal(Refusal(type_, message), True)

        return ConnectionErrors(
            refusal(RefusalType.MALFORMED_HTTP, "the request can not be read"),
            refusal(RefusalType.HEADERS_TOO_LARGE, "the headers are too large"),
            refusal(RefusalType.BODY_TOO_LARGE, "the body is too large"),
            refusal(RefusalType.TIMED_OUT_READING, "the request did not arrive in time"),
        )

    def _on_request(self, connection: ServerConnection, raw: RawRequest) -> None:
        request = self.dialect.parse_request(raw)
        if request is None:
            connection.answer(self.listener.errors.malformed, True)
            return
        call_id = self._next_call_id
        self._next_call_id += 1
        connection.call_id = call_id
        now = self.clock.now_ms()
        self._calls_by_id[call_id] = Call(connection, raw, request, arrived_at=now)
        fingerprint = _fingerprint(raw, request)
        self.dispatch(
            events.RequestArrived(
                now,
                call_id,
                request.request_id,
                request.host,
                request.path,
                request.budget_ms,
                fingerprint,
            )
        )

    def _on_disconnect(self, connection: ServerConnection) -> None:
        call_id = connection.call_id
        if call_id is not None and self._calls_by_id.pop(call_id, None) is not None:
            self.dispatch(events.CallerDisconnected(self.clock.now_ms(), call_id))

    def _answer(self, call_id: int, write: Callable[[Call, bool], bytes]) -> None:
        call = self._calls_by_id.pop(call_id, None)
        if call is None:
            return
        close = call.connection.must_close(self.is_ready)
        self.metrics.observe_answer(self.clock.now_ms() - call.arrived_at)
        call.connection.answer(write(call, close), close)

    def _relay_answer(self, effect: effects.RelayAnswer) -> None:
        self._answer(
            effect.call_id, lambda call, close: self.dialect.encode_answer(effect.answer, close)
        )

    def _send_merged_answer(self, effect: effects.SendMergedAnswer) -> None:
        self._answer(
            effect.call_id,
            lambda call, close: self.dialect.encode_merged(effect, call.request.request_id, close),
        )

    def _reply_refusal(self, effect: effects.ReplyRefusal) -> None:
        self._answer(
            effect.call_id, lambda call, close: self.dialect.encode_refusal(effect.refusal, close)
        )

    def _apply_caller_limits(self, effect: effects.ApplyCallerLimits) -> None:
        self.listener.limits = effect.limits

    def _close_listeners(self, effect: effects.CloseListeners) -> None:
        self.listener.drain()
        self._check_callers_left()

    def _check_callers_left(self) -> None:
        if not self.listener.connections:
            self.dispatch(events.CallersLeft(self.clock.now_ms()))
            return
        asyncio.get_running_loop().call_later(0.02, self._check_callers_left)

    # Servers

    def _send_attempt(self, effect: effects.SendAttempt) -> None:
        attempt_id = effect.attempt_id
        call = self._calls_by_id.get(effect.call_id)
        if call is None:
            self.counters["attempts.unsent"] += 1
            self._fail_later(attempt_id)
            return
        if not call.shared_head:
            call.shared_head = self.dialect.encode_shared_head(call.raw)
        data = self.dialect.encode_attempt(
            call.shared_head, call.raw.body, effect.server_id, effect.budget_ms
        )
        request_id = call.request.request_id.encode("latin-1")
        exchange = HttpExchange(
            data,
            lambda response, require_request_id: self.dialect.matches_request(
                response, request_id, require_request_id
            ),
            lambda response: self._on_response(attempt_id, response),
            lambda failure, may_have_run: self._on_failure(attempt_id, failure, may_have_run),
            effect.await_acceptance,
            lambda: self._may_send(effect.server_id),
        )
        self._exchanges_by_attempt[attempt_id] = exchange
        self.pool.send(effect.address, exchange, effect.fresh)

    def _may_send(self, server_id: str) -> bool:
        observe_time(self.state, self.clock.now_ms())
        return may_send(self.state, server_id)

    def _fail_later(self, attempt_id: int) -> None:
        loop = asyncio.get_running_loop()
        loop.call_soon(self._on_failure, attempt_id, events.FailureKind.CLOSED, False)

    def _cancel_attempt(self, effect: effects.CancelAttempt) -> None:
        exchange = self._exchanges_by_attempt.pop(effect.attempt_id, None)
        if exchange is not None:
            self.pool.cancel(exchange)

    def _on_response(self, attempt_id: int, response: RawResponse) -> None:
        self._exchanges_by_attempt.pop(attempt_id, None)
        parsed = self.dialect.parse_answer(response)
        now = self.clock.now_ms()
        if isinstance(parsed, events.FailureKind):
            may_have_run = parsed is not events.FailureKind.OTHER_SERVER
            self.dispatch(events.AttemptFailed(now, attempt_id, parsed, may_have_run))
        else:
            self.dispatch(events.AttemptAnswered(now, attempt_id, parsed))

    def _on_failure(self, attempt_id: int, failure: events.FailureKind, may_have_run: bool) -> None:
        self._exchanges_by_attempt.pop(attempt_id, None)
        now = self.clock.now_ms()
        self.dispatch(events.AttemptFailed(now, attempt_id, failure, may_have_run))

    def _probe_connection(self, effect: effects.ProbeConnection) -> None:
        async def probe() -> None:
            failure = await self.pool.probe(effect.address)
            now = self.clock.now_ms()
            self.dispatch(events.ConnectionProbed(now, effect.server_id, failure))

        task = asyncio.get_running_loop().create_task(probe())
        self._probe_tasks.add(task)
        task.add_done_callback(self._probe_tasks.discard)

    # Timers and log

    def _schedule_wake(self, effect: effects.WakeAt) -> None:
        if self._wake_timer is not None:
            self._wake_timer.cancel()
        loop = asyncio.get_running_loop()
        delay_s = max(0.0, effect.at - self.clock.now_ms()) / 1000
        self._wake_timer = loop.call_later(delay_s, self._on_wake, effect.at)

    def _on_wake(self, due_at: Millis) -> None:
        # The loop may fire slightly early, and a tick before the due time would run no timer.
        self._wake_timer = None
        self.dispatch(events.Tick(max(self.clock.now_ms(), due_at)))

    def _write_log(self, effect: effects.WriteLog) -> None:
        self.log.write(effect.event, effect.fields, effect.urgent)


def _fingerprint(raw: RawRequest, request: CallerRequest) -> int:
    """Return a fingerprint that is the same for equal requests on all instances."""
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (raw.method, request.host.encode("latin-1"), raw.target, raw.body):
        digest.update(part)
        digest.update(b"\0")
    return int.from_bytes(digest.digest(), "big")
