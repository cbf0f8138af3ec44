"""Tests of reads from the platform over real sockets."""

from __future__ import annotations

import asyncio

from aiohttp import web

from standins.platform import Platform, application
from tests.harness import Harness
from turmerictiller.borders.platform_client import PlatformClient
from turmerictiller.clock import Clock
from turmerictiller.core.events import Event, NoteSeen, PlatformFailed


def first_event(value: object) -> Event:
    """Return the first event of a client whose platform stores a value as its note."""

    async def scenario() -> Event:
        platform = Platform()
        platform.note.put(value)
        runner = web.AppRunner(application(platform), shutdown_timeout=0.1)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        host, port = runner.addresses[0][:2]
        events: asyncio.Queue[Event] = asyncio.Queue()
        settings = Harness(platform_address=f"{host}:{port}").settings
        client = PlatformClient(settings, Clock(), events.put_nowait)
        client.start()
        while not isinstance(event := await events.get(), NoteSeen | PlatformFailed):
            pass
        await client.close()
        await runner.cleanup()
        return event

    return asyncio.run(scenario())


def test_large_note_is_read_completely() -> None:
    """Guards against a note that is truncated after the first packets."""
    value = {"text": "x" * 900_000}
    event = first_event(value)
    assert isinstance(event, NoteSeen)
    assert event.document == value


def test_value_over_the_limit_is_a_failure() -> None:
    """Guards against a response of the platform that exhausts memory."""
    assert isinstance(first_event({"text": "x" * 2_100_000}), PlatformFailed)
