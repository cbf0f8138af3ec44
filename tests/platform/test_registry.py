"""Tests of the watch of the platform's store."""

from __future__ import annotations

import asyncio

from turmerictiller.clock import Clock, Millis
from turmerictiller.forwarding.events import Event, RegistryLost, ServersListed
from turmerictiller.platform.registry import Registry
from turmerictiller.platform.store import Item, Store
from turmerictiller.transport.http_client import ConnectionPool


class FaultyStore(Store):
    """A store whose first answer raises an error that nobody expects."""

    lists = 0

    async def read_all(self, prefix: str) -> tuple[int, list[Item]]:
        self.lists += 1
        if self.lists == 1:
            raise RuntimeError("not foreseen")
        return 5, []

    async def watch(self, prefix: str, revision: int, wait_ms: Millis) -> tuple[int, list[Item]]:
        await asyncio.sleep(60)
        return revision, []


def test_fault_does_not_end_the_watch() -> None:
    """Guards against an instance that follows nothing any more, without a line about it."""
    events: list[Event] = []
    lines: list[str] = []

    async def play() -> None:
        clock = Clock()
        store = FaultyStore("127.0.0.1:1", ConnectionPool(clock), clock)

        def log(event: str, fields: dict[str, object], urgent: bool) -> None:
            lines.append(event)

        registry = Registry(store, clock, 3_000.0, events.append, log)
        registry.start()
        async with asyncio.timeout(3):
            while not any(isinstance(event, ServersListed) for event in events):
                await asyncio.sleep(0.02)
        registry.close()

    asyncio.run(play())
    assert isinstance(events[0], RegistryLost)
    assert lines == ["registry_fault"]
