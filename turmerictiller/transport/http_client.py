"""HTTP/1.1 client with a pool of keep-alive connections."""

from __future__ import annotations

import asyncio
import re
import socket
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, cast

import httptools

from turmerictiller.forwarding.events import FailureKind
from turmerictiller.transport.messages import RawResponse
from turmerictiller.transport.timeouts import timeout_excluding_pauses

if TYPE_CHECKING:
    from collections.abc import Callable

    from turmerictiller.clock import Clock, Millis
    from turmerictiller.transport.messages import Headers

# Opening a connection takes 1 to 6 ms, more while a busy server queues it. A longer timeout could
# exceed the latency target of a search whose second attempt goes to a server that is down.
CONNECT_TIMEOUT_MS = 100.0
# A connection with data unacknowledged for this long is dropped, as connections can fail without a
# reset.
TCP_USER_TIMEOUT_MS = 1_000
DEFAULT_IDLE_TIMEOUT_MS = 4_000.0  # for servers without a Keep-Alive timeout
IDLE_MARGIN_MS = 1_000.0  # servers announce whole seconds
# Requests that cannot be retried use only connections that were idle for at most this long.
MAX_FRESH_IDLE_MS = 500.0
MAX_IDLE_PER_ADDRESS = 4
# A server at its connection limit accepts a new connection and resets it within one round trip. A
# server that runs the request needs 6 ms on its side just to open the connection, so a reset by it
# comes later, unless it crashes at once.
NOT_ACCEPTED_WINDOW_MS = 5.0
RESET_GRACE_MS = 3.0  # a reset from another failure domain arrives within this time
MAX_ANSWER_BYTES = 8_388_608
# Limit on bytes outside the body: head, interim responses and trailers. Servers and proxies usually
# allow less.
MAX_HEAD_BYTES = 65_536
# A body may have one byte of chunk framing for this many bytes. Each chunk costs processor time,
# and chunks of a few bytes would make a large answer many times as expensive.
BODY_BYTES_PER_FRAMING_BYTE = 8
# Responses to other requests that may come before the one to the current request.
MAX_UNSOLICITED_RESPONSES = 4
# Limits are checked after each of these parts of a read, which may hold thousands of responses.
PARSE_BYTES = 16_384
# Limits on the incomplete answers of a pool. Above the first, only answers up to the next size may
# continue. The smallest size fits thousands of answers into the memory of a small instance.
MAX_BUFFERED_BYTES = 33_554_432
SMALL_ANSWER_BYTES = 262_144
MAX_BUFFERED_SMALL_BYTES = 50_331_648
MINIMAL_ANSWER_BYTES = 16_384

_KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout\s*=\s*(\d+)", re.IGNORECASE)


@dataclass(slots=True)
class HttpExchange:
    """One request, and the callbacks that receive its outcome.

    :param matches_request: returns whether a response belongs to this request; the flag rejects
        responses without a request id.
    :param on_failure: receives the failure and whether the request may have run.
    :param wait_for_reset: delay the request on a new connection until the server has had time to
        reset it.
    :param may_send: returns whether the server still accepts the request; called once a new
        connection is open.
    :param received_bytes: bytes received so far, including those of other responses.
    """

    data: bytes
    matches_request: Callable[[RawResponse, bool], bool]
    on_response: Callable[[RawResponse], None]
    on_failure: Callable[[FailureKind, bool], None]
    wait_for_reset: bool = False
    may_send: Callable[[], bool] = lambda: True
    connection: ClientConnection | None = None
    opening_task: asyncio.Task[None] | None = None
    received_bytes: int = 0
    ended: bool = False


