"""Connections to servers, kept for further requests."""

from __future__ import annotations

import asyncio
import re
import socket
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, cast

import httptools

from turmerictiller.forwarding.events import Failure
from turmerictiller.transport.messages import RawResponse
from turmerictiller.transport.time_limits import time_limit

if TYPE_CHECKING:
    from collections.abc import Callable

    from turmerictiller.clock import Clock, Millis
    from turmerictiller.transport.messages import Headers

# A connection takes 1 to 6 ms to open; a busy server may let it wait for a slot. A longer time would
# use up the target of a search whose second attempt goes to a server that is gone.
CONNECT_TIMEOUT_MS = 100.0
# Bytes that are not acknowledged for so long are lost: connections can go silent without a reset.
UNACKNOWLEDGED_MS = 1_000
DEFAULT_IDLE_MS = 4_000.0  # for servers that do not tell how long they keep idle connections
IDLE_MARGIN_MS = 1_000.0  # servers tell whole seconds
FRESH_MS = 500.0  # idle time up to which a connection carries a request that must not be lost
MAX_IDLE = 4  # idle connections kept per address
# A server that has no room for a new connection accepts and resets it, within one way there and back. A
# server that runs a request takes longer, because opening the connection alone takes it 6 ms, unless it
# crashes at once.
NOT_ACCEPTED_MS = 5.0
SETTLE_MS = 3.0  # a reset from another failure domain is here by then
MAX_ANSWER_BYTES = 8_388_608
# Bytes that are not body: the head, interim answers and trailers. Servers and proxies commonly allow less.
MAX_HEAD_BYTES = 65_536
MAX_FRAMING = 8  # bytes for the sizes of chunks per byte of the body; 5 where each is one byte long
# All answers of a pool that are still incomplete. Beyond this, only small ones may grow further.
MAX_BUFFERED_BYTES = 33_554_432
SMALL_ANSWER_BYTES = 262_144

_KEEP_ALIVE = re.compile(rb"timeout\s*=\s*(\d+)", re.IGNORECASE)


@dataclass(slots=True)
class Exchange:
    """One request on a connection, and what is called with its end.

    :param accept: returns whether a response belongs to this request; takes whether it has to
        name the request.
    :param settle: send nothing on a new connection until the server has had time to reset it.
    :param may_send: whether the server still wants the request, asked once a connection is open.
    """

    data: bytes
    accept: Callable[[RawResponse, bool], bool]
    on_response: Callable[[RawResponse], None]
    on_failure: Callable[[Failure, bool], None]
    settle: bool = False
    may_send: Callable[[], bool] = lambda: True
    connection: ClientConnection | None = None
    opening: asyncio.Task[None] | None = None
    ended: bool = False


