"""Follows the platform's store and tells the product what it reads."""

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
from turmerictiller.platform.documents import DocumentError, read_configuration, read_server
from turmerictiller.platform.store import HistoryGoneError, Item, StoreError
from turmerictiller.transport.peer_messages import Document

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from turmerictiller.clock import Clock, Millis
    from turmerictiller.forwarding.events import Event
    from turmerictiller.forwarding.model import ServerEntry
    from turmerictiller.platform.store import Store

SERVERS = "servers/"
CONFIGURATION = "op/config"
# A watch tells every change or fails, so this only limits how long a fault of the store could last.
LIST_MS = 30_000.0
# Calls are priced, so watches are long. One that ends too late is the only sign of a connection that
# has gone silent; the platform's bounds begin to count four seconds and more after that, and one and a
# half times the bound leaves time for a new connection and a list.
WATCH_SHARE = 1.5
# Servers that change together would wake a watch one by one. So there is a pause after a watch that
# told changes, which grows while changes keep coming; both are shares of the time that the platform
# allows for acting on a change.
GAP_SHARE = 1 / 6
LONGEST_GAP_SHARE = 1 / 3
QUIET_WATCH_MS = 1_000.0  # a watch that waited so long ends a series of changes
MAX_REMOVED = 256  # removed entries that are told to other instances
# The store holds the operator's and the servers' keys and no others.
EVERYTHING = ""
# Where others hear what this instance reads, a watch that tells nothing ends soon, to show that there is
# nothing newer, and servers that change together are told about once a second.
READER_WATCH_MS = 1_500.0
REST_MS = 250.0  # between two looks at whether what others tell is still recent
# The store's answers take this long when it is slow, so what one says may be so much older.
SLOW_ANSWER_MS = 300.0
FIRST_RETRY_MS = 100.0
LONGEST_RETRY_MS = 500.0  # entries must count again within two seconds of the store's return


