"""Imperative shell: turn I/O and timers into events, and execute the effects of the reducer."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING, Any

from aiohttp import web

from turmerictiller.borders.callers.server import CallerServer
from turmerictiller.borders.operators.exposition import exposition
from turmerictiller.borders.operators.metrics import Metrics, observe_effects, observe_event
from turmerictiller.borders.operators.server import OperatorViews, operator_application
from turmerictiller.borders.operators.state_dump import dump_state, health
from turmerictiller.borders.peers.client import PeerClient
from turmerictiller.borders.platform_client import PlatformClient
from turmerictiller.borders.upstreams.client import UpstreamClient
from turmerictiller.clock import Clock
from turmerictiller.core import effects
from turmerictiller.core.events import (
    CallersLeft,
    Event,
    RunArrived,
    SearchArrived,
    ShutdownRequested,
    Tick,
    TicketRequested,
)
from turmerictiller.core.lifecycle import is_leaving
from turmerictiller.core.reducer import recover
from turmerictiller.core.state import new_state
from turmerictiller.core.tickets.codec import ticket_rewriter
from turmerictiller.logs import part_logger
from turmerictiller.recording.trace import Trace, dump_trace, reduce_recorded

if TYPE_CHECKING:
    from collections.abc import Callable

    from turmerictiller.config import Settings

log = part_logger("application")


class Application:
    """A standalone entry instance."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.clock = Clock()
        self.state = new_state(settings)
        self.trace = Trace(settings, rewrite_ticket=ticket_rewriter(settings))
        self.metrics = Metrics(settings)
        self.started = asyncio.Event()
        self.callers = CallerServer(
            settings,
            self.clock,
            self.dispatch,
            lambda: health(self.state),
            lambda: is_leaving(self.state),
        )
        self._upstreams: UpstreamClient
        self._platform: PlatformClient
        self._peers: PeerClient
        self._runners: list[web.AppRunner] = []
        self._wake_timer: asyncio.TimerHandle | None = None
        self._stopped = asyncio.Event()
        self._closing_task: asyncio.Task[None] | None = None
        self._handlers_by_effect_type: dict[type, Callable[[Any], None]] = {}

    def dispatch(self, event: Event) -> None:
        """Reduce one event and execute its effects; an exception fails only the call concerned."""
        observe_event(self.metrics, self.state, event)
        try:
            new_effects = reduce_recorded(self.trace, self.state, event)
        except Exception as error:
            self._execute_effects(recover(self.state))
            self._on_reducer_error(event, error)
            return
        observe_effects(self.metrics, new_effects)
        self._execute_effects(new_effects)

    def _execute_effects(self, new_effects: list[effects.Effect]) -> None:
        for effect in new_effects:
            handler = self._handlers_by_effect_type.get(type(effect))
            if handler is None:
                continue
            try:
                handler(effect)
            except Exception as error:
                log("Failed to execute an effect.", effect=type(effect).__name__, error=repr(error))

    def _on_reducer_error(self, event: Event, error: Exception) -> None:
        self.callers.counters["faults"] += 1
        log("The reducer failed to handle an event.", event=type(event).__name__, error=repr(error))
        if isinstance(event, SearchArrived | TicketRequested | RunArrived):
            self.callers.fail_call(event.call_id)
        self.callers.fail_orphaned_searches(self.state.searches_by_id)

    async def run(self) -> None:
        """Serve until the shutdown is complete."""
        self._upstreams = UpstreamClient(self.settings, self.clock, self.dispatch)
        self._platform = PlatformClient(self.settings, self.clock, self.dispatch)
        self._peers = PeerClient(self.settings, self.clock, self.dispatch, self._note_document)
        self._handlers_by_effect_type = self._effect_handlers()
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self.shut_down)
        try:
            await self._open_listeners()
        except OSError:
            await self._close()
            raise
        self.dispatch(Tick(self.clock.now_ms()))
        self._platform.start()
        log("Started.", caller_address=self.settings.caller_address)
        self.started.set()
        await self._stopped.wait()
        await self._close()

    async def _open_listeners(self) -> None:
        await self.callers.listener.open(self.callers.application())
        operators = operator_application(self._operator_views())
        await self._listen(operators, self.settings.operator_address)
        await self._peers.start()

    def shut_down(self) -> None:
        """Begin a graceful shutdown; idempotent."""
        self.dispatch(ShutdownRequested(self.clock.now_ms()))

    def _dump(self) -> dict[str, Any]:
        listener = self.callers.listener
        return {
            **dump_state(self.state),
            "caller_connections": len(listener.connections),
            "caller_counters": dict(sorted(self.callers.counters.items())),
        }

    def _effect_handlers(self) -> dict[type, Callable[[Any], None]]:
        return {
            effects.SendSearch: self._upstreams.send_search,
            effects.SendRun: self._upstreams.send_run,
            effects.CancelAttempt: lambda effect: self._upstreams.cancel(effect.attempt_id),
            effects.PollHealth: self._upstreams.poll_health,
            effects.FetchShardMap: self._upstreams.fetch_shard_map,
            effects.ResetConnections: self._upstreams.reset_connections,
            effects.ReplySearch: self.callers.reply,
            effects.ReplyRefusal: self.callers.reply,
            effects.ReplyTicket: self.callers.reply,
            effects.ReplyOutcome: self.callers.reply,
            effects.SendGossip: self._peers.send_gossip,
            effects.FetchNote: self._peers.fetch_note,
            effects.ForwardRun: self._peers.forward_run,
            effects.AnswerForward: self._peers.server.answer_forward,
            effects.WakeAt: self._request_wake,
            effects.WriteLog: self._write_log,
            effects.CloseListeners: self._close_listeners,
            effects.Stop: lambda effect: self._stopped.set(),
        }

    def _note_document(self) -> dict[str, Any] | None:
        return self.state.note.document if self.state.note else None

    def _close_listeners(self, effect: effects.CloseListeners) -> None:
        self.callers.listener.close_listening()
        self._closing_task = asyncio.get_running_loop().create_task(
            self._wait_until_callers_closed()
        )

    async def _wait_until_callers_closed(self) -> None:
        await self.callers.listener.close_idle_until_empty()
        self.dispatch(CallersLeft(self.clock.now_ms()))

    def _operator_views(self) -> OperatorViews:
        return OperatorViews(
            state=self._dump,
            health=lambda: health(self.state),
            trace=lambda: dump_trace(self.trace),
            metrics=lambda: exposition(self.state, self.metrics, self.trace, self.callers.counters),
        )

    def _request_wake(self, effect: effects.WakeAt) -> None:
        if self._wake_timer is not None:
            self._wake_timer.cancel()
        loop = asyncio.get_running_loop()
        delay_s = max(0.0, effect.at - self.clock.now_ms()) / 1000
        self._wake_timer = loop.call_later(delay_s, self._on_wake, effect.at)

    def _on_wake(self, due_at: float) -> None:
        # The event loop may call back slightly early, and a tick before the due time would fire no
        # timer.
        self.dispatch(Tick(max(self.clock.now_ms(), due_at)))

    def _write_log(self, effect: effects.WriteLog) -> None:
        part_logger(effect.part)(effect.message, **effect.fields)

    async def _listen(self, app: web.Application, address: str) -> None:
        host, _, port = address.rpartition(":")
        runner = web.AppRunner(app, access_log=None)
        self._runners.append(runner)
        await runner.setup()
        await web.TCPSite(runner, host.strip("[]"), int(port)).start()

    async def _close(self) -> None:
        if self._closing_task is not None:
            self._closing_task.cancel()
        self.callers.listener.close_listening()
        await self.callers.listener.read_pending_requests()
        self.callers.refuse_open_calls()
        await self.callers.listener.close()
        for runner in self._runners:
            await runner.cleanup()
        await self._platform.close()
        await self._peers.close()
        await self._upstreams.close()
        if self._wake_timer is not None:
            self._wake_timer.cancel()
