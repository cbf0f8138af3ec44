"""Replica of the platform's store, kept up to date by a watch or by other instances."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from turmerictiller.forwarding.events import (
    ConfigurationReceived,
    RegistryLost,
    RegistryRead,
    ServerEntryReceived,
    ServerEntryRemoved,
    ServersListed,
)
from turmerictiller.forwarding.readers import ReadPlan
from turmerictiller.platform.documents import DocumentError, parse_configuration, parse_server_entry
from turmerictiller.platform.store import (
    WATCH_TIMEOUT_MARGIN_MS,
    HistoryGoneError,
    StoreError,
    StoreItem,
)
from turmerictiller.transport.peer_messages import Document

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from turmerictiller.clock import Clock, Millis
    from turmerictiller.forwarding.events import Event
    from turmerictiller.forwarding.model import ServerEntry
    from turmerictiller.platform.store import StoreClient

SERVER_KEY_PREFIX = "servers/"
CONFIGURATION_KEY = "op/config"
# A watch delivers every change or fails. The list read at this interval therefore only limits how
# long the replica is wrong after a fault of the store.
RELIST_INTERVAL_MS = 30_000.0
# Calls to the store are charged, so watches are long.
WATCH_TIMEOUT_RATIO = 1.5
# An overdue watch is the only sign that its connection has failed silently. Bounds hold again when
# the platform's recovery bound has passed since then. This part of it is left to notice the
# failure, back off, and list the changes from a slow store.
RECONNECT_MS = WATCH_TIMEOUT_MARGIN_MS + 350.0
MIN_WATCH_MS = 500.0
# Servers that change together would end a watch one by one. A watch that returned changes is
# therefore followed by a pause, which doubles while changes continue. Both limits are relative to
# the time that the platform allows for acting on a change.
MIN_WATCH_GAP_RATIO = 1 / 6
MAX_WATCH_GAP_RATIO = 1 / 3
QUIET_WATCH_MS = 1_000.0  # a watch that waited this long ends a series of changes
MAX_TOMBSTONES = 256  # removed keys that are kept for other instances
# One watch covers the keys of the operator and of the servers.
ALL_KEYS_PREFIX = ""
# Watches of an instance that reads for others. They are short, to confirm that there are no newer
# changes, and servers that change together are reported about once a second.
READER_WATCH_MS = 1_500.0
PLAN_CHECK_INTERVAL_MS = 250.0  # between checks whether changes from other instances are recent
# A slow store takes this long to answer, so the state in an answer may be this much older.
SLOW_RESPONSE_MS = 300.0
MIN_RETRY_DELAY_MS = 100.0
# Server entries must take effect again within two seconds of the store's recovery.
MAX_RETRY_DELAY_MS = 500.0


def _is_followed(key: str) -> bool:
    """Return whether a key belongs to the configuration or to a server."""
    return key == CONFIGURATION_KEY or key.startswith(SERVER_KEY_PREFIX)


@dataclass
class RegistryReplica:
    """One instance's replica of the store, fed by its own watch or by other instances.

    :param propagation_bound_ms: time within which a change must take effect.
    :param recovery_bound_ms: time after a silent failure of a connection from which changes must
        take effect again.
    :param get_read_plan: returns whether this instance reads the store or relies on others.
    :param dispatch: receives the changes as events.
    :param log: writes a log line; takes its name, its fields and whether it is urgent.
    :param complete_since_revision: the replica holds all changes after this revision; ``None``
        before the first list.
    """

    store: StoreClient
    clock: Clock
    propagation_bound_ms: Millis
    recovery_bound_ms: Millis
    get_read_plan: Callable[[], ReadPlan]
    dispatch: Callable[[Event], None]
    log: Callable[[str, dict[str, object], bool], None]
    items_by_key: dict[str, StoreItem] = field(default_factory=dict)
    revision: int = 0
    complete_since_revision: int | None = None
    _task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start following the store."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    def documents(self) -> list[Document]:
        """Return the published documents, for instances that do not read the store."""
        return [
            Document(item.key, item.revision, item.value) for item in self.items_by_key.values()
        ]

    def changes_since(self, revision: int) -> list[Document] | None:
        """Return the changes after a revision; ``None`` if some of them are no longer stored."""
        if self.complete_since_revision is None or revision < self.complete_since_revision:
            return None
        return [document for document in self.documents() if document.revision > revision]

    def merge_peer_changes(
        self, documents: Sequence[Document], revision: int, read_at: Millis
    ) -> None:
        """Merge all changes up to a revision, which was the newest one at ``read_at``."""
        self.merge_peer_documents(documents)
        self._advance_revision(revision, read_at)

    def merge_peer_documents(self, documents: Sequence[Document]) -> None:
        """Merge documents read by another instance; the newer revision of a key wins."""
        entries: list[ServerEntry] = []
        for document in documents:
            item = StoreItem(document.key, document.revision, document.value)
            if not _is_followed(item.key) or not self._is_newer(item):
                continue
            self._store_item(item)
            if item.key == CONFIGURATION_KEY:
                self._on_configuration(item)
            elif item.value is None:
                self._on_removed(item, from_peer=True)
            elif (entry := self._parse_entry(item)) is not None:
                entries.append(entry)
        # No entry is older than revision 0, so this list removes none.
        if entries:
            now = self.clock.now_ms()
            self.dispatch(ServersListed(now, 0, tuple(entries), from_peer=True))

    def _is_newer(self, item: StoreItem) -> bool:
        """Return whether an item is newer than the stored one.

        Changes from another instance may overtake the answer to a read of this instance.
        """
        stored_item = self.items_by_key.get(item.key)
        return stored_item is None or stored_item.revision < item.revision

    def _store_item(self, item: StoreItem) -> None:
        """Store an item, evicting the first tombstones above the limit."""
        self.items_by_key[item.key] = item
        tombstone_keys = [key for key, stored in self.items_by_key.items() if stored.value is None]
        for key in tombstone_keys[:-MAX_TOMBSTONES]:
            evicted = self.items_by_key.pop(key)
            if self.complete_since_revision is not None:
                self.complete_since_revision = max(self.complete_since_revision, evicted.revision)

    def _advance_revision(self, revision: int, read_at: Millis) -> None:
        """Record that all changes up to a revision are stored, and when it was the newest."""
        self.revision = max(self.revision, revision)
        self.dispatch(RegistryRead(self.clock.now_ms(), revision, read_at))

    def _on_removed(self, item: StoreItem, from_peer: bool = False) -> None:
        server_id = item.key.removeprefix(SERVER_KEY_PREFIX)
        now = self.clock.now_ms()
        self.dispatch(ServerEntryRemoved(now, server_id, item.revision, from_peer))

    def close(self) -> None:
        """Stop following the store."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        retry_delay_ms = MIN_RETRY_DELAY_MS
        while True:
            try:
                if (
                    self.complete_since_revision is None
                    or self.get_read_plan() is not ReadPlan.FOLLOWER
                ):
                    await self._read_all()
                    retry_delay_ms = MIN_RETRY_DELAY_MS
                await self._watch()
            except HistoryGoneError:
                self.log("history_gone", {}, True)
            except StoreError as error:
                failure = {"reason": str(error), "received_bytes": error.received_bytes}
                self.log("store_read_interrupted", failure, False)
                await self._back_off(str(error), retry_delay_ms)
                retry_delay_ms = min(2 * retry_delay_ms, MAX_RETRY_DELAY_MS)
            except Exception as error:
                # An unexpected error must not stop the watch for good.
                self.log("registry_fault", {"error": repr(error)[:300]}, True)
                await self._back_off("fault", MAX_RETRY_DELAY_MS)

    async def _read_all(self) -> None:
        requested_at = self.clock.now_ms()
        revision, items = await self.store.read_all(ALL_KEYS_PREFIX)
        self._on_list(revision, items)
        self._advance_revision(revision, requested_at)

    async def _back_off(self, reason: str, retry_delay_ms: Millis) -> None:
        self.dispatch(RegistryLost(self.clock.now_ms(), reason))
        await asyncio.sleep(random.uniform(0.5, 1.0) * retry_delay_ms / 1000)

    async def _watch(self) -> None:
        listed_at = self.clock.now_ms()
        max_gap_ms = MAX_WATCH_GAP_RATIO * self.propagation_bound_ms
        # Start with the longest pause: servers that start with this instance register one by one.
        gap_ms = max_gap_ms
        answered_at = listed_at
        while (requested_at := self.clock.now_ms()) - listed_at < RELIST_INTERVAL_MS:
            plan = self.get_read_plan()
            if plan is ReadPlan.FOLLOWER:
                # The interval between lists counts only time in which the store is read.
                listed_at += PLAN_CHECK_INTERVAL_MS
                await asyncio.sleep(PLAN_CHECK_INTERVAL_MS / 1000)
                continue
            wait_ms = self._watch_ms(plan, requested_at - answered_at)
            revision, items = await self.store.watch(ALL_KEYS_PREFIX, self.revision, wait_ms)
            for item in items:
                self._on_change(item)
            now = answered_at = self.clock.now_ms()
            self._advance_revision(revision, max(requested_at, now - SLOW_RESPONSE_MS))
            if now - requested_at >= QUIET_WATCH_MS or plan is ReadPlan.READER:
                gap_ms = MIN_WATCH_GAP_RATIO * self.propagation_bound_ms
            if items:
                await asyncio.sleep(gap_ms / 1000)
                gap_ms = min(2 * gap_ms, max_gap_ms)

    def _watch_ms(self, plan: ReadPlan, idle_ms: Millis) -> Millis:
        """Return the length of the next watch on a connection that was idle for some time.

        The connection may have failed at any time since its last answer.
        """
        usual_ms = (
            WATCH_TIMEOUT_RATIO * self.propagation_bound_ms
            if plan is ReadPlan.DIRECT
            else READER_WATCH_MS
        )
        limit_ms = self.recovery_bound_ms - RECONNECT_MS - idle_ms
        return min(usual_ms, max(MIN_WATCH_MS, limit_ms))

    def _on_list(self, revision: int, items: list[StoreItem]) -> None:
        entries: list[ServerEntry] = []
        unreadable_ids: set[str] = set()
        items = [item for item in items if _is_followed(item.key)]
        self._replace_items(revision, items)
        for item in items:
            if item.key == CONFIGURATION_KEY:
                self._on_configuration(item)
            elif (entry := self._parse_entry(item)) is not None:
                entries.append(entry)
            else:
                unreadable_ids.add(item.key.removeprefix(SERVER_KEY_PREFIX))
        now = self.clock.now_ms()
        self.dispatch(ServersListed(now, revision, tuple(entries), frozenset(unreadable_ids)))

    def _replace_items(self, revision: int, items: list[StoreItem]) -> None:
        """Replace all items, with tombstones for stored items that were removed."""
        old_items_by_key, self.items_by_key = self.items_by_key, {item.key: item for item in items}
        if self.complete_since_revision is None:
            self.complete_since_revision = revision
        for key, stored_item in old_items_by_key.items():
            listed_item = self.items_by_key.get(key)
            if stored_item.revision > (
                listed_item.revision if listed_item is not None else revision
            ):
                self._store_item(stored_item)
            elif listed_item is None:
                self._store_item(
                    stored_item if stored_item.value is None else StoreItem(key, revision, None)
                )

    def _on_change(self, item: StoreItem) -> None:
        if not _is_followed(item.key) or not self._is_newer(item):
            return
        self._store_item(item)
        if item.key == CONFIGURATION_KEY:
            self._on_configuration(item)
        elif item.value is None:
            self._on_removed(item)
        elif (entry := self._parse_entry(item)) is not None:
            self.dispatch(ServerEntryReceived(self.clock.now_ms(), entry))

    def _on_configuration(self, item: StoreItem) -> None:
        if item.value is None:
            return
        try:
            configuration = parse_configuration(item.value)
        except DocumentError as error:
            fields: dict[str, object] = {"revision": item.revision, "error": str(error)}
            self.log("configuration_unreadable", fields, True)
        except Exception as error:
            self._log_document_fault(item, error)
        else:
            self.dispatch(ConfigurationReceived(self.clock.now_ms(), configuration))

    def _parse_entry(self, item: StoreItem) -> ServerEntry | None:
        server_id = item.key.removeprefix(SERVER_KEY_PREFIX)
        try:
            return parse_server_entry(server_id, item.revision, item.value or b"")
        except DocumentError as error:
            fields: dict[str, object] = {"server": server_id, "error": str(error)[:120]}
            self.log("entry_unreadable", fields, False)
        except Exception as error:
            self._log_document_fault(item, error)
        self._drop_value(item)
        return None

    def _drop_value(self, item: StoreItem) -> None:
        """Drop the value of an unreadable entry, which would be sent to other instances."""
        if self.items_by_key.get(item.key) is item:
            self.items_by_key[item.key] = StoreItem(item.key, item.revision, b"")

    def _log_document_fault(self, item: StoreItem, error: Exception) -> None:
        """Log an unexpected error in one document, which must not stop the read of the others."""
        fields: dict[str, object] = {"key": item.key, "error": repr(error)[:300]}
        self.log("document_fault", fields, True)
