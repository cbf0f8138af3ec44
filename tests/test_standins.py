"""Tests of the upstream stand-in's delays; only lower bounds, which a busy machine keeps."""

from __future__ import annotations

import asyncio
import time
from typing import Any

import aiohttp
from aiohttp import web

from standins.upstream import Behaviour, Upstream, application

OPEN_MS = 150.0
COLD_MS = 300.0


async def calls(behaviour: Behaviour, paths: list[str]) -> list[tuple[float, dict[str, Any]]]:
    """Call a server over one connection; return the time in ms and the body of each answer."""
    upstream = Upstream("s1", behaviour)
    runner = web.AppRunner(application(upstream), shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    request = {"snapshot": upstream.snapshots()[0], "query": "hem", "k": 1, "budget_ms": 60_000}
    found = []
    connector = aiohttp.TCPConnector(limit=1)
    async with aiohttp.ClientSession(
        f"http://127.0.0.1:{runner.addresses[0][1]}", connector=connector
    ) as session:
        for path in paths:
            began = time.monotonic()
            is_search = path == "/search"
            call = session.post(path, json=request) if is_search else session.get(path)
            async with call as response:
                body = await response.json()
            found.append(((time.monotonic() - began) * 1000, body))
    await runner.cleanup()
    return found


def test_only_the_first_call_on_a_connection_waits_for_it_to_open() -> None:
    """Guards against a stand-in whose connections cost nothing, or cost at every call."""
    found = asyncio.run(calls(Behaviour(open_ms=OPEN_MS), ["/health"] * 11))
    times = [ms for ms, _ in found]
    assert times[0] >= OPEN_MS
    assert min(times[1:]) < OPEN_MS


def test_a_cold_server_works_late_but_tells_its_health() -> None:
    """Guards against a stand-in that answers searches before its cold start is over."""
    began = time.monotonic()
    found = asyncio.run(calls(Behaviour(cold_ms=COLD_MS), ["/health", "/search"]))
    assert (time.monotonic() - began) * 1000 >= COLD_MS
    assert found[1][1]["hits"]
