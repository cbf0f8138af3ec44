"""Tests of the replica of the platform's store."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING

import pytest

from tests.forwarding.driving import SETTINGS
from turmerictiller.clock import Clock, Millis
from turmerictiller.forwarding.events import (
    Event,
    RegistryLost,
    RegistryRead,
    ServerEntryReceived,
    ServerEntryRemoved,
    ServersListed,
)
from turmerictiller.forwarding.peers import build_gossip
from turmerictiller.forwarding.readers import ReadPlan
from turmerictiller.forwarding.state import new_state
from turmerictiller.platform.documents import parse_server_entry
from turmerictiller.platform.registry import MAX_TOMBSTONES, PLAN_CHECK_INTERVAL_MS, RegistryReplica
from turmerictiller.platform.store import (
    WATCH_TIMEOUT_MARGIN_MS,
    HistoryGoneError,
    StoreClient,
    StoreError,
    StoreItem,
)
from turmerictiller.transport.http_client import ConnectionPool
from turmerictiller.transport.peer_messages import (
    Document,
    Documents,
    decode_exchange,
    encode_exchange,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from turmerictiller.forwarding.model import ServerEntry


class FaultyStore(StoreClient):
    """A store whose first list raises an unexpected error."""

    lists = 0

    async def read_all(self, prefix: str) -> tuple[int, list[StoreItem]]:
        self.lists += 1
        if self.lists == 1:
            raise RuntimeError("unexpected")
        return 5, []

    async def watch(
        self, prefix: str, revision: int, wait_ms: Millis
    ) -> tuple[int, list[StoreItem]]:
        await asyncio.sleep(60)
        return revision, []


def test_unexpected_error_does_not_stop_the_watch() -> None:
    """Guards against an instance that stops following the store without logging it."""
    events: list[Event] = []
    lines: list[str] = []

    async def scenario() -> None:
        clock = Clock()
        store = FaultyStore("127.0.0.1:1", ConnectionPool(clock), clock)

        def log(event: str, fields: dict[str, object], urgent: bool) -> None:
            lines.append(event)

        registry = RegistryReplica(
            store, clock, 3_000.0, 4_000.0, lambda: ReadPlan.DIRECT, events.append, log
        )
        registry.start()
        async with asyncio.timeout(3):
            while not any(isinstance(event, ServersListed) for event in events):
                await asyncio.sleep(0.02)
        registry.close()

    asyncio.run(scenario())
    assert isinstance(events[0], RegistryLost)
    assert lines == ["registry_fault"]


ENTRY = (
    b'{"service": "a", "address": "10.0.0.1:9000", "zone": "z", "version": "v1", "slots": 3,'
    b' "state": "ready", "warmupLeftMs": 0, "sequence": 1}'
)


class ScriptedStore(StoreClient):
    """A store that a test fills; watches end on a change or when their time is up."""

    def __init__(self, clock: Clock) -> None:
        super().__init__("127.0.0.1:1", ConnectionPool(clock), clock)
        self.items: dict[str, StoreItem] = {}
        self.revision = 5
        self.history: list[StoreItem] = []
        self.has_history = True

    def put(self, key: str, value: bytes | None) -> None:
        """Write or remove a key."""
        self.revision += 1
        item = StoreItem(key, self.revision, value)
        self.items[key] = item
        if value is None:
            del self.items[key]
        self.history.append(item)

    async def read_all(self, prefix: str) -> tuple[int, list[StoreItem]]:
        self.calls += 1
        return self.revision, list(self.items.values())

    async def watch(
        self, prefix: str, revision: int, wait_ms: Millis
    ) -> tuple[int, list[StoreItem]]:
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


async def wait_for_current_revision(registry: RegistryReplica, store: ScriptedStore) -> None:
    """Wait until a replica has all changes of a store."""
    async with asyncio.timeout(5):
        while registry.revision < store.revision:
            await asyncio.sleep(0.01)


def run_replica(
    scenario: Callable[[RegistryReplica, ScriptedStore, list[Event]], Awaitable[None]],
    plan: Callable[[], ReadPlan] = lambda: ReadPlan.READER,
) -> None:
    """Run a scenario with a replica of a scripted store."""

    async def run() -> None:
        clock = Clock()
        store = ScriptedStore(clock)
        events: list[Event] = []
        registry = RegistryReplica(
            store, clock, 300.0, 4_000.0, plan, events.append, lambda event, fields, urgent: None
        )
        store.put("servers/s1", ENTRY)
        registry.start()
        await wait_for_current_revision(registry, store)
        await scenario(registry, store, events)
        registry.close()

    asyncio.run(run())


def test_changes_since_a_revision_include_removals() -> None:
    """Guards against instances that keep using a server whose removal only shows in a list."""

    async def scenario(
        registry: RegistryReplica, store: ScriptedStore, events: list[Event]
    ) -> None:
        before = registry.revision
        store.put("servers/s2", ENTRY)
        await wait_for_current_revision(registry, store)
        assert registry.changes_since(before) == [Document("servers/s2", before + 1, ENTRY)]
        # The history is discarded, so the removal shows only in the next list.
        store.put("servers/s1", None)
        store.history.clear()
        store.has_history = False
        await wait_for_current_revision(registry, store)
        changes = {item.key: item.value for item in registry.changes_since(before) or ()}
        assert changes == {"servers/s2": ENTRY, "servers/s1": None}
        assert registry.changes_since(0) is None

    run_replica(scenario)


class SilentStore(ScriptedStore):
    """A store whose open connection goes silent at once after an answer; new ones work."""

    silent_since: Millis | None = None
    restored_after_ms: Millis = 0.0

    async def read_all(self, prefix: str) -> tuple[int, list[StoreItem]]:
        if self.silent_since is not None:
            self.restored_after_ms = self.clock.now_ms() - self.silent_since
            self.silent_since = None
        return await super().read_all(prefix)

    async def watch(
        self, prefix: str, revision: int, wait_ms: Millis
    ) -> tuple[int, list[StoreItem]]:
        if self.silent_since is None:
            return await super().watch(prefix, revision, wait_ms)
        await asyncio.sleep((wait_ms + WATCH_TIMEOUT_MARGIN_MS) / 1000)
        raise StoreError("timed_out")


@pytest.mark.parametrize("has_change", [False, True])
def test_silent_connection_is_replaced_within_the_recovery_bound(has_change: bool) -> None:
    """Guards against changes that take effect too late because a watch waits on a dead connection.

    A change is followed by a pause, in which the connection may fail as well.
    """
    propagation_bound_ms, recovery_bound_ms = 1_500.0, 2_000.0

    async def scenario() -> float:
        clock = Clock()
        store = SilentStore(clock)
        registry = RegistryReplica(
            store,
            clock,
            propagation_bound_ms,
            recovery_bound_ms,
            lambda: ReadPlan.DIRECT,
            lambda event: None,
            lambda event, fields, urgent: None,
        )
        registry.start()
        await wait_for_current_revision(registry, store)
        if has_change:
            store.put("servers/s1", ENTRY)
            await wait_for_current_revision(registry, store)
        store.silent_since = clock.now_ms()
        async with asyncio.timeout(5):
            while store.silent_since is not None:
                await asyncio.sleep(0.01)
        registry.close()
        return store.restored_after_ms

    assert asyncio.run(scenario()) < recovery_bound_ms


def test_incomplete_changes_are_not_returned() -> None:
    """Guards against an instance that is considered up to date though it missed a removal."""

    async def scenario(
        registry: RegistryReplica, store: ScriptedStore, events: list[Event]
    ) -> None:
        before = registry.revision
        for number in range(MAX_TOMBSTONES + 1):
            store.put(f"servers/x{number}", ENTRY)
            store.put(f"servers/x{number}", None)
        await wait_for_current_revision(registry, store)
        assert registry.changes_since(before) is None
        assert registry.changes_since(registry.revision) == []

    run_replica(scenario)


def test_replica_that_relies_on_peers_makes_no_store_calls_and_merges_their_changes() -> None:
    """Guards against store calls by every instance, and against partly merged changes."""
    plan = ReadPlan.READER

    async def scenario(
        registry: RegistryReplica, store: ScriptedStore, events: list[Event]
    ) -> None:
        nonlocal plan
        plan = ReadPlan.FOLLOWER
        await asyncio.sleep(0.1)
        calls = store.calls
        revision = registry.revision
        changes = [Document("servers/s1", revision + 1, None)]
        registry.merge_peer_changes(changes, revision + 2, 123.0)
        await asyncio.sleep(2 * PLAN_CHECK_INTERVAL_MS / 1000)
        assert store.calls == calls
        assert any(isinstance(event, ServerEntryRemoved) for event in events)
        assert isinstance(events[-1], RegistryRead)
        assert (events[-1].revision, events[-1].read_at) == (revision + 2, 123.0)
        plan = ReadPlan.READER
        store.revision = revision + 2
        store.put("servers/s3", ENTRY)
        await wait_for_current_revision(registry, store)
        assert "servers/s3" in registry.items_by_key

    run_replica(scenario, lambda: plan)


DEEPLY_NESTED = b'{"a":' * 2_000 + b"1" + b"}" * 2_000


def offline_replica(events: list[Event], lines: list[str]) -> RegistryReplica:
    """Return a replica that gets its items from the test, and collects events and log lines."""
    clock = Clock()
    return RegistryReplica(
        ScriptedStore(clock),
        clock,
        300.0,
        4_000.0,
        lambda: ReadPlan.READER,
        events.append,
        lambda event, fields, urgent: lines.append(event),
    )


def deliver(registry: RegistryReplica, read: str, items: list[StoreItem]) -> None:
    """Deliver items by a watch, a list or another instance."""
    if read == "watch":
        for item in items:
            registry._on_change(item)
    elif read == "list":
        registry._on_list(items[-1].revision, items)
    else:
        registry.merge_peer_documents([Document(i.key, i.revision, i.value) for i in items])


def received_ids(events: list[Event]) -> list[str]:
    """Return the ids of the servers in events that hold only entries."""
    ids = []
    for event in events:
        assert isinstance(event, ServersListed | ServerEntryReceived)
        entries = event.entries if isinstance(event, ServersListed) else (event.entry,)
        ids += [entry.id for entry in entries]
    return ids


@pytest.mark.parametrize("read", ["watch", "list", "peer"])
@pytest.mark.parametrize("is_expected_error", [True, False])
def test_document_that_cannot_be_parsed_does_not_stop_the_others(
    monkeypatch: pytest.MonkeyPatch, read: str, is_expected_error: bool
) -> None:
    """Guards against one foreign entry that ends the following of all servers."""
    if not is_expected_error:

        def parse(server_id: str, revision: int, value: bytes) -> ServerEntry:
            if value == DEEPLY_NESTED:
                raise RuntimeError("unexpected")
            return parse_server_entry(server_id, revision, value)

        monkeypatch.setattr("turmerictiller.platform.registry.parse_server_entry", parse)
    events: list[Event] = []
    lines: list[str] = []
    items = [StoreItem("servers/a", 6, DEEPLY_NESTED), StoreItem("servers/b", 7, ENTRY)]
    deliver(offline_replica(events, lines), read, items)
    assert received_ids(events) == ["b"]
    assert lines == ["entry_unreadable" if is_expected_error else "document_fault"]


@pytest.mark.parametrize("read", ["watch", "list", "peer"])
def test_unreadable_value_is_not_sent_to_other_instances(read: str) -> None:
    """Guards against exchanges that exceed their size or time limit because of a foreign value."""
    registry, peer = offline_replica([], []), offline_replica([], [])
    large = b"x" * 1_048_576
    items = [StoreItem(f"servers/x{number}", 6 + number, large) for number in range(5)]
    deliver(registry, read, [*items, StoreItem("servers/b", 20, ENTRY)])
    state = new_state(replace(SETTINGS, peer_address="10.0.0.1:7740"))
    message = encode_exchange(build_gossip(state), Documents(registry.documents()))
    assert len(message) < 10_000
    # The other instance still learns that the entry exists and cannot be read.
    _, documents = decode_exchange(message)
    peer.merge_peer_documents(documents.items)
    assert peer.items_by_key.keys() == registry.items_by_key.keys()


@pytest.mark.parametrize("read", ["watch", "list", "peer"])
def test_keys_that_are_not_followed_are_ignored(read: str) -> None:
    """Guards against a value under another key that is used as a server or sent to instances."""
    events: list[Event] = []
    registry = offline_replica(events, [])
    items = [StoreItem("tools/a", 6, ENTRY), StoreItem("servers/b", 7, ENTRY)]
    deliver(registry, read, items)
    assert received_ids(events) == ["b"]
    assert [document.key for document in registry.documents()] == ["servers/b"]


@pytest.mark.parametrize("read", ["watch", "list"])
def test_outdated_read_does_not_revert_newer_peer_changes(read: str) -> None:
    """Guards against an instance that sends incomplete changes for the revision it reports."""
    registry = offline_replica([], [])
    registry._on_list(6, [StoreItem("servers/s1", 6, ENTRY)])
    removed, added = Document("servers/s1", 11, None), Document("servers/s9", 12, ENTRY)
    registry.merge_peer_changes([removed, added], 12, 0.0)
    # The answer to a read that was sent before the merge.
    if read == "watch":
        registry._on_change(StoreItem("servers/s1", 8, ENTRY))
    else:
        registry._on_list(8, [StoreItem("servers/s1", 8, ENTRY)])
    assert registry.changes_since(6) == [removed, added]