class ClientConnection(asyncio.Protocol):
    """One connection to a server."""

    def __init__(self, pool: ConnectionPool, address: str) -> None:
        self.pool = pool
        self.address = address
        self.exchange: Exchange | None = None
        self.idle_since: Millis = 0.0
        self.keep_ms = DEFAULT_IDLE_MS
        self.closed = False
        self._sent_at: Millis = 0.0
        self._is_first = True
        self._names_requests = False
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._complete: list[RawResponse] = []
        self._reusable = True
        self._received_bytes = 0
        self._body_bytes = 0
        self._reset_message()

    def _reset_message(self) -> None:
        self.pool.buffered_bytes -= self._body_bytes
        self._in_head = True
        self._reason = b""
        self._headers: Headers = []
        self._values: dict[bytes, bytes] = {}
        self._body = bytearray()
        self._body_bytes = 0
        self._in_message = False
        self._until_close = False

    def send(self, exchange: Exchange) -> None:
        """Send a request on this idle connection."""
        exchange.connection = self
        self.exchange = exchange
        self._sent_at = self.pool.clock.now_ms()
        self._received_bytes = 0
        assert self._transport is not None
        self._transport.write(exchange.data)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # uvloop's transports are no subclasses of asyncio.Transport.
        self._transport = cast("asyncio.Transport", transport)
        found = transport.get_extra_info("socket")
        if found is not None:
            found.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
            found.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)

    def data_received(self, data: bytes) -> None:
        self._is_first = False
        if self.exchange is None:
            # Bytes that belong to no request.
            self.abort()
            return
        self._received_bytes += len(data)
        try:
            self._parser.feed_data(data)
            self._check_framing()
        except (httptools.HttpParserError, httptools.HttpParserUpgrade, _AnswerTooLargeError):
            if not self._complete:
                self._fail(Failure.BAD_ANSWER)
                return
            self._reusable = False
        self._deliver()

    def _check_framing(self) -> None:
        """Bound what an answer has besides its body, which the parser may keep."""
        framing = self._received_bytes - self._body_bytes
        if framing > MAX_HEAD_BYTES + MAX_FRAMING * self._body_bytes:
            raise _AnswerTooLargeError

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True
        self.pool.forget(self)
        if self.exchange is None:
            self._reset_message()
            return
        if exc is None and self._in_message and self._until_close:
            # An answer without a length ends with its connection, unless that is reset.
            self._reusable = False
            self._finish_message(int(self._parser.get_status_code()))
            self._deliver()
            return
        if exc is not None and self._was_not_accepted():
            self._fail(Failure.NOT_ACCEPTED)
            return
        self._fail(Failure.CLOSED if exc is None else Failure.RESET)

    def _was_not_accepted(self) -> bool:
        """Return whether a new connection was reset sooner than its server can run a request."""
        return self._is_first and self.pool.clock.now_ms() - self._sent_at < NOT_ACCEPTED_MS

    # Callbacks of the parser

    def on_message_begin(self) -> None:
        self._reset_message()
        self._in_message = True

    def on_status(self, status: bytes) -> None:
        self._reason += status

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self._in_head:
            return  # trailers are not used
        self._headers.append((name, value))
        self._values[name.lower()] = value

    def on_headers_complete(self) -> None:
        self._in_head = False
        self._until_close = (
            b"content-length" not in self._values and b"transfer-encoding" not in self._values
        )

    def on_body(self, body: bytes) -> None:
        self._body += body
        self._body_bytes += len(body)
        self.pool.buffered_bytes += len(body)
        is_small = self._body_bytes <= SMALL_ANSWER_BYTES
        if self._body_bytes > MAX_ANSWER_BYTES or (
            self.pool.buffered_bytes > MAX_BUFFERED_BYTES and not is_small
        ):
            raise _AnswerTooLargeError

    def on_message_complete(self) -> None:
        status = int(self._parser.get_status_code())
        if status < 200:
            self._in_message = False
            return
        if not self._parser.should_keep_alive():
            self._reusable = False
        found = _KEEP_ALIVE.search(self._values.get(b"keep-alive", b""))
        if found is not None:
            told_ms = int(found[1]) * 1_000.0
            self.keep_ms = max(told_ms - IDLE_MARGIN_MS, told_ms / 2)
        self._finish_message(status)

    def _finish_message(self, status: int) -> None:
        body = bytes(self._body)
        self._complete.append(RawResponse(status, self._reason, self._headers, body, self._values))
        self._reset_message()
        self._received_bytes = 0

    def _deliver(self) -> None:
        """Hand on the response of the request; others belong to no request and are dropped."""
        complete, self._complete = self._complete, []
        exchange = self.exchange
        for response in complete:
            if exchange is None or exchange.ended or not self._accepts(exchange, response):
                self._reusable = False
                continue
            self.exchange = None
            exchange.ended = True
            if len(complete) > 1 or self._in_message:
                self._reusable = False
            self._release()
            exchange.on_response(response)

    def _accepts(self, exchange: Exchange, response: RawResponse) -> bool:
        """Return whether a response is that of a request.

        On a connection whose answers have named their requests, one that names none belongs to none.
        """
        if exchange.accept(response, True):
            self._names_requests = True
            return True
        return not self._names_requests and exchange.accept(response, False)

    def _release(self) -> None:
        assert self._transport is not None
        if not self._reusable or self.closed or self._transport.get_write_buffer_size():
            self.abort()
            return
        self.pool.keep(self)

    def _fail(self, failure: Failure) -> None:
        exchange, self.exchange = self.exchange, None
        self.abort()
        if exchange is not None and not exchange.ended:
            exchange.ended = True
            exchange.on_failure(failure, True)

    def abort(self) -> None:
        """Close the connection at once."""
        self._reset_message()
        self.pool.forget(self)
        self.exchange = None
        if self._transport is not None and not self.closed:
            self.closed = True
            self._transport.abort()


