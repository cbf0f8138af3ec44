"""Server for other entry instances."""

from __future__ import annotations

import asyncio
import itertools
from collections import Counter
from typing import TYPE_CHECKING, Any

from turmerictiller.borders.peers.frames import (
    Frame,
    Message,
    NoteAnswer,
    NoteRequest,
    RunOutcome,
    RunRequest,
    encode_frame,
    read_frame,
)
from turmerictiller.core.events import Event, GossipReceived, RunForwarded
from turmerictiller.core.peers.gossip_model import GossipMessage
from turmerictiller.errors import FrameError

if TYPE_CHECKING:
    from collections.abc import Callable

    from turmerictiller.clock import Clock
    from turmerictiller.config import Settings
    from turmerictiller.core.effects import AnswerForward

MAX_UNSENT_BYTES = 4_194_304


class PeerServer:
    """Accept connections of peers and respond to their requests.

    :param note_document: returns the note in force, or ``None``.
    :ivar counters: number of refused and closed connections and of unsent responses, by reason.
    """

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        dispatch: Callable[[Event], None],
        note_document: Callable[[], dict[str, Any] | None],
    ) -> None:
        self.counters: Counter[str] = Counter()
        self._settings = settings
        self._clock = clock
        self._dispatch = dispatch
        self._note_document = note_document
        self._forward_ids = itertools.count(1)
        self._forwards_by_id: dict[int, tuple[asyncio.StreamWriter, int]] = {}
        self._connections: dict[asyncio.Task[Any], asyncio.StreamWriter] = {}
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on the peer address."""
        host, _, port = self._settings.peer_address.rpartition(":")
        self._server = await asyncio.start_server(self._on_connection, host.strip("[]"), int(port))

    async def close(self) -> None:
        """Close the listener and all connections."""
        if self._server is not None:
            self._server.close()
        for task, writer in list(self._connections.items()):
            task.cancel()
            writer.transport.abort()
        await asyncio.gather(*self._connections, return_exceptions=True)

    def answer_forward(self, effect: AnswerForward) -> None:
        """Send the outcome of a forwarded run, if its connection is still open."""
        forward = self._forwards_by_id.pop(effect.forward_id, None)
        if forward is None:
            return
        writer, request_id = forward
        outcome = RunOutcome(effect.outcome, effect.answer, effect.reason, effect.retry_after_ms)
        self._respond(writer, request_id, outcome)

    async def _on_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        if len(self._connections) >= self._settings.max_peer_connections:
            self.counters["peers.too_many_connections"] += 1
            writer.transport.abort()
            return
        self._connections[task] = writer
        reason = "closed"
        try:
            await self._read_frames(reader, writer)
        except FrameError:
            reason = "malformed"
        except TimeoutError:
            reason = "slow_or_idle"
        except (EOFError, OSError):
            reason = "closed"
        except asyncio.CancelledError:
            # Not raised again: asyncio's connection callback logs a cancelled task as an error.
            reason = "shutdown"
        finally:
            self.counters[f"peers.connections_ended.{reason}"] += 1
            del self._connections[task]
            self._drop_forwards(writer)
            writer.transport.abort()

    async def _read_frames(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        settings = self._settings
        while True:
            async with asyncio.timeout(settings.peer_idle_ms / 1000):
                timeout_s = settings.read_timeout_ms / 1000
                frame = await read_frame(reader, settings.max_frame_bytes, timeout_s)
            self._on_frame(writer, frame)

    def _on_frame(self, writer: asyncio.StreamWriter, frame: Frame) -> None:
        now = self._clock.now_ms()
        match frame.message:
            case GossipMessage() as message:
                self._dispatch(GossipReceived(now, message))
            case NoteRequest():
                self._respond(writer, frame.request_id, NoteAnswer(self._note_document()))
            case RunRequest() as request:
                self._on_run_request(writer, frame.request_id, request)
            case _:
                raise FrameError("a response without a request")

    def _on_run_request(
        self, writer: asyncio.StreamWriter, request_id: int, request: RunRequest
    ) -> None:
        if request.incarnation != self._settings.incarnation:
            self._respond(writer, request_id, RunOutcome(failure="not_owner"))
            return
        outstanding = sum(1 for other, _ in self._forwards_by_id.values() if other is writer)
        if outstanding >= self._settings.max_peer_requests:
            self._respond(writer, request_id, RunOutcome(failure="too_many_requests"))
            return
        forward_id = next(self._forward_ids)
        self._forwards_by_id[forward_id] = (writer, request_id)
        self._dispatch(
            RunForwarded(
                self._clock.now_ms(),
                forward_id,
                request.incarnation,
                request.front,
                request.ticket,
                request.action,
                request.body,
                request.budget_ms,
                request.service,
                request.wire_id,
            )
        )

    def _respond(self, writer: asyncio.StreamWriter, request_id: int, message: Message) -> None:
        if writer.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self.counters["peers.slow_reader"] += 1
            writer.transport.abort()
            return
        try:
            data = encode_frame(Frame(request_id, message), self._settings.max_frame_bytes)
        except FrameError:
            self.counters["peers.answer_not_sent"] += 1
            return
        writer.write(data)

    def _drop_forwards(self, writer: asyncio.StreamWriter) -> None:
        self._forwards_by_id = {
            forward_id: forward
            for forward_id, forward in self._forwards_by_id.items()
            if forward[0] is not writer
        }
