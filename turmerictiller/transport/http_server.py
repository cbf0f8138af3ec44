"""Connections of callers."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, cast

import httptools

from turmerictiller.transport.messages import RawRequest

if TYPE_CHECKING:
    from collections.abc import Callable

    from turmerictiller.clock import Clock, Millis
    from turmerictiller.forwarding.model import CallerLimits
    from turmerictiller.transport.messages import Headers

MAX_WAITING = 4  # requests that a caller may send ahead on one connection
SWEEP_MS = 500.0


@dataclass(slots=True)
class ConnectionErrors:
    """Bytes to answer requests with that can not be read."""

    malformed: bytes
    headers_too_large: bytes
    body_too_large: bytes
    timed_out: bytes


@dataclass
class HttpListener:
    """A listening socket and its connections.

    :param on_request: called with each whole request; answers by ``ServerConnection.answer``.
    :param on_left: called when a connection ends while a request waits for its answer.
    :param closing: answers end their connections.
    """

    clock: Clock
    limits: CallerLimits
    errors: ConnectionErrors
    on_request: Callable[[ServerConnection, RawRequest], None]
    on_left: Callable[[ServerConnection], None]
    max_connections: int
    connections: set[ServerConnection] = field(default_factory=set)
    closing: bool = False
    _server: asyncio.AbstractServer | None = None
    _sweeper: asyncio.TimerHandle | None = None

    async def open(self, address: str) -> None:
        """Listen at ``IP:PORT``."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServerConnection(self), host, int(port), backlog=1024
        )
        self._sweep()

    def leave(self) -> None:
        """Stop listening and close the connections that are idle."""
        self.closing = True
        if self._server is not None:
            self._server.close()
            self._server = None
        for connection in list(self.connections):
            connection.close_if_idle()

    def close(self) -> None:
        """Close everything."""
        self.leave()
        if self._sweeper is not None:
            self._sweeper.cancel()
        for connection in list(self.connections):
            connection.close()

    def _sweep(self) -> None:
        now = self.clock.now_ms()
        for connection in list(self.connections):
            connection.check_time(now)
        loop = asyncio.get_running_loop()
        self._sweeper = loop.call_later(SWEEP_MS / 1000, self._sweep)


class ServerConnection(asyncio.Protocol):
    """One connection of a caller; its requests are served one after the other."""

    def __init__(self, listener: HttpListener) -> None:
        self.listener = listener
        self.call_id: int | None = None
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._waiting: deque[RawRequest | bytes] = deque()
        self._busy = False
        self._closed = False
        self._close_after_answer = False
        self._since: Millis = listener.clock.now_ms()
        self._reading = False
        self._reset_message()

    def _reset_message(self) -> None:
        self._target = b""
        self._headers: Headers = []
        self._values: dict[bytes, bytes] = {}
        self._header_bytes = 0
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._repeated = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # uvloop's transports are no subclasses of asyncio.Transport.
        self._transport = cast("asyncio.Transport", transport)
        if len(self.listener.connections) >= self.listener.max_connections:
            self._transport.abort()
            return
        self.listener.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._closed = True
        self.listener.connections.discard(self)
        self._waiting.clear()
        if self._busy:
            self._busy = False
            self.listener.on_left(self)

    def data_received(self, data: bytes) -> None:
        if self._close_after_answer and not self._busy:
            return
        if not self._reading:
            self._reading = True
            self._since = self.listener.clock.now_ms()
        try:
            self._parser.feed_data(data)
        except _RequestTooLargeError as error:
            self._refuse_reading(error.answer)
        except httptools.HttpParserError as error:
            cause = error.__context__
            too_large = isinstance(cause, _RequestTooLargeError)
            answer = cause.answer if too_large else self.listener.errors.malformed  # type: ignore[union-attr]
            self._refuse_reading(answer)
        self._serve_next()

    def eof_received(self) -> bool:
        # A caller that closes its sending side has given up its request.
        return False

    # Callbacks of the parser

    def on_url(self, url: bytes) -> None:
        self._target += url
        self._count_header_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        self._count_header_bytes(len(name) + len(value) + 4)
        self._headers.append((name, value))
        lower = name.lower()
        if lower in self._values and lower in (b"host", b"content-length"):
            self._repeated = True
        self._values[lower] = value

    def on_headers_complete(self) -> None:
        length = self._values.get(b"content-length", b"")
        if length.isdigit() and int(length) > self.listener.limits.max_body_bytes:
            raise _RequestTooLargeError(self.listener.errors.body_too_large)
        if self._values.get(b"expect", b"").lower() == b"100-continue" and not self._busy:
            self._write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        self._body.append(body)
        self._body_bytes += len(body)
        if self._body_bytes > self.listener.limits.max_body_bytes:
            raise _RequestTooLargeError(self.listener.errors.body_too_large)

    def on_message_complete(self) -> None:
        request = RawRequest(
            self._parser.get_method(),
            self._target,
            self._headers,
            b"".join(self._body),
            self._values,
        )
        repeated = self._repeated
        keep_alive = self._parser.should_keep_alive()
        self._reset_message()
        self._reading = False
        if repeated:
            # Two hosts or lengths could be read differently by a server.
            self._waiting.append(self.listener.errors.malformed)
            return
        self._waiting.append(request)
        if not keep_alive:
            self._close_after_answer = True
        if len(self._waiting) > MAX_WAITING and self._transport is not None:
            self._transport.pause_reading()

    def _count_header_bytes(self, number: int) -> None:
        self._header_bytes += number
        if self._header_bytes > self.listener.limits.max_header_bytes:
            raise _RequestTooLargeError(self.listener.errors.headers_too_large)

    def _refuse_reading(self, answer: bytes) -> None:
        self._waiting.append(answer)
        self._close_after_answer = True
        if self._transport is not None and not self._closed:
            self._transport.pause_reading()

    def _serve_next(self) -> None:
        while self._waiting and not self._busy and not self._closed:
            request = self._waiting.popleft()
            if isinstance(request, bytes):
                self._write(request)
                self.close()
                return
            self._busy = True
            self.listener.on_request(self, request)

    # Used by the shell

    @property
    def must_close(self) -> bool:
        """Whether the next answer ends the connection."""
        return (self._close_after_answer or self.listener.closing) and not self._waiting

    def answer(self, data: bytes, close: bool) -> None:
        """Send the answer of the request that is being served."""
        if self._closed:
            return
        self._busy = False
        self.call_id = None
        self._since = self.listener.clock.now_ms()
        self._write(data)
        if close:
            self.close()
            return
        if self._transport is not None and not self._transport.is_reading():
            self._transport.resume_reading()
        self._serve_next()

    def close(self) -> None:
        """Close the connection after all bytes are written."""
        if self._transport is not None and not self._closed:
            self._transport.close()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is being read or served."""
        if not self._busy and not self._waiting and not self._reading:
            self.close()

    def check_time(self, now: Millis) -> None:
        """Close the connection if the caller is idle or slow for too long."""
        if self._busy or self._waiting:
            return
        limits = self.listener.limits
        if self._reading:
            if now - self._since > limits.header_timeout_ms:
                self._write(self.listener.errors.timed_out)
                self.close()
        elif self.listener.closing or now - self._since > limits.idle_timeout_ms:
            self.close()

    def _write(self, data: bytes) -> None:
        if self._transport is not None and not self._closed:
            self._transport.write(data)


class _RequestTooLargeError(Exception):
    """A request that is larger than the limits; carries the answer to it."""

    def __init__(self, answer: bytes) -> None:
        super().__init__("request too large")
        self.answer = answer
