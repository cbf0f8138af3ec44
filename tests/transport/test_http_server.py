"""Tests of the HTTP server on real sockets."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import pytest

from turmerictiller.clock import Clock
from turmerictiller.forwarding.model import CallerLimits
from turmerictiller.transport.http_server import ConnectionErrors, HttpListener, ServerConnection
from turmerictiller.transport.messages import RawRequest, encode_response

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

ERRORS = ConnectionErrors(
    encode_response(400, b"Bad Request", [], b"", True),
    encode_response(431, b"Headers", [], b"", True),
    encode_response(413, b"Body", [], b"", True),
    encode_response(408, b"Timeout", [], b"", True),
)
REQUEST = b"GET /%s HTTP/1.1\r\nHost: a\r\n\r\n"
TEST_TIMEOUT_S = 10.0  # ends a test that hangs; no test relies on it


@dataclass
class RecordedCalls:
    """Unanswered requests, and the number of callers that disconnected before an answer."""

    pending: list[tuple[ServerConnection, RawRequest]] = field(default_factory=list)
    disconnects: int = 0

    def on_request(self, connection: ServerConnection, request: RawRequest) -> None:
        if request.target == b"/fault":
            raise RuntimeError("unexpected")
        self.pending.append((connection, request))

    def on_disconnect(self, connection: ServerConnection) -> None:
        self.disconnects += 1

    async def wait_for_requests(self, number: int) -> None:
        """Wait until this number of requests is unanswered."""
        while len(self.pending) < number:
            await asyncio.sleep(0.005)

    def answer(self) -> None:
        """Answer all unanswered requests."""
        pending, self.pending = self.pending, []
        for connection, request in pending:
            close = connection.must_close(is_ready=True)
            connection.answer(encode_response(200, b"OK", [], request.target, close), close)


@asynccontextmanager
async def listening() -> AsyncIterator[tuple[RecordedCalls, HttpListener, str, int]]:
    """Run a listener; yield the recorded calls, the listener, its host and its port."""
    calls = RecordedCalls()
    listener = HttpListener(
        Clock(), CallerLimits(1_024, 1_024), ERRORS, calls.on_request, calls.on_disconnect, 8
    )
    await listener.open("127.0.0.1:0")
    server = listener._server
    assert server is not None
    host, port = server.sockets[0].getsockname()  # type: ignore[attr-defined]
    try:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            yield calls, listener, host, port
    finally:
        listener.close()


async def read_answer(reader: asyncio.StreamReader) -> tuple[int, bytes]:
    """Read one answer."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
    length = int(head.partition("content-length: ")[2].partition("\r\n")[0])
    return int(head.split()[1]), await reader.readexactly(length)


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc", 400),
        (b"GET / HTTP/9.9\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"x" * 2_000 + b"\r\n\r\n", 431),
        (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2000\r\n\r\n", 413),
        (b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400),
    ],
)
def test_malformed_request_ends_only_its_own_connection(data: bytes, status: int) -> None:
    """Guards against a malformed request that stops the process or affects other callers."""

    async def scenario() -> None:
        async with listening() as (calls, _, host, port):
            other, other_writer = await asyncio.open_connection(host, port)
            other_writer.write(REQUEST % b"good")
            await calls.wait_for_requests(1)
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(data)
            assert (await read_answer(reader))[0] == status
            assert await reader.read() == b""
            calls.answer()
            assert await read_answer(other) == (200, b"/good")

    asyncio.run(scenario())


def test_handler_exception_ends_only_its_own_connection() -> None:
    """Guards against an exception while serving one request that stops the listener."""

    async def scenario() -> None:
        async with listening() as (calls, _, host, port):
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(REQUEST % b"fault")
            assert await reader.read() == b""
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(REQUEST % b"good")
            await calls.wait_for_requests(1)
            calls.answer()
            assert await read_answer(reader) == (200, b"/good")

    asyncio.run(scenario())


def test_drain_answers_all_requests_that_were_read() -> None:
    """Guards against requests that were accepted just before a shutdown and get no answer."""

    async def scenario() -> None:
        async with listening() as (calls, listener, host, port):
            busy, busy_writer = await asyncio.open_connection(host, port)
            busy_writer.write(REQUEST % b"one" + REQUEST % b"two")
            partial, partial_writer = await asyncio.open_connection(host, port)
            whole = REQUEST % b"late"
            partial_writer.write(whole[:20])
            idle, _ = await asyncio.open_connection(host, port)
            await calls.wait_for_requests(1)
            await asyncio.sleep(0.02)
            listener.drain()
            assert await idle.read() == b""
            partial_writer.write(whole[20:])
            await calls.wait_for_requests(2)
            calls.answer()
            await calls.wait_for_requests(1)
            calls.answer()
            assert [await read_answer(busy), await read_answer(busy)] == [
                (200, b"/one"),
                (200, b"/two"),
            ]
            assert await read_answer(partial) == (200, b"/late")
            assert await busy.read() == await partial.read() == b""
            assert calls.disconnects == 0

    asyncio.run(scenario())


def test_disconnect_is_reported_once_and_no_answer_follows() -> None:
    """Guards against an answer that is written for a disconnected caller."""

    async def scenario() -> None:
        async with listening() as (calls, _, host, port):
            _, writer = await asyncio.open_connection(host, port)
            writer.write(REQUEST % b"one")
            await calls.wait_for_requests(1)
            writer.close()
            while not calls.disconnects:
                await asyncio.sleep(0.005)
            calls.answer()
            assert calls.disconnects == 1

    asyncio.run(scenario())