@dataclass
class Registry:
    """What one instance knows of the store, by its own watch or from other instances.

    :param bound_ms: time within which a change must take effect.
    :param plan: returns how this instance is to learn what the store holds.
    :param log: writes a line; takes its name, its fields and whether it is among the last dropped.
    """

    store: Store
    clock: Clock
    bound_ms: Millis
    plan: Callable[[], ReadPlan]
    dispatch: Callable[[Event], None]
    log: Callable[[str, dict[str, object], bool], None]
    items_by_key: dict[str, Item] = field(default_factory=dict)
    revision: int = 0
    complete_since: int | None = None
    _task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin to follow the store."""
        self._task = asyncio.get_running_loop().create_task(self._follow())

    def documents(self) -> list[Document]:
        """Return what was read, as it was published, for instances that can not read it."""
        return [
            Document(item.key, item.revision, item.value) for item in self.items_by_key.values()
        ]

    def changes_since(self, revision: int) -> list[Document] | None:
        """Return what has changed after a revision; ``None`` if that is not known in full."""
        if self.complete_since is None or revision < self.complete_since:
            return None
        return [document for document in self.documents() if document.revision > revision]

    def on_peer_changes(
        self, documents: Sequence[Document], revision: int, read_at: Millis
    ) -> None:
        """Take over all changes up to a revision, which was the newest at a time."""
        self.on_peer_documents(documents)
        self._advance(revision, read_at)

    def on_peer_documents(self, documents: Sequence[Document]) -> None:
        """Take over what another instance has read; newer revisions win."""
        entries: list[ServerEntry] = []
        for document in documents:
            item = Item(document.key, document.revision, document.value)
            if not self._is_news(item):
                continue
            self._keep(item)
            if item.key == CONFIGURATION:
                self._on_configuration(item)
            elif item.value is None:
                self._on_removed(item, from_peer=True)
            elif (entry := self._entry(item)) is not None:
                entries.append(entry)
        # No entry is older than revision 0, so nothing counts as removed by this list.
        if entries:
            now = self.clock.now_ms()
            self.dispatch(ServersListed(now, 0, tuple(entries), from_peer=True))

    def _is_news(self, item: Item) -> bool:
        """Return whether an item is newer than what is known of its key.

        What another instance tells may overtake the answer to a read of this one.
        """
        known = self.items_by_key.get(item.key)
        return known is None or known.revision < item.revision

    def _keep(self, item: Item) -> None:
        """Keep an item for other instances, and removed ones as long as there is room."""
        self.items_by_key[item.key] = item
        removed = [key for key, kept in self.items_by_key.items() if kept.value is None]
        for key in removed[:-MAX_REMOVED]:
            forgotten = self.items_by_key.pop(key)
            if self.complete_since is not None:
                self.complete_since = max(self.complete_since, forgotten.revision)

    def _advance(self, revision: int, read_at: Millis) -> None:
        """Note that all changes up to a revision are known, and when there were no others."""
        self.revision = max(self.revision, revision)
        self.dispatch(RegistryRead(self.clock.now_ms(), revision, read_at))

    def _on_removed(self, item: Item, from_peer: bool = False) -> None:
        server_id = item.key.removeprefix(SERVERS)
        now = self.clock.now_ms()
        self.dispatch(ServerEntryRemoved(now, server_id, item.revision, from_peer))

    def close(self) -> None:
        """Stop following."""
        if self._task is not None:
            self._task.cancel()

    async def _follow(self) -> None:
        retry_ms = FIRST_RETRY_MS
        while True:
            try:
                if self.complete_since is None or self.plan() is not ReadPlan.FOLLOWER:
                    await self._list()
                    retry_ms = FIRST_RETRY_MS
                await self._watch()
            except HistoryGoneError:
                self.log("history_gone", {}, True)
            except StoreError as error:
                await self._pause(str(error), retry_ms)
                retry_ms = min(2 * retry_ms, LONGEST_RETRY_MS)
            except Exception as error:
                # A fault in one document must not end the watch for the life of the process.
                self.log("registry_fault", {"error": repr(error)[:300]}, True)
                await self._pause("fault", LONGEST_RETRY_MS)

    async def _list(self) -> None:
        asked_at = self.clock.now_ms()
        revision, items = await self.store.read_all(EVERYTHING)
        self._on_list(revision, items)
        self._advance(revision, asked_at)

    async def _pause(self, reason: str, retry_ms: Millis) -> None:
        self.dispatch(RegistryLost(self.clock.now_ms(), reason))
        await asyncio.sleep(random.uniform(0.5, 1.0) * retry_ms / 1000)

    async def _watch(self) -> None:
        listed_at = self.clock.now_ms()
        longest_ms = LONGEST_GAP_SHARE * self.bound_ms
        # Servers that start together with this instance register one by one.
        gap_ms = longest_ms
        while (asked_at := self.clock.now_ms()) - listed_at < LIST_MS:
            plan = self.plan()
            if plan is ReadPlan.FOLLOWER:
                # A list is due only where the store is read.
                listed_at += REST_MS
                await asyncio.sleep(REST_MS / 1000)
                continue
            wait_ms = WATCH_SHARE * self.bound_ms if plan is ReadPlan.DIRECT else READER_WATCH_MS
            revision, items = await self.store.watch(EVERYTHING, self.revision, wait_ms)
            for item in items:
                self._on_change(item)
            now = self.clock.now_ms()
            self._advance(revision, max(asked_at, now - SLOW_ANSWER_MS))
            if now - asked_at >= QUIET_WATCH_MS or plan is ReadPlan.READER:
                gap_ms = GAP_SHARE * self.bound_ms
            if items:
                await asyncio.sleep(gap_ms / 1000)
                gap_ms = min(2 * gap_ms, longest_ms)

    def _on_list(self, revision: int, items: list[Item]) -> None:
        entries: list[ServerEntry] = []
        unreadable_ids: set[str] = set()
        self._keep_list(revision, items)
        for item in items:
            if item.key == CONFIGURATION:
                self._on_configuration(item)
            elif item.key.startswith(SERVERS):
                entry = self._entry(item)
                if entry is None:
                    unreadable_ids.add(item.key.removeprefix(SERVERS))
                else:
                    entries.append(entry)
        now = self.clock.now_ms()
        self.dispatch(ServersListed(now, revision, tuple(entries), frozenset(unreadable_ids)))

    def _keep_list(self, revision: int, items: list[Item]) -> None:
        """Keep all items, and note which of those known so far were removed."""
        before, self.items_by_key = self.items_by_key, {item.key: item for item in items}
        if self.complete_since is None:
            self.complete_since = revision
        for key, known in before.items():
            listed = self.items_by_key.get(key)
            if known.revision > (listed.revision if listed is not None else revision):
                self._keep(known)
            elif listed is None:
                self._keep(known if known.value is None else Item(key, revision, None))

    def _on_change(self, item: Item) -> None:
        if not self._is_news(item):
            return
        self._keep(item)
        if item.key == CONFIGURATION:
            self._on_configuration(item)
        elif item.key.startswith(SERVERS):
            if item.value is None:
                self._on_removed(item)
            elif (entry := self._entry(item)) is not None:
                self.dispatch(ServerEntryReceived(self.clock.now_ms(), entry))

    def _on_configuration(self, item: Item) -> None:
        if item.value is None:
            return
        try:
            configuration = read_configuration(item.value)
        except DocumentError as error:
            fields: dict[str, object] = {"revision": item.revision, "error": str(error)}
            self.log("configuration_unreadable", fields, True)
            return
        self.dispatch(ConfigurationReceived(self.clock.now_ms(), configuration))

    def _entry(self, item: Item) -> ServerEntry | None:
        server_id = item.key.removeprefix(SERVERS)
        try:
            return read_server(server_id, item.revision, item.value or b"")
        except DocumentError as error:
            fields: dict[str, object] = {"server": server_id, "error": str(error)[:120]}
            self.log("entry_unreadable", fields, False)
            return None
