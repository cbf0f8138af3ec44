"""Connections of callers: limits, typed refusals of invalid HTTP, and lingering close.

Closing a socket that holds unread bytes resets the connection, and a reset can destroy a response
in transit. So a connection is half-closed first, and the bytes that still arrive are discarded.
"""

from __future__ import annotations

import asyncio
import contextlib
import select
import socket
from typing import TYPE_CHECKING, Any

from aiohttp import web

from turmerictiller.borders.callers.answers import (
    RETRY_AFTER_MS,
    headers_too_large,
    refusal_bytes,
    refusal_of,
    refusal_response,
    shutting_down,
    timed_out_reading,
)
from turmerictiller.errors import Ran, Refusal, RefusalType, ShutdownError

if TYPE_CHECKING:
    from collections.abc import Callable

    from turmerictiller.config import Settings

BACKLOG = 1_024
MAX_HEADERS = 100
LINGER_S = 1.0
IDLE_CHECK_INTERVAL_S = 0.05
MAX_READ_ITERATIONS = 20  # iterations of the event loop


class CallerConnection(web.RequestHandler):
    """HTTP connection of a caller.

    It uses private attributes of aiohttp's handler, which show whether a request is being handled
    or queued.

    :ivar on_half_close: called when the caller closes its sending side during a call.
    """

    def __init__(
        self, listener: CallerListener, server: web.Server, loop: asyncio.AbstractEventLoop
    ) -> None:
        settings = listener.settings
        super().__init__(
            server,
            loop=loop,
            access_log=None,  # type: ignore[arg-type]
            keepalive_timeout=settings.caller_idle_ms / 1000,
            max_line_size=settings.max_header_bytes,
            max_field_size=settings.max_header_bytes,
            max_headers=MAX_HEADERS,
            lingering_time=0,
            auto_decompress=False,
        )
        self.is_half_closed = False
        self.on_half_close: Callable[[], None] | None = None
        self._listener = listener
        self._discarding = False
        self._caller_closed = loop.create_future()
        self._header_bytes = 0
        self._header_timer: asyncio.TimerHandle | None = None
        self._last_activity_at = loop.time()

    def connection_lost(self, exc: BaseException | None) -> None:
        self._listener.connections.discard(self)
        self._clear_header_timer()
        self._mark_caller_closed()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        if self._discarding:
            return
        self._last_activity_at = self._loop.time()
        requests_before = self._request_count
        super().data_received(data)
        if self._request_count != requests_before:
            self._clear_header_timer()
        elif data and self._is_between_requests():
            self._on_partial_header(len(data))

    def eof_received(self) -> bool | None:  # type: ignore[override]
        self._mark_caller_closed()
        if self._discarding:
            return None
        if self._header_timer is not None:
            self._refuse(Refusal(RefusalType.MALFORMED_HTTP, "the request is not complete"))
            return None
        if self._is_between_requests():
            return None
        self.is_half_closed = True
        request = self._current_request
        if request is not None and not request.content.is_eof():
            request.content.set_exception(web.RequestPayloadError("the body is not complete"))
        if self.on_half_close is not None:
            self.on_half_close()
        return True

    async def finish_response(
        self, request: web.BaseRequest, resp: web.StreamResponse, start_time: float | None
    ) -> tuple[web.StreamResponse, bool]:
        if isinstance(resp, web.HTTPException):
            resp = refusal_response(self._listener.count_refusal(refusal_of(resp)))
        if isinstance(resp, web.StreamResponse) and self._should_close_after(request):
            resp.force_close()
        try:
            async with asyncio.timeout(self._listener.settings.read_timeout_ms / 1000):
                result = await super().finish_response(request, resp, start_time)
        except TimeoutError:
            self.abort()
            raise ConnectionResetError("the caller did not read the response in time") from None
        self._last_activity_at = self._loop.time()
        if not result[0].keep_alive:
            await self._linger_until_closed()
        return result

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        error = exc if exc is not None else RuntimeError(message)
        response = refusal_response(self._listener.count_refusal(refusal_of(error)))
        response.force_close()
        return response

    def abort(self) -> None:
        """Reset the connection without a response."""
        if self.transport is not None:
            self.transport.abort()

    def refuse_incomplete_request(self) -> None:
        """Refuse a request whose header or body is still incomplete."""
        request = self._current_request
        if self._header_timer is not None and self._is_between_requests():
            self._refuse(shutting_down(Ran.NO))
        elif request is not None and not request.content.is_eof():
            request.content.set_exception(ShutdownError())

    def is_idle(self, idle_s: float) -> bool:
        """Return whether there is no request and no activity for some time."""
        if not self._is_between_requests() or self._header_timer is not None or self._discarding:
            return False
        return self._loop.time() - self._last_activity_at >= idle_s and not self.has_unread_bytes()

    def _is_between_requests(self) -> bool:
        return self._waiter is not None and not self._waiter.done() and not self._messages

    def _should_close_after(self, request: web.BaseRequest) -> bool:
        if not request.content.is_eof():
            return True
        if self._messages:
            return False
        if self.is_half_closed:
            return True
        return self._listener.is_leaving() and not self.has_unread_bytes()

    def has_unread_bytes(self) -> bool:
        """Return whether the socket buffer holds bytes or the end of the stream."""
        if self.transport is None:
            return False
        poll = select.poll()
        poll.register(self.transport.get_extra_info("socket").fileno(), select.POLLIN)
        return bool(poll.poll(0))

    def _on_partial_header(self, size: int) -> None:
        settings = self._listener.settings
        self._header_bytes += size
        if self._header_bytes > settings.max_header_bytes:
            self._refuse(headers_too_large())
        elif self._header_timer is None:
            delay_s = settings.read_timeout_ms / 1000
            self._header_timer = self._loop.call_later(delay_s, self._on_header_timeout)

    def _on_header_timeout(self) -> None:
        if self._is_between_requests():
            self._refuse(timed_out_reading("header"))

    def _clear_header_timer(self) -> None:
        self._header_bytes = 0
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None

    def _refuse(self, refusal: Refusal) -> None:
        self._clear_header_timer()
        if self.transport is not None:
            self.transport.write(refusal_bytes(self._listener.count_refusal(refusal)))
        self._half_close()
        self._loop.call_later(LINGER_S, self.force_close)

    def _half_close(self) -> None:
        self._discarding = True
        if self.transport is not None and not self.transport.is_closing():
            with contextlib.suppress(RuntimeError):
                self.transport.resume_reading()
            with contextlib.suppress(OSError):
                self.transport.write_eof()

    async def _linger_until_closed(self) -> None:
        self._half_close()
        if self.transport is not None and not self.transport.is_closing():
            await asyncio.wait([self._caller_closed], timeout=LINGER_S)

    def _mark_caller_closed(self) -> None:
        if not self._caller_closed.done():
            self._caller_closed.set_result(None)


