"""Outgoing connection to another entry instance."""

from __future__ import annotations

import asyncio
import itertools
import socket
from typing import TYPE_CHECKING

from turmerictiller.borders.peers.frames import Frame, Message, encode_frame, read_frame
from turmerictiller.errors import FrameError, PeerError

if TYPE_CHECKING:
    from turmerictiller.config import Settings

MAX_UNSENT_BYTES = 262_144
MAX_IDLE_SHARE = 0.5  # of the idle timeout after which the peer closes the connection


class PeerConnection:
    """Send frames over one lazily opened connection and match responses by request id."""

    def __init__(self, settings: Settings, address: str) -> None:
        self.address = address
        self._settings = settings
        self._request_ids = itertools.count(1)
        self._responses_by_id: dict[int, asyncio.Future[Message]] = {}
        self._writer: asyncio.StreamWriter | None = None
        self._read_task: asyncio.Task[None] | None = None
        self._open_lock = asyncio.Lock()
        self._outstanding = 0
        self._frames_read = 0
        self.is_retired = False
        self.last_used_at = asyncio.get_running_loop().time()

    @property
    def is_busy(self) -> bool:
        """Whether a message is being sent or a response is outstanding."""
        return self._outstanding > 0

    @property
    def is_expired(self) -> bool:
        """Whether it has been idle for so long that the peer may close it soon."""
        idle_s = asyncio.get_running_loop().time() - self.last_used_at
        return not self.is_busy and idle_s * 1000 > self._settings.peer_idle_ms * MAX_IDLE_SHARE

    async def send(self, message: Message) -> None:
        """Send a message that has no response.

        :raises PeerError: if the peer is unreachable or reads too slowly.
        """
        with _OutstandingMessage(self):
            await self._write(next(self._request_ids), message)

    async def request(self, message: Message, timeout_ms: float) -> Message:
        """Send a message and return its response.

        If nothing at all arrives on the connection until the timeout, it may be half-open and is
        retired: it accepts no new messages, while outstanding requests keep their own timeouts.

        :param timeout_ms: time until the response, connecting included.
        :raises PeerError: if there is no response in time; the peer may still have processed the
            request.
        """
        with _OutstandingMessage(self):
            frames_before = self._frames_read
            request_id = next(self._request_ids)
            response: asyncio.Future[Message] = asyncio.get_running_loop().create_future()
            self._responses_by_id[request_id] = response
            try:
                async with asyncio.timeout(max(timeout_ms, 0.0) / 1000):
                    await self._write(request_id, message)
                    return await response
            except TimeoutError:
                self.is_retired = self.is_retired or self._frames_read == frames_before
                raise PeerError("timed_out") from None
            finally:
                del self._responses_by_id[request_id]
                if response.done() and not response.cancelled():
                    response.exception()  # marks it as retrieved

    def close(self, reason: str = "closed") -> None:
        """Close the connection and fail its outstanding requests."""
        if self._read_task is not None:
            self._read_task.cancel()
        if self._writer is not None:
            self._writer.transport.abort()
        self._read_task = self._writer = None
        for response in self._responses_by_id.values():
            if not response.done():
                response.set_exception(PeerError(reason))

    def begin_message(self) -> None:
        """Count one more outstanding message.

        :raises PeerError: if ``max_peer_requests`` are outstanding already.
        """
        if self._outstanding >= self._settings.max_peer_requests:
            raise PeerError("too_many_requests")
        self._outstanding += 1

    def end_message(self) -> None:
        """Count one outstanding message less; close a retired connection without messages."""
        self._outstanding -= 1
        if self.is_retired and not self.is_busy:
            self.close("silent")
        self.last_used_at = asyncio.get_running_loop().time()

    async def _write(self, request_id: int, message: Message) -> None:
        try:
            data = encode_frame(Frame(request_id, message), self._settings.max_frame_bytes)
        except FrameError:
            raise PeerError("bad_message") from None
        async with self._open_lock:
            writer = self._writer or await self._open()
        unsent = writer.transport.get_write_buffer_size()
        if unsent > MAX_UNSENT_BYTES:
            self.close("slow")
            raise PeerError("slow")
        writer.write(data)

    async def _open(self) -> asyncio.StreamWriter:
        host, _, port = self.address.rpartition(":")
        try:
            async with asyncio.timeout(self._settings.peer_connect_timeout_ms / 1000):
                reader, writer = await asyncio.open_connection(host.strip("[]"), int(port))
        except (OSError, TimeoutError):
            raise PeerError("unreachable") from None
        # Make the kernel close a connection whose data is not acknowledged in time. Otherwise
        # gossip to a host that has disappeared would seem to succeed for many minutes.
        user_timeout_ms = int(self._settings.peer_timeout_ms)
        connection = writer.get_extra_info("socket")
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, user_timeout_ms)
        self._writer = writer
        self._read_task = asyncio.get_running_loop().create_task(self._read_responses(reader))
        return writer

    async def _read_responses(self, reader: asyncio.StreamReader) -> None:
        settings = self._settings
        reason = "closed"
        try:
            while True:
                timeout_s = settings.read_timeout_ms / 1000
                frame = await read_frame(reader, settings.max_frame_bytes, timeout_s)
                self._frames_read += 1
                response = self._responses_by_id.get(frame.request_id)
                if response is not None and not response.done():
                    response.set_result(frame.message)
        except FrameError:
            reason = "malformed"
        except TimeoutError:
            reason = "slow"
        except (EOFError, OSError):
            reason = "closed"
        self._read_task = None
        self.close(reason)


class _OutstandingMessage:
    """Count a message as outstanding within a ``with`` block."""

    def __init__(self, connection: PeerConnection) -> None:
        self._connection = connection

    def __enter__(self) -> None:
        self._connection.begin_message()

    def __exit__(self, *_: object) -> None:
        self._connection.end_message()
