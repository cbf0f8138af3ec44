"""HTTP/1.1 server for callers."""

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

MAX_PIPELINED_REQUESTS = 4  # per connection, before reading pauses
SWEEP_INTERVAL_MS = 500.0


@dataclass(slots=True)
class ConnectionErrors:
    """Encoded responses to requests that cannot be read."""

    malformed: bytes
    headers_too_large: bytes
    body_too_large: bytes
    timed_out: bytes


@dataclass
class HttpListener:
    """A listening socket and its connections.

    :param on_request: receives each complete request; answered with ``ServerConnection.answer``.
    :param on_disconnect: called when a connection closes while a request is in flight.
    :param draining: whether connections are closed once their queued requests are answered.
    """

    clock: Clock
    limits: CallerLimits
    errors: ConnectionErrors
    on_request: Callable[[ServerConnection, RawRequest], None]
    on_disconnect: Callable[[ServerConnection], None]
    max_connections: int
    connections: set[ServerConnection] = field(default_factory=set)
    draining: bool = False
    _server: asyncio.AbstractServer | None = None
    _sweep_timer: asyncio.TimerHandle | None = None

    async def open(self, address: str) -> None:
        """Listen at ``IP:PORT``."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServerConnection(self), host, int(port), backlog=1024
        )
        self._sweep()

    def drain(self) -> None:
        """Stop listening and close idle connections."""
        self.draining = True
        if self._server is not None:
            self._server.close()
            self._server = None
        for connection in list(self.connections):
            connection.close_if_idle()

    def close(self) -> None:
        """Stop listening and close all connections."""
        self.drain()
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
        for connection in list(self.connections):
            connection.close()

    def _sweep(self) -> None:
        now = self.clock.now_ms()
        for connection in list(self.connections):
            connection.check_timeouts(now)
        loop = asyncio.get_running_loop()
        self._sweep_timer = loop.call_later(SWEEP_INTERVAL_MS / 1000, self._sweep)


class ServerConnection(asyncio.Protocol):
    """One connection of a caller; pipelined requests are served in order."""

    def __init__(self, listener: HttpListener) -> None:
        self.listener = listener
        self.call_id: int | None = None
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._pending: deque[RawRequest | bytes] = deque()
        self._is_serving = False
        self._is_closed = False
        self._close_after_answer = False
        self._phase_started_at: Millis = listener.clock.now_ms()
        self._is_reading = False
        self._reset_message()

    def _reset_message(self) -> None:
        self._target = b""
        self._headers: Headers = []
        self._values_by_name: dict[bytes, bytes] = {}
        self._header_bytes = 0
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._has_repeated_header = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # uvloop's transports are not subclasses of asyncio.Transport.
        self._transport = cast("asyncio.Transport", transport)
        if len(self.listener.connections) >= self.listener.max_connections:
            self._transport.abort()
            return
        self.listener.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._is_closed = True
        self.listener.connections.discard(self)
        self._pending.clear()
        if self._is_serving:
            self._is_serving = False
            self.listener.on_disconnect(self)

    def data_received(self, data: bytes) -> None:
        if self._close_after_answer and not self._is_serving:
            return
        if not self._is_reading:
            self._is_reading = True
            self._phase_started_at = self.listener.clock.now_ms()
        try:
            self._parser.feed_data(data)
        except _RequestTooLargeError as error:
            self._reject_request(error.answer)
        except httptools.HttpParserError as error:
            cause = error.__context__
            too_large = isinstance(cause, _RequestTooLargeError)
            answer = cause.answer if too_large else self.listener.errors.malformed  # type: ignore[union-attr]
            self._reject_request(answer)
        self._serve_next()

    def eof_received(self) -> bool:
        # A caller that half-closes its connection has abandoned its request.
        return False

    # Parser callbacks

    def on_url(self, url: bytes) -> None:
        self._target += url
        self._count_header_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        self._count_header_bytes(len(name) + len(value) + 4)
        self._headers.append((name, value))
        lower = name.lower()
        if lower in self._values_by_name and lower in (b"host", b"content-length"):
            self._has_repeated_header = True
        self._values_by_name[lower] = value

    def on_headers_complete(self) -> None:
        length = self._values_by_name.get(b"content-length", b"")
        if length.isdigit() and int(length) > self.listener.limits.max_body_bytes:
            raise _RequestTooLargeError(self.listener.errors.body_too_large)
        if (
            self._values_by_name.get(b"expect", b"").lower() == b"100-continue"
            and not self._is_serving
        ):
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
            self._values_by_name,
        )
        has_repeated_header = self._has_repeated_header
        keep_alive = self._parser.should_keep_alive()
        self._reset_message()
        self._is_reading = False
        if has_repeated_header:
            # A server could interpret repeated Host or Content-Length headers differently.
            self._pending.append(self.listener.errors.malformed)
            return
        self._pending.append(request)
        if not keep_alive:
            self._close_after_answer = True
        if len(self._pending) > MAX_PIPELINED_REQUESTS and self._transport is not None:
            self._transport.pause_reading()

    def _count_header_bytes(self, number: int) -> None:
        self._header_bytes += number
        if self._header_bytes > self.listener.limits.max_header_bytes:
            raise _RequestTooLargeError(self.listener.errors.headers_too_large)

    def _reject_request(self, answer: bytes) -> None:
        self._pending.append(answer)
        self._close_after_answer = True
        if self._transport is not None and not self._is_closed:
            self._transport.pause_reading()

    def _serve_next(self) -> None:
        while self._pending and not self._is_serving and not self._is_closed:
            request = self._pending.popleft()
            if isinstance(request, bytes):
                self._write(request)
                self.close()
                return
            self._is_serving = True
            self.listener.on_request(self, request)

    # Interface for request handlers

    def must_close(self, is_ready: bool) -> bool:
        """Return whether the connection must be closed after the next answer.

        Requests that were read already are answered first.

        :param is_ready: whether the instance accepts further requests on the connection.
        """
        is_last = self._close_after_answer or self.listener.draining or not is_ready
        return is_last and not self._pending

    def answer(self, data: bytes, close: bool) -> None:
        """Send the answer to the current request.

        :param close: whether to close the connection afterwards.
        """
        if self._is_closed:
            return
        self._is_serving = False
        self.call_id = None
        self._phase_started_at = self.listener.clock.now_ms()
        self._write(data)
        if close:
            self.close()
            return
        if self._transport is not None and not self._transport.is_reading():
            self._transport.resume_reading()
        self._serve_next()

    def close(self) -> None:
        """Close the connection after flushing buffered data."""
        if self._transport is not None and not self._is_closed:
            self._transport.close()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is being read, queued or served."""
        if not self._is_serving and not self._pending and not self._is_reading:
            self.close()

    def check_timeouts(self, now: Millis) -> None:
        """Close the connection if its idle or read timeout has expired."""
        if self._is_serving or self._pending:
            return
        limits = self.listener.limits
        if self._is_reading:
            if now - self._phase_started_at > limits.header_timeout_ms:
                self._write(self.listener.errors.timed_out)
                self.close()
        elif self.listener.draining or now - self._phase_started_at > limits.idle_timeout_ms:
            self.close()

    def _write(self, data: bytes) -> None:
        if self._transport is not None and not self._is_closed:
            self._transport.write(data)


class _RequestTooLargeError(Exception):
    """A request exceeds a size limit; carries the encoded response."""

    def __init__(self, answer: bytes) -> None:
        super().__init__("request too large")
        self.answer = answer