class RefusedConnection(asyncio.Protocol):
    """Connection over the limit: send one refusal, then close."""

    def __init__(self, listener: CallerListener) -> None:
        self._listener = listener
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        message = "this instance has as many connections as it takes"
        refusal = Refusal(RefusalType.TOO_MANY_CONNECTIONS, message, Ran.NO, RETRY_AFTER_MS)
        self._listener.count_refusal(refusal)
        # Lingering refused connections are limited as well; those over the limit are reset.
        if len(self._listener.refused) > self._listener.settings.max_caller_connections:
            transport.abort()
            return
        transport.write(refusal_bytes(refusal))
        transport.write_eof()
        asyncio.get_running_loop().call_later(LINGER_S, transport.close)

    def connection_lost(self, exc: Exception | None) -> None:
        self._listener.refused.discard(self)


class CallerListener:
    """Listening socket for callers and its accepted connections."""

    def __init__(
        self,
        settings: Settings,
        is_leaving: Callable[[], bool],
        count_refusal: Callable[[Refusal], Refusal],
    ) -> None:
        self.settings = settings
        self.is_leaving = is_leaving
        self.count_refusal = count_refusal
        self.connections: set[CallerConnection] = set()
        self.refused: set[RefusedConnection] = set()
        self.port = 0
        self._runner: web.AppRunner | None = None
        self._socket: socket.socket | None = None
        self._server: asyncio.Server | None = None
        self._accept_tasks: set[asyncio.Task[Any]] = set()

    async def open(self, app: web.Application) -> None:
        """Listen on ``caller_address``."""
        host, _, port = self.settings.caller_address.rpartition(":")
        host = host.strip("[]")
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self._runner = web.AppRunner(app, handler_cancellation=True, shutdown_timeout=LINGER_S)
        await self._runner.setup()
        self._socket = socket.create_server((host, int(port)), family=family, backlog=BACKLOG)
        self._socket.setblocking(False)
        self.port = self._socket.getsockname()[1]
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._create_protocol, sock=self._socket, backlog=BACKLOG
        )

    def close_listening(self) -> None:
        """Stop listening, after accepting the backlog, which a close would reset."""
        if self._server is None or self._socket is None:
            return
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError):
            while True:
                client_socket, _ = self._socket.accept()
                client_socket.setblocking(False)
                task = loop.create_task(
                    loop.connect_accepted_socket(self._create_protocol, client_socket)
                )
                self._accept_tasks.add(task)
                task.add_done_callback(self._accept_tasks.discard)
        self._server.close()
        self._server = None

    async def close_idle_until_empty(self) -> None:
        """Close connections as they become idle; return when none is open."""
        idle_s = self.settings.quiet_close_ms / 1000
        while self.connections or self._accept_tasks:
            for connection in list(self.connections):
                if connection.is_idle(idle_s):
                    connection.force_close()
            await asyncio.sleep(IDLE_CHECK_INTERVAL_S)

    async def read_pending_requests(self) -> None:
        """Let requests in socket buffers be read, so that they are refused instead of reset."""
        for _ in range(MAX_READ_ITERATIONS):
            await asyncio.sleep(0)
            if not self._accept_tasks and not any(
                item.has_unread_bytes() for item in self.connections
            ):
                return

    async def close(self) -> None:
        """Stop listening and close all connections."""
        self.close_listening()
        if self._runner is not None:
            await self._runner.cleanup()

    def _create_protocol(self) -> asyncio.Protocol:
        if len(self.connections) >= self.settings.max_caller_connections:
            refused = RefusedConnection(self)
            self.refused.add(refused)
            return refused
        assert self._runner is not None
        assert self._runner.server is not None
        connection = CallerConnection(self, self._runner.server, asyncio.get_running_loop())
        self.connections.add(connection)
        return connection
