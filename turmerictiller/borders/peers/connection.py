"""One outgoing connection to another entry instance."""

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
IDLE_SHARE = 0.5  # of the time after which the other side closes an idle connection


class PeerConnection:
    """Sends frames over one connection, opened on demand, and matches answers by request id."""

    def __init__(self, settings: Settings, address: str) -> None:
        self.address = address
        self._settings = settings
        self._request_ids = itertools.count(1)
        self._answers_by_id: dict[int, asyncio.Future[Message]] = {}
        self._writer: asyncio.StreamWriter | None = None
        self._reading: asyncio.Task[None] | None = None
        self._opening = asyncio.Lock()
        self._waiting = 0
        self._frames_read = 0
        self.is_retired = False
        self.used_at = asyncio.get_running_loop().time()

    @property
    def is_busy(self) -> bool:
        """Whether a message is being sent or an answer is awaited."""
        return self._waiting > 0

    @property
    def is_expired(self) -> bool:
        """Whether it was idle for so long that the other side may close it soon."""
        idle_s = asyncio.get_running_loop().time() - self.used_at
        return not self.is_busy and idle_s * 1000 > self._settings.peer_idle_ms * IDLE_SHARE

    async def send(self, message: Message) -> None:
        """Send a message that has no answer.

        :raises PeerError: if the peer can not be reached or does not keep up.
        """
        with _Slot(self):
            await self._write(next(self._request_ids), message)

    async def request(self, message: Message, timeout_ms: float) -> Message:
        """Send a message and return its answer.

        A connection on which nothing at all arrives until the time-out takes no more messages; it
        may have gone silent. Requests under way on it keep their time.

        :raises PeerError: if there is no answer in time; the peer may have acted all the same.
        """
        with _Slot(self):
            frames_before = self._frames_read
            request_id = next(self._request_ids)
            answer: asyncio.Future[Message] = asyncio.get_running_loop().create_future()
            self._answers_by_id[request_id] = answer
            try:
                async with asyncio.timeout(max(timeout_ms, 0.0) / 1000):
                    await self._write(request_id, message)
                    return await answer
            except TimeoutError:
                self.is_retired = self.is_retired or self._frames_read == frames_before
                raise PeerError("timed_out") from None
            finally:
                del self._answers_by_id[request_id]
                if answer.done() and not answer.cancelled():
                    answer.exception()  # marks it as retrieved

    def close(self, reason: str = "closed") -> None:
        """Close the connection; requests that wait for an answer fail."""
        if self._reading is not None:
            self._reading.cancel()
        if self._writer is not None:
            self._writer.transport.abort()
        self._reading = self._writer = None
        for answer in self._answers_by_id.values():
            if not answer.done():
                answer.set_exception(PeerError(reason))

    def enter(self) -> None:
        """Take one of the places for outstanding messages."""
        if self._waiting >= self._settings.max_peer_requests:
            raise PeerError("too_many_requests")
        self._waiting += 1

    def leave(self) -> None:
        """Give the place back."""
        self._waiting -= 1
        if self.is_retired and not self.is_busy:
            self.close("silent")
        self.used_at = asyncio.get_running_loop().time()

    async def _write(self, request_id: int, message: Message) -> None:
        try:
            data = encode_frame(Frame(request_id, message), self._settings.max_frame_bytes)
        except FrameError:
            raise PeerError("bad_message") from None
        async with self._opening:
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
        # The kernel ends a connection whose data is not acknowledged; without this, gossip to a
        # host that has vanished would seem to be sent for many minutes.
        user_timeout_ms = int(self._settings.peer_timeout_ms)
        connection = writer.get_extra_info("socket")
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, user_timeout_ms)
        self._writer = writer
        self._reading = asyncio.get_running_loop().create_task(self._read(reader))
        return writer

    async def _read(self, reader: asyncio.StreamReader) -> None:
        settings = self._settings
        reason = "closed"
        try:
            while True:
                timeout_s = settings.read_timeout_ms / 1000
                frame = await read_frame(reader, settings.max_frame_bytes, timeout_s)
                self._frames_read += 1
                answer = self._answers_by_id.get(frame.request_id)
                if answer is not None and not answer.done():
                    answer.set_result(frame.message)
        except FrameError:
            reason = "malformed"
        except TimeoutError:
            reason = "slow"
        except (EOFError, OSError):
            reason = "closed"
        self._reading = None
        self.close(reason)


class _Slot:
    """Holds a place for an outstanding message."""

    def __init__(self, connection: PeerConnection) -> None:
        self._connection = connection

    def __enter__(self) -> None:
        self._connection.enter()

    def __exit__(self, *_: object) -> None:
        self._connection.leave()
