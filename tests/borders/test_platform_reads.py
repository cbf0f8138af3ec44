"""Tests of reads from the platform over real sockets."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, TypeVar

import pytest
from aiohttp import web

from standins.platform import Platform, application
from tests.harness import Harness
from turmerictiller.borders.platform_client import PlatformClient, parse_instance
from turmerictiller.clock import Clock
from turmerictiller.core.events import Event, InstanceListSeen, NoteSeen, PlatformFailed

if TYPE_CHECKING:
    from collections.abc import Callable


T = TypeVar("T", bound=Event)


def events_of_type(types: tuple[type[T], ...], *steps: Callable[[Platform], None]) -> list[T]:
    """Return the first event of these types after each step."""

    async def scenario() -> list[T]:
        platform = Platform()
        runner = web.AppRunner(application(platform), shutdown_timeout=0.1)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        host, port = runner.addresses[0][:2]
        events: asyncio.Queue[Event] = asyncio.Queue()
        settings = Harness(platform_address=f"{host}:{port}").settings
        client = PlatformClient(settings, Clock(), events.put_nowait)
        found: list[T] = []
        async with asyncio.timeout(10):
            for step in steps:
                step(platform)
                if not found:
                    client.start()
                while not isinstance(event := await events.get(), types):
                    pass
                found.append(event)
        await client.close()
        await runner.cleanup()
        return found

    return asyncio.run(scenario())


def first_event(value: object) -> Event:
    """Return the first event of a client whose platform stores a value as its note."""
    (event,) = events_of_type((NoteSeen, PlatformFailed), lambda platform: platform.note.put(value))
    return event


def test_large_note_is_read_completely() -> None:
    """Guards against a note that is truncated after the first packets."""
    value = {"text": "x" * 900_000}
    event = first_event(value)
    assert isinstance(event, NoteSeen)
    assert event.document == value


def test_value_over_the_limit_is_a_failure() -> None:
    """Guards against a response of the platform that exhausts memory."""
    assert isinstance(first_event({"text": "x" * 2_100_000}), PlatformFailed)


INSTANCE = {"id": "e1", "kind": "entry", "address": "10.0.0.1:1", "domain": "d", "state": "live"}


def nested_list(depth: int) -> list[object]:
    """Return a list that is nested this deeply."""
    value: list[object] = []
    for _ in range(depth):
        value = [value]
    return value


@pytest.mark.parametrize("incarnation", [nested_list(1_020), {}, None, 1.5, True])
def test_instance_with_a_malformed_incarnation_is_ignored(incarnation: object) -> None:
    """Guards against an error, such as from deep nesting, that ends the watch."""
    assert parse_instance({**INSTANCE, "incarnation": incarnation}) is None
    assert parse_instance({**INSTANCE, "incarnation": "7"}) is not None


@pytest.mark.parametrize("rows", [1, "e1", {"e1": INSTANCE}])
def test_instance_list_that_is_no_list_does_not_stop_the_watch(rows: object) -> None:
    """Guards against a malformed list after which no change is seen any more."""
    failed, listed = events_of_type(
        (PlatformFailed, InstanceListSeen),
        lambda platform: platform.instances.put(rows),
        lambda platform: platform.instances.put([INSTANCE]),
    )
    assert isinstance(failed, PlatformFailed)
    assert isinstance(listed, InstanceListSeen)
    assert [row.id for row in listed.instances] == ["e1"]


def test_missing_instance_list_does_not_stop_the_watch() -> None:
    """Guards against an instance that starts before the platform has a list and never sees it."""
    _, listed = events_of_type(
        (NoteSeen, InstanceListSeen),
        lambda platform: platform.note.put({}),
        lambda platform: platform.instances.put([INSTANCE]),
    )
    assert isinstance(listed, InstanceListSeen)
    assert [row.id for row in listed.instances] == ["e1"]
