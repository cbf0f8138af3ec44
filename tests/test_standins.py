"""Tests of the upstream stand-in's delays; only lower bounds, which hold on a busy machine too."""

from __future__ import annotations

import asyncio
import time
from typing import Any

import aiohttp
from aiohttp import web

from standins.upstream import Behaviour, Upstream, application

OPEN_MS = 150.0
COLD_MS = 300.0


async def call_server(behaviour: Behaviour, paths: list[str]) -> list[tuple[float, dict[str, Any]]]:
    """Call a server over one connection; return milliseconds and body of each answer."""
    upstream = Upstream("s1", behaviour)
    runner = web.AppRunner(application(upstream), shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    request = {"snapshot": upstream.snapshots()[0], "query": "hem", "k": 1, "budget_ms": 60_000}
    answers = []
    connector = aiohttp.TCPConnector(limit=1)
    async with aiohttp.ClientSession(
        f"http://127.0.0.1:{runner.addresses[0][1]}", connector=connector
    ) as session:
        for path in paths:
            started_at = time.monotonic()
            is_search = path == "/search"
            call = session.post(path, json=request) if is_search else session.get(path)
            async with call as response:
                body = await response.json()
            answers.append(((time.monotonic() - started_at) * 1000, body))
    await runner.cleanup()
    return answers


def test_only_the_first_call_on_a_connection_has_the_open_delay() -> None:
    """Guards against a stand-in that delays no call of a connection, or every call."""
    answers = asyncio.run(call_server(Behaviour(open_ms=OPEN_MS), ["/health"] * 11))
    times = [ms for ms, _ in answers]
    assert times[0] >= OPEN_MS
    assert min(times[1:]) < OPEN_MS


def test_cold_server_delays_searches_but_answers_health_checks() -> None:
    """Guards against a stand-in that answers searches before its cold start has ended."""
    started_at = time.monotonic()
    answers = asyncio.run(call_server(Behaviour(cold_ms=COLD_MS), ["/health", "/search"]))
    assert (time.monotonic() - started_at) * 1000 >= COLD_MS
    assert answers[1][1]["hits"]
