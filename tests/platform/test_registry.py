"""Tests of the watch of the platform's store."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from turmerictiller.clock import Clock, Millis
from turmerictiller.forwarding.events import (
    Event,
    RegistryLost,
    RegistryRead,
    ServerEntryRemoved,
    ServersListed,
)
from turmerictiller.forwarding.readers import ReadPlan
from turmerictiller.platform.registry import MAX_REMOVED, REST_MS, Registry
from turmerictiller.platform.store import HistoryGoneError, Item, Store
from turmerictiller.transport.http_client import ConnectionPool
from turmerictiller.transport.peer_messages import Document

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable


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

        registry = Registry(store, clock, 3_000.0, lambda: ReadPlan.DIRECT, events.append, log)
        registry.start()
        async with asyncio.timeout(3):
            while not any(isinstance(event, ServersListed) for event in events):
                await asyncio.sleep(0.02)
        registry.close()

    asyncio.run(play())
    assert isinstance(events[0], RegistryLost)
    assert lines == ["registry_fault"]


ENTRY = b'{"service": "a", "address": "10.0.0.1:9000", "zone": "z", "slots": 3, "state": "ready"}'


class ScriptedStore(Store):
    """A store that a test fills; its watches end when it changes or their time is over."""

    def __init__(self, clock: Clock) -> None:
        super().__init__("127.0.0.1:1", ConnectionPool(clock), clock)
        self.items: dict[str, Item] = {}
        self.revision = 5
        self.history: list[Item] = []
        self.has_history = True

    def put(self, key: str, value: bytes | None) -> None:
        """Write or remove a key."""
        self.revision += 1
        item = Item(key, self.revision, value)
        self.items[key] = item
        if value is None:
            del self.items[key]
        self.history.append(item)

    async def read_all(self, prefix: str) -> tuple[int, list[Item]]:
        self.calls += 1
        return self.revision, list(self.items.values())

    async def watch(self, prefix: str, revision: int, wait_ms: Millis) -> tuple[int, list[Item]]:
        self.calls += 1
        end = self.clock.now_ms() + min(wait_ms, 50.0)
        while True:
            if not self.has_history:
                self.has_history = True
                raise HistoryGoneError("history_gone")
            new = [item for item in self.history if item.revision > revision]
            if new or self.clock.now_ms() >= end:
                return self.revision, new
            await asyncio.sleep(0.005)


async def settled(registry: Registry, store: ScriptedStore) -> None:
    """Wait until all changes of a store are known."""
    async with asyncio.timeout(5):
        while registry.revision < store.revision:
            await asyncio.sleep(0.01)


def follow(
    play: Callable[[Registry, ScriptedStore, list[Event]], Awaitable[None]],
    plan: Callable[[], ReadPlan] = lambda: ReadPlan.READER,
) -> None:
    """Run a registry on a scripted store."""

    async def run() -> None:
        clock = Clock()
        store = ScriptedStore(clock)
        events: list[Event] = []
        registry = Registry(
            store, clock, 300.0, plan, events.append, lambda event, fields, urgent: None
        )
        store.put("servers/s1", ENTRY)
        registry.start()
        await settled(registry, store)
        await play(registry, store, events)
        registry.close()

    asyncio.run(run())


def test_changes_since_a_revision_are_told_with_what_was_removed() -> None:
    """Guards against instances that go on using a server because its reader only saw a new list."""

    async def play(registry: Registry, store: ScriptedStore, events: list[Event]) -> None:
        before = registry.revision
        store.put("servers/s2", ENTRY)
        await settled(registry, store)
        assert registry.changes_since(before) == [Document("servers/s2", before + 1, ENTRY)]
        # The history is gone, so the removal shows in the next list only.
        store.put("servers/s1", None)
        store.history.clear()
        store.has_history = False
        await settled(registry, store)
        changes = {item.key: item.value for item in registry.changes_since(before) or ()}
        assert changes == {"servers/s2": ENTRY, "servers/s1": None}
        assert registry.changes_since(0) is None

    follow(play)


def test_changes_that_are_not_known_in_full_are_not_told() -> None:
    """Guards against an instance that counts as up to date though it missed a removal."""

    async def play(registry: Registry, store: ScriptedStore, events: list[Event]) -> None:
        before = registry.revision
        for number in range(MAX_REMOVED + 1):
            store.put(f"servers/x{number}", ENTRY)
            store.put(f"servers/x{number}", None)
        await settled(registry, store)
        assert registry.changes_since(before) is None
        assert registry.changes_since(registry.revision) == []

    follow(play)


def test_instance_that_rests_makes_no_calls_and_takes_what_it_is_told() -> None:
    """Guards against calls of every instance, and against changes that were only half taken over."""
    plan = ReadPlan.READER

    async def play(registry: Registry, store: ScriptedStore, events: list[Event]) -> None:
        nonlocal plan
        plan = ReadPlan.FOLLOWER
        await asyncio.sleep(0.1)
        calls = store.calls
        revision = registry.revision
        changes = [Document("servers/s1", revision + 1, None)]
        registry.on_peer_changes(changes, revision + 2, 123.0)
        await asyncio.sleep(2 * REST_MS / 1000)
        assert store.calls == calls
        assert any(isinstance(event, ServerEntryRemoved) for event in events)
        assert isinstance(events[-1], RegistryRead)
        assert (events[-1].revision, events[-1].read_at) == (revision + 2, 123.0)
        plan = ReadPlan.READER
        store.revision = revision + 2
        store.put("servers/s3", ENTRY)
        await settled(registry, store)
        assert "servers/s3" in registry.items_by_key

    follow(play, lambda: plan)


@pytest.mark.parametrize("read", ["watch", "list"])
def test_read_that_was_overtaken_by_another_instance_takes_nothing_back(read: str) -> None:
    """Guards against an instance that tells others less than the revision that it names."""
    clock = Clock()
    registry = Registry(
        ScriptedStore(clock),
        clock,
        300.0,
        lambda: ReadPlan.READER,
        lambda event: None,
        lambda event, fields, urgent: None,
    )
    registry._on_list(6, [Item("servers/s1", 6, ENTRY)])
    removed, added = Document("servers/s1", 11, None), Document("servers/s9", 12, ENTRY)
    registry.on_peer_changes([removed, added], 12, 0.0)
    # The answer to a read that was sent before.
    if read == "watch":
        registry._on_change(Item("servers/s1", 8, ENTRY))
    else:
        registry._on_list(8, [Item("servers/s1", 8, ENTRY)])
    assert registry.changes_since(6) == [removed, added]
