"""The shell: turns sockets and timers into events and carries out effects."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING, Any

from aiohttp import web

from turmerictiller import effects
from turmerictiller.callers import CallerServer
from turmerictiller.clock import Clock
from turmerictiller.events import Event, ShutdownRequested, Tick
from turmerictiller.logs import part_logger
from turmerictiller.operators import operator_application
from turmerictiller.peers import Peers
from turmerictiller.platform_client import PlatformClient
from turmerictiller.reducer import reduce
from turmerictiller.state import new_state
from turmerictiller.state_dump import dump_state, health
from turmerictiller.upstreams import UpstreamClient

if TYPE_CHECKING:
    from collections.abc import Callable

    from turmerictiller.config import Settings

log = part_logger("application")


class Application:
    """One entry instance."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.clock = Clock()
        self.state = new_state(settings)
        self.callers = CallerServer(settings, self.clock, self.dispatch, lambda: health(self.state))
        self._upstreams: UpstreamClient
        self._platform: PlatformClient
        self._peers: Peers
        self._runners: list[web.AppRunner] = []
        self._wake: asyncio.TimerHandle | None = None
        self._stopped = asyncio.Event()
        self._run_by_effect: dict[type, Callable[[Any], None]] = {}

    def dispatch(self, event: Event) -> None:
        """Reduce one event and carry out its effects."""
        for effect in reduce(self.state, event):
            run = self._run_by_effect.get(type(effect))
            if run is not None:
                run(effect)

    async def run(self) -> None:
        """Serve until the process is told to stop."""
        self._upstreams = UpstreamClient(self.settings, self.clock, self.dispatch)
        self._platform = PlatformClient(self.settings, self.clock, self.dispatch)
        self._peers = Peers(self.settings, self.clock, self.dispatch, self._note_document)
        self._run_by_effect = self._effect_table()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._on_signal)
        await self._listen(self.callers.application(), self.settings.caller_address, True)
        operators = operator_application(lambda: dump_state(self.state))
        await self._listen(operators, self.settings.operator_address, False)
        await self._peers.start()
        self.dispatch(Tick(self.clock.now_ms()))
        self._platform.start()
        log("Started.", caller_address=self.settings.caller_address)
        await self._stopped.wait()
        await self._close()

    def _effect_table(self) -> dict[type, Callable[[Any], None]]:
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
            effects.WakeAt: self._set_wake,
            effects.WriteLog: self._write_log,
            effects.Stop: lambda effect: self._stopped.set(),
        }

    def _note_document(self) -> dict[str, Any] | None:
        return self.state.note.document if self.state.note else None

    def _on_signal(self) -> None:
        self.dispatch(ShutdownRequested(self.clock.now_ms()))
        self._stopped.set()

    def _set_wake(self, effect: effects.WakeAt) -> None:
        if self._wake is not None:
            self._wake.cancel()
        loop = asyncio.get_running_loop()
        delay_s = max(0.0, effect.at - self.clock.now_ms()) / 1000
        self._wake = loop.call_later(delay_s, self._on_wake, effect.at)

    def _on_wake(self, due_at: float) -> None:
        # The loop may wake a little early; a tick before the due time would run no timer.
        self.dispatch(Tick(max(self.clock.now_ms(), due_at)))

    def _write_log(self, effect: effects.WriteLog) -> None:
        part_logger(effect.part)(effect.message, **effect.fields)

    async def _listen(self, app: web.Application, address: str, is_caller: bool) -> None:
        host, _, port = address.rpartition(":")
        runner = web.AppRunner(app, handler_cancellation=is_caller, access_log=None)
        await runner.setup()
        await web.TCPSite(runner, host.strip("[]"), int(port)).start()
        self._runners.append(runner)

    async def _close(self) -> None:
        for runner in self._runners:
            await runner.cleanup()
        await self._platform.close()
        await self._peers.close()
        await self._upstreams.close()
        if self._wake is not None:
            self._wake.cancel()
