"""Client for other entry instances, with one connection per peer."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from turmerictiller.borders.peers.connection import PeerConnection
from turmerictiller.borders.peers.frames import NoteAnswer, NoteRequest, RunOutcome, RunRequest
from turmerictiller.borders.peers.server import PeerServer
from turmerictiller.core.events import Event, ForwardAnswered, ForwardFailed, NoteSeen, PeerFailed
from turmerictiller.errors import PeerError

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from turmerictiller.clock import Clock
    from turmerictiller.config import Settings
    from turmerictiller.core.effects import FetchNote, ForwardRun, SendGossip

CLOSE_FLUSH_TIMEOUT_S = 0.1
OWNER_FAILURES = frozenset({"not_owner", "too_many_requests"})


class PeerClient:
    """Send messages to other instances and dispatch the outcomes as events.

    :param note_document: returns the note in force, or ``None``.
    :ivar server: server for the messages of other instances.
    """

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        dispatch: Callable[[Event], None],
        note_document: Callable[[], dict[str, Any] | None],
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._dispatch = dispatch
        self.server = PeerServer(settings, clock, dispatch, note_document)
        self._connections_by_address: dict[str, PeerConnection] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen for peers."""
        await self.server.start()

    async def close(self) -> None:
        """Close all connections, after a short wait for messages that are being sent."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=CLOSE_FLUSH_TIMEOUT_S)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for connection in self._connections_by_address.values():
            connection.close()
        await self.server.close()

    def send_gossip(self, effect: SendGossip) -> None:
        """Send a gossip message."""
        if not self._start_task(self._send_gossip(effect)):
            self._fail_peer(effect.address, "too_many_tasks")

    def fetch_note(self, effect: FetchNote) -> None:
        """Fetch the note in force from a peer."""
        if not self._start_task(self._request_note(effect)):
            self._fail_peer(effect.address, "too_many_tasks")

    def forward_run(self, effect: ForwardRun) -> None:
        """Forward a run request to the owner of its ticket."""
        if not self._start_task(self._request_run(effect)):
            self._fail_forward(effect.call_id, "too_many_tasks")

    def _start_task(self, message_coroutine: Coroutine[Any, Any, None]) -> bool:
        limit = self._settings.max_peer_connections + self._settings.max_searches
        if len(self._tasks) >= limit:
            message_coroutine.close()
            return False
        task = asyncio.get_running_loop().create_task(message_coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return True

    async def _send_gossip(self, effect: SendGossip) -> None:
        try:
            await self._connection_to(effect.address).send(effect.message)
        except PeerError as error:
            self._fail_peer(effect.address, error.reason)

    async def _request_note(self, effect: FetchNote) -> None:
        try:
            connection = self._connection_to(effect.address)
            answer = await connection.request(NoteRequest(), self._settings.note_fetch_timeout_ms)
        except PeerError as error:
            self._fail_peer(effect.address, error.reason)
            return
        if isinstance(answer, NoteAnswer):
            self._dispatch(NoteSeen(self._clock.now_ms(), effect.peer_id, answer.document))
        else:
            self._fail_peer(effect.address, "unexpected_answer")

    async def _request_run(self, effect: ForwardRun) -> None:
        request = RunRequest(
            effect.incarnation,
            effect.front,
            effect.ticket,
            effect.action,
            effect.body,
            effect.budget_ms,
            effect.service,
            effect.wire_id,
        )
        try:
            answer = await self._connection_to(effect.address).request(request, effect.budget_ms)
        except PeerError as error:
            self._fail_forward(effect.call_id, error.reason)
            return
        if not isinstance(answer, RunOutcome):
            self._fail_forward(effect.call_id, "unexpected_answer")
        elif answer.failure is not None:
            reason = answer.failure if answer.failure in OWNER_FAILURES else "refused"
            self._fail_forward(effect.call_id, reason)
        else:
            self._dispatch(
                ForwardAnswered(
                    self._clock.now_ms(),
                    effect.call_id,
                    answer.outcome,
                    answer.answer,
                    answer.reason,
                    answer.retry_after_ms,
                )
            )

    def _connection_to(self, address: str) -> PeerConnection:
        connections = self._connections_by_address
        connection = connections.get(address)
        if connection is not None and not (connection.is_retired or connection.is_expired):
            return connection
        self._close_expired()
        if len(connections) >= self._settings.max_peer_connections:
            self._close_longest_idle()
        connections[address] = PeerConnection(self._settings, address)
        return connections[address]

    def _close_expired(self) -> None:
        connections = self._connections_by_address
        for address in [key for key, item in connections.items() if item.is_expired]:
            connections.pop(address).close()

    def _close_longest_idle(self) -> None:
        idle = [item for item in self._connections_by_address.values() if not item.is_busy]
        if not idle:
            raise PeerError("too_many_connections")
        longest_idle = min(idle, key=lambda item: item.last_used_at)
        self._connections_by_address.pop(longest_idle.address).close()

    def _fail_peer(self, address: str, reason: str) -> None:
        self._dispatch(PeerFailed(self._clock.now_ms(), address, reason))

    def _fail_forward(self, call_id: int, reason: str) -> None:
        self._dispatch(ForwardFailed(self._clock.now_ms(), call_id, reason))