@dataclass
class ConnectionPool:
    """Idle connections by address; opens others as they are needed.

    :param buffered_bytes: bodies of answers that are not complete.
    """

    clock: Clock
    idle_by_address: dict[str, list[ClientConnection]] = field(default_factory=dict)
    opened: int = 0
    buffered_bytes: int = 0

    def send(self, address: str, exchange: Exchange, fresh: bool = False) -> None:
        """Send a request on a kept connection, or open one for it.

        :param fresh: use no connection that has been idle for long.
        """
        connection = self._take_idle(address, FRESH_MS if fresh else float("inf"))
        if connection is not None:
            connection.send(exchange)
            return
        self.opened += 1
        loop = asyncio.get_running_loop()
        exchange.opening = loop.create_task(self._open(address, exchange))

    async def probe(self, address: str) -> Failure | None:
        """Open a connection and keep it; return why that was not possible."""
        connection = await self._connect(address)
        if isinstance(connection, Failure):
            return connection
        if connection.closed:
            return Failure.NOT_ACCEPTED
        self.keep(connection)
        return None

    def abort(self, exchange: Exchange) -> None:
        """End a request without an answer; its server notices the end of the connection."""
        exchange.ended = True
        if exchange.opening is not None:
            exchange.opening.cancel()
        if exchange.connection is not None and exchange.connection.exchange is exchange:
            exchange.connection.abort()

    def keep(self, connection: ClientConnection) -> None:
        """Keep a connection for the next request."""
        idle = self.idle_by_address.setdefault(connection.address, [])
        connection.idle_since = self.clock.now_ms()
        idle.append(connection)
        if len(idle) > MAX_IDLE:
            idle[0].abort()

    def forget(self, connection: ClientConnection) -> None:
        """Remove a connection that has ended."""
        idle = self.idle_by_address.get(connection.address)
        if idle is not None and connection in idle:
            idle.remove(connection)
            if not idle:
                del self.idle_by_address[connection.address]

    def close_address(self, address: str, idle_ms: Millis = 0.0) -> None:
        """Close the connections to an address that have been idle for some time."""
        now = self.clock.now_ms()
        for connection in list(self.idle_by_address.get(address, ())):
            if now - connection.idle_since >= idle_ms:
                connection.abort()

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self.idle_by_address):
            self.close_address(address)

    def _take_idle(self, address: str, max_idle_ms: Millis) -> ClientConnection | None:
        idle = self.idle_by_address.get(address)
        now = self.clock.now_ms()
        while idle:
            connection = idle[-1]
            idle_ms = now - connection.idle_since
            if idle_ms <= connection.keep_ms:
                if idle_ms > max_idle_ms:
                    return None
                idle.pop()
                if not idle:
                    del self.idle_by_address[address]
                return connection
            connection.abort()
            idle = self.idle_by_address.get(address)
        return None

    async def _open(self, address: str, exchange: Exchange) -> None:
        connection = await self._connect(address)
        if isinstance(connection, Failure):
            _fail_unsent(exchange, connection)
            return
        if exchange.settle:
            await _settle(connection)
        exchange.opening = None
        if exchange.ended:
            connection.abort()
        elif connection.closed:
            _fail_unsent(exchange, Failure.NOT_ACCEPTED)
        elif not exchange.may_send():
            connection.abort()
            _fail_unsent(exchange, Failure.WITHDRAWN)
        else:
            connection.send(exchange)

    async def _connect(self, address: str) -> ClientConnection | Failure:
        """Open a connection, or return why that was not possible."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with time_limit(CONNECT_TIMEOUT_MS):
                _, connection = await loop.create_connection(
                    lambda: ClientConnection(self, address), host, int(port)
                )
        except TimeoutError:
            return Failure.CONNECT_TIMEOUT
        except (OSError, ValueError):
            return Failure.REFUSED
        return connection


async def _settle(connection: ClientConnection) -> None:
    """Give a server the time to reset a new connection; close it if the request ends meanwhile."""
    try:
        await asyncio.sleep(SETTLE_MS / 1000)
    except asyncio.CancelledError:
        connection.abort()
        raise


def _fail_unsent(exchange: Exchange, failure: Failure) -> None:
    if not exchange.ended:
        exchange.ended = True
        exchange.on_failure(failure, False)


class _AnswerTooLargeError(Exception):
    """An answer larger than any that a server may give."""
