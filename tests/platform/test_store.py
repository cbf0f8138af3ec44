"""Tests of reads of the platform's store."""

from __future__ import annotations

import asyncio
import time

from turmerictiller.clock import Clock
from turmerictiller.platform.store import CALL_TIMEOUT_MS, StoreClient
from turmerictiller.transport.http_client import ConnectionPool

PAGE = b'{"currentRev": 7, "items": [], "hasMore": false}'


def test_read_that_was_answered_while_the_process_was_paused_is_used() -> None:
    """Guards against a store that counts as lost because the process itself did not run."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(PAGE) + PAGE)
        # The answer is on its way, and nothing has read it yet.
        time.sleep((CALL_TIMEOUT_MS + 100) / 1000)

    async def play() -> None:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        clock = Clock()
        pool = ConnectionPool(clock)
        assert await StoreClient(f"{host}:{port}", pool, clock).read_all("servers/") == (7, [])
        pool.close()
        server.close()

    asyncio.run(asyncio.wait_for(play(), 10))
