"""Tests of the client for upstreams with a server whose answers have no end."""

from __future__ import annotations

import asyncio
import json
import time

import pytest
from aiohttp import ClientSession

from soak.processes import ManagedProcess
from standins.endless_answers import FORMS
from tests.harness import Harness
from tests.platform.serving import free_ports
from turmerictiller.borders.upstreams.client import UpstreamClient
from turmerictiller.clock import Clock
from turmerictiller.core.effects import SendRun
from turmerictiller.core.events import AttemptFailed, Event

TARGET_MS = 71.0  # time to an answer at the design size (docs/CAPACITY.md)
TIMEOUT_MS = 1_000.0
CALLS = 4
BEAT_MS = 5.0


async def set_behaviour(address: str, behaviour: str) -> None:
    """Set the behaviour of the server, once it listens."""
    async with asyncio.timeout(10), ClientSession() as session:
        while True:
            try:
                url = f"http://{address}/control"
                async with session.put(url, data=json.dumps({"behaviour": behaviour})) as response:
                    await response.read()
                return
            except OSError:
                await asyncio.sleep(0.05)


async def beat(delays_ms: list[float]) -> None:
    """Measure how late timers of the event loop run."""
    while True:
        started_at = time.monotonic()
        await asyncio.sleep(BEAT_MS / 1000)
        delays_ms.append((time.monotonic() - started_at) * 1000 - BEAT_MS)


@pytest.mark.parametrize("form", list(FORMS))
def test_endless_answer_fails_in_time_and_does_not_block_other_calls(form: str) -> None:
    """Guards against a faulty server that takes the processor time of all other calls."""

    async def scenario() -> None:
        address = f"127.0.0.1:{free_ports(1)[0]}"
        server = ManagedProcess("s", ["-m", "standins.shard_server", f"s1=jobs-0={address}"])
        events: asyncio.Queue[Event] = asyncio.Queue()
        client = UpstreamClient(Harness().settings, Clock(), events.put_nowait)
        delays_ms: list[float] = []
        try:
            await server.start()
            await set_behaviour(address, f"endless_{form}")
            beating = asyncio.create_task(beat(delays_ms))
            started_at = time.monotonic()
            for number in range(CALLS):
                client.send_run(
                    SendRun(
                        number,
                        f"a{number}-1",
                        "s1",
                        address,
                        "jobs-0",
                        "pickup",
                        {},
                        TIMEOUT_MS,
                        TIMEOUT_MS,
                    )
                )
            for _ in range(CALLS):
                assert isinstance(await events.get(), AttemptFailed)
            assert (time.monotonic() - started_at) * 1000 < TIMEOUT_MS + TARGET_MS
            beating.cancel()
            assert max(delays_ms) < TARGET_MS
        finally:
            await client.close()
            await server.end()

    asyncio.run(scenario())