class ClientConnection(asyncio.Protocol):
    """One connection to a server."""

    def __init__(self, pool: ConnectionPool, address: str) -> None:
        self.pool = pool
        self.address = address
        self.exchange: HttpExchange | None = None
        self.idle_since: Millis = 0.0
        self.idle_timeout_ms = DEFAULT_IDLE_TIMEOUT_MS
        self.closed = False
        self._sent_at: Millis = 0.0
        self._awaits_first_bytes = True
        self._responses_carry_request_id = False
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._completed_responses: list[RawResponse] = []
        self._is_reusable = True
        self._unsolicited_responses = 0
        self._has_unparsed_bytes = False
        self._received_bytes = 0
        self._body_bytes = 0
        self._reset_message()

    def _reset_message(self) -> None:
        self.pool.buffered_bytes -= self._body_bytes
        self._is_in_head = True
        self._reason = b""
        self._headers: Headers = []
        self._values_by_name: dict[bytes, bytes] = {}
        self._body = bytearray()
        self._body_bytes = 0
        self._is_in_message = False
        self._is_close_delimited = False

    def send(self, exchange: HttpExchange) -> None:
        """Send a request on this idle connection."""
        exchange.connection = self
        self.exchange = exchange
        self._sent_at = self.pool.clock.now_ms()
        self._received_bytes = 0
        assert self._transport is not None
        self._transport.write(exchange.data)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # uvloop's transports are not subclasses of asyncio.Transport.
        self._transport = cast("asyncio.Transport", transport)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)

    def data_received(self, data: bytes) -> None:
        self._awaits_first_bytes = False
        if self.exchange is None:
            # Unsolicited bytes on an idle connection.
            self.abort()
            return
        self.exchange.received_bytes += len(data)
        for start in range(0, len(data), PARSE_BYTES):
            if self.exchange is None:
                # Unsolicited bytes followed the response.
                self.abort()
                return
            end = start + PARSE_BYTES
            self._has_unparsed_bytes = end < len(data)
            self._parse(data[start:end])

    def _parse(self, data: bytes) -> None:
        self._received_bytes += len(data)
        try:
            self._parser.feed_data(data)
            self._check_framing()
        except (httptools.HttpParserError, httptools.HttpParserUpgrade, _AnswerTooLargeError):
            if not self._completed_responses:
                self._fail(FailureKind.BAD_ANSWER)
                return
            self._is_reusable = False
        self._deliver_responses()
        if self._unsolicited_responses > MAX_UNSOLICITED_RESPONSES:
            self._fail(FailureKind.BAD_ANSWER)

    def _check_framing(self) -> None:
        """Limit the bytes outside the body, which the parser may buffer."""
        framing = self._received_bytes - self._body_bytes
        if framing > MAX_HEAD_BYTES + self._body_bytes // BODY_BYTES_PER_FRAMING_BYTE:
            raise _AnswerTooLargeError

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True
        self.pool.discard(self)
        if self.exchange is None:
            self._reset_message()
            return
        if exc is None and self._is_in_message and self._is_close_delimited:
            # The end of the connection completes a close-delimited answer, unless it was reset.
            self._is_reusable = False
            self._finish_message(int(self._parser.get_status_code()))
            self._deliver_responses()
            return
        if exc is not None and self._was_rejected_on_accept():
            self._fail(FailureKind.NOT_ACCEPTED)
            return
        self._fail(FailureKind.CLOSED if exc is None else FailureKind.RESET)

    def _was_rejected_on_accept(self) -> bool:
        """Return whether a new connection was reset before its server can have run the request."""
        return (
            self._awaits_first_bytes
            and self.pool.clock.now_ms() - self._sent_at < NOT_ACCEPTED_WINDOW_MS
        )

    # Parser callbacks

    def on_message_begin(self) -> None:
        self._reset_message()
        self._is_in_message = True

    def on_status(self, status: bytes) -> None:
        self._reason += status

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self._is_in_head:
            return  # trailers are ignored
        self._headers.append((name, value))
        self._values_by_name[name.lower()] = value

    def on_headers_complete(self) -> None:
        self._is_in_head = False
        self._is_close_delimited = (
            b"content-length" not in self._values_by_name
            and b"transfer-encoding" not in self._values_by_name
        )

    def on_body(self, body: bytes) -> None:
        self._body += body
        self._body_bytes += len(body)
        self.pool.buffered_bytes += len(body)
        if self._body_bytes > self.pool.max_answer_bytes:
            raise _AnswerTooLargeError

    def on_message_complete(self) -> None:
        status = int(self._parser.get_status_code())
        if status < 200:
            self._is_in_message = False
            return
        if not self._parser.should_keep_alive():
            self._is_reusable = False
        match = _KEEP_ALIVE_TIMEOUT.search(self._values_by_name.get(b"keep-alive", b""))
        if match is not None:
            announced_ms = int(match[1]) * 1_000.0
            self.idle_timeout_ms = max(announced_ms - IDLE_MARGIN_MS, announced_ms / 2)
        self._finish_message(status)

    def _finish_message(self, status: int) -> None:
        body = bytes(self._body)
        self._completed_responses.append(
            RawResponse(status, self._reason, self._headers, body, self._values_by_name)
        )
        self._reset_message()
        self._received_bytes = 0

    def _deliver_responses(self) -> None:
        """Pass the response to its request and drop unsolicited responses."""
        completed, self._completed_responses = self._completed_responses, []
        exchange = self.exchange
        for response in completed:
            if exchange is None or exchange.ended or not self._is_response_to(exchange, response):
                self._is_reusable = False
                self._unsolicited_responses += 1
                continue
            self.exchange = None
            exchange.ended = True
            if len(completed) > 1 or self._is_in_message or self._has_unparsed_bytes:
                self._is_reusable = False
            self._return_to_pool()
            exchange.on_response(response)

    def _is_response_to(self, exchange: HttpExchange, response: RawResponse) -> bool:
        """Return whether a response belongs to a request.

        Once a response on this connection has carried a request id, one without an id is rejected.
        """
        if exchange.matches_request(response, True):
            self._responses_carry_request_id = True
            return True
        return not self._responses_carry_request_id and exchange.matches_request(response, False)

    def _return_to_pool(self) -> None:
        assert self._transport is not None
        if not self._is_reusable or self.closed or self._transport.get_write_buffer_size():
            self.abort()
            return
        self.pool.add_idle(self)

    def _fail(self, failure: FailureKind) -> None:
        exchange, self.exchange = self.exchange, None
        self.abort()
        if exchange is not None and not exchange.ended:
            exchange.ended = True
            exchange.on_failure(failure, True)

    def abort(self) -> None:
        """Abort the connection."""
        self._reset_message()
        self.pool.discard(self)
        self.exchange = None
        if self._transport is not None and not self.closed:
            self.closed = True
            self._transport.abort()


