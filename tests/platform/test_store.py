"""Tests of the store client."""

from __future__ import annotations

import asyncio
import time

from turmerictiller.clock import Clock
from turmerictiller.platform.store import CALL_TIMEOUT_MS, StoreClient
from turmerictiller.transport.http_client import ConnectionPool

PAGE = b'{"currentRev": 7, "items": [], "hasMore": false}'


def test_read_that_was_answered_while_the_process_was_paused_is_used() -> None:
    """Guards against a store that counts as unavailable because the process was paused."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(PAGE) + PAGE)
        # The answer has been sent, but the client has not read it yet.
        time.sleep((CALL_TIMEOUT_MS + 100) / 1000)

    async def scenario() -> None:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        clock = Clock()
        pool = ConnectionPool(clock)
        assert await StoreClient(f"{host}:{port}", pool, clock).read_all("servers/") == (7, [])
        pool.close()
        server.close()

    asyncio.run(asyncio.wait_for(scenario(), 10))
