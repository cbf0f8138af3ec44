"""Tests of the store client."""

from __future__ import annotations

import asyncio
import base64
import os
import time
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import orjson
import pytest

from tests.slow_link import SlowLink
from turmerictiller.clock import Clock
from turmerictiller.platform.store import CALL_TIMEOUT_MS, StoreClient, StoreError
from turmerictiller.transport.http_client import ConnectionPool

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

MAX_VALUE_BYTES = 1_048_576  # largest value that the platform stores
LINK_BYTES_PER_S = 625_000  # 5 Mbit/s, the smallest link of a deployment
PAGE = b'{"currentRev": 7, "items": [], "hasMore": false}'


def test_read_that_was_answered_while_the_process_was_paused_is_used() -> None:
    """Guards against a store that counts as unavailable because the process was paused."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(PAGE) + PAGE)
        # The answer has been sent, but the client has not read it yet.
        time.sleep((CALL_TIMEOUT_MS + 100) / 1000)
        await reader.read()
        writer.close()

    async def scenario() -> None:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        clock = Clock()
        pool = ConnectionPool(clock)
        assert await StoreClient(f"{host}:{port}", pool, clock).read_all("servers/") == (7, [])
        pool.close()
        server.close()
        await asyncio.sleep(0.05)  # lets the server close its side

    asyncio.run(asyncio.wait_for(scenario(), 10))


def answer_with(value: bytes) -> bytes:
    """Return an answer that holds one item, both as a page and as the result of a watch."""
    item = {"key": "op/config", "rev": 7, "value": base64.b64encode(value).decode()}
    page = orjson.dumps({"currentRev": 7, "items": [item], "events": [item], "hasMore": False})
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(page) + page


@asynccontextmanager
async def serving(answer: bytes, sent_bytes: int | None = None) -> AsyncIterator[StoreClient]:
    """Serve one answer, or only the first bytes of it, over a slow link; yield a client."""
    link = SlowLink(LINK_BYTES_PER_S)

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        await link.send(writer, answer[:sent_bytes])
        await reader.read()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    clock = Clock()
    pool = ConnectionPool(clock)
    try:
        async with asyncio.timeout(10):
            yield StoreClient(f"{host}:{port}", pool, clock)
    finally:
        pool.close()
        server.close()
        await asyncio.sleep(0.05)  # lets the server close its side


@pytest.mark.parametrize("call", ["list", "watch"])
def test_largest_value_is_read_over_a_slow_link(call: str) -> None:
    """Guards against a configuration that never takes effect because each read is cut off."""
    value = os.urandom(MAX_VALUE_BYTES)

    async def scenario() -> None:
        async with serving(answer_with(value)) as store:
            revision, items = await (
                store.read_all("") if call == "list" else store.watch("", 3, 100.0)
            )
        assert revision == 7
        assert [item.value for item in items] == [value]

    asyncio.run(scenario())


@pytest.mark.parametrize("sent_bytes", [0, 10, 200_000])
def test_answer_that_stalls_is_given_up(sent_bytes: int) -> None:
    """Guards against a read that waits on a connection that has gone silent within the answer."""

    async def scenario() -> None:
        async with serving(answer_with(bytes(MAX_VALUE_BYTES)), sent_bytes) as store:
            started_at = time.monotonic()
            with pytest.raises(StoreError, match="timed_out"):
                await store.read_all("")
            silent_ms = (time.monotonic() - started_at - sent_bytes / LINK_BYTES_PER_S) * 1000
            assert silent_ms < 2 * CALL_TIMEOUT_MS + 200

    asyncio.run(scenario())