@dataclass
class ConnectionPool:
    """Pool of keep-alive connections, opened on demand.

    :param opened: number of connections opened for requests.
    :param buffered_bytes: body bytes of incomplete answers, over all connections.
    """

    clock: Clock
    idle_by_address: dict[str, list[ClientConnection]] = field(default_factory=dict)
    opened: int = 0
    buffered_bytes: int = 0

    def send(self, address: str, exchange: HttpExchange, fresh: bool = False) -> None:
        """Send a request on an idle connection, or open a new one.

        :param fresh: use only connections that were idle for at most ``MAX_FRESH_IDLE_MS``.
        """
        connection = self._pop_idle(address, MAX_FRESH_IDLE_MS if fresh else float("inf"))
        if connection is not None:
            connection.send(exchange)
            return
        self.opened += 1
        loop = asyncio.get_running_loop()
        exchange.opening_task = loop.create_task(self._open(address, exchange))

    @property
    def max_answer_bytes(self) -> int:
        """Largest body that may continue, given the incomplete answers of all connections."""
        if self.buffered_bytes > MAX_BUFFERED_SMALL_BYTES:
            return MINIMAL_ANSWER_BYTES
        if self.buffered_bytes > MAX_BUFFERED_BYTES:
            return SMALL_ANSWER_BYTES
        return MAX_ANSWER_BYTES

    async def probe(self, address: str) -> FailureKind | None:
        """Open a connection and add it to the pool; return the failure, if any."""
        connection = await self._connect(address)
        if isinstance(connection, FailureKind):
            return connection
        if connection.closed:
            return FailureKind.NOT_ACCEPTED
        self.add_idle(connection)
        return None

    def cancel(self, exchange: HttpExchange) -> None:
        """Cancel a request, closing its connection so that the server can stop."""
        exchange.ended = True
        if exchange.opening_task is not None:
            exchange.opening_task.cancel()
        if exchange.connection is not None and exchange.connection.exchange is exchange:
            exchange.connection.abort()

    def add_idle(self, connection: ClientConnection) -> None:
        """Add an idle connection to the pool, evicting the oldest above the limit."""
        idle = self.idle_by_address.setdefault(connection.address, [])
        connection.idle_since = self.clock.now_ms()
        idle.append(connection)
        if len(idle) > MAX_IDLE_PER_ADDRESS:
            idle[0].abort()

    def discard(self, connection: ClientConnection) -> None:
        """Remove a closed connection from the pool."""
        idle = self.idle_by_address.get(connection.address)
        if idle is not None and connection in idle:
            idle.remove(connection)
            if not idle:
                del self.idle_by_address[connection.address]

    def close_idle(self, address: str, idle_ms: Millis = 0.0) -> None:
        """Close connections to an address that were idle for at least ``idle_ms``."""
        now = self.clock.now_ms()
        for connection in list(self.idle_by_address.get(address, ())):
            if now - connection.idle_since >= idle_ms:
                connection.abort()

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self.idle_by_address):
            self.close_idle(address)

    def _pop_idle(self, address: str, max_idle_ms: Millis) -> ClientConnection | None:
        idle = self.idle_by_address.get(address)
        now = self.clock.now_ms()
        while idle:
            connection = idle[-1]
            idle_ms = now - connection.idle_since
            if idle_ms <= connection.idle_timeout_ms:
                if idle_ms > max_idle_ms:
                    return None
                idle.pop()
                if not idle:
                    del self.idle_by_address[address]
                return connection
            connection.abort()
            idle = self.idle_by_address.get(address)
        return None

    async def _open(self, address: str, exchange: HttpExchange) -> None:
        connection = await self._connect(address)
        if isinstance(connection, FailureKind):
            _fail_unsent(exchange, connection)
            return
        if exchange.wait_for_reset:
            await _wait_for_early_reset(connection)
        exchange.opening_task = None
        if exchange.ended:
            connection.abort()
        elif connection.closed:
            _fail_unsent(exchange, FailureKind.NOT_ACCEPTED)
        elif not exchange.may_send():
            connection.abort()
            _fail_unsent(exchange, FailureKind.WITHDRAWN)
        else:
            connection.send(exchange)

    async def _connect(self, address: str) -> ClientConnection | FailureKind:
        """Open a connection, or return the failure."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with timeout_excluding_pauses(CONNECT_TIMEOUT_MS):
                _, connection = await loop.create_connection(
                    lambda: ClientConnection(self, address), host, int(port)
                )
        except TimeoutError:
            return FailureKind.CONNECT_TIMEOUT
        except (OSError, ValueError):
            return FailureKind.REFUSED
        return connection


async def _wait_for_early_reset(connection: ClientConnection) -> None:
    """Wait until the server could have reset a new connection; abort it on cancellation."""
    try:
        await asyncio.sleep(RESET_GRACE_MS / 1000)
    except asyncio.CancelledError:
        connection.abort()
        raise


def _fail_unsent(exchange: HttpExchange, failure: FailureKind) -> None:
    if not exchange.ended:
        exchange.ended = True
        exchange.on_failure(failure, False)


class _AnswerTooLargeError(Exception):
    """An answer exceeds a size limit."""
