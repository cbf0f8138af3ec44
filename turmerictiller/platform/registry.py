"""Follows the platform's store and tells the product what it reads."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from turmerictiller.forwarding.events import (
    ConfigurationSeen,
    RegistryLost,
    ServerEntryRemoved,
    ServerSeen,
    ServersListed,
)
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
FIRST_RETRY_MS = 100.0
LONGEST_RETRY_MS = 500.0  # entries must count again within two seconds of the store's return


@dataclass
class Registry:
    """The watch of one instance.

    :param bound_ms: time within which a change must take effect.
    :param log: writes a line; takes its name, its fields and whether it is among the last dropped.
    """

    store: Store
    clock: Clock
    bound_ms: Millis
    dispatch: Callable[[Event], None]
    log: Callable[[str, dict[str, object], bool], None]
    items_by_key: dict[str, Item] = field(default_factory=dict)
    _task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin to follow the store."""
        self._task = asyncio.get_running_loop().create_task(self._follow())

    def documents(self) -> list[Document]:
        """Return what was read, as it was published, for instances that can not read it."""
        return [
            Document(item.key, item.revision, item.value) for item in self.items_by_key.values()
        ]

    def on_peer_documents(self, documents: Sequence[Document]) -> None:
        """Take over what another instance has read; newer revisions win."""
        entries: list[ServerEntry] = []
        for document in documents:
            item = Item(document.key, document.revision, document.value)
            known = self.items_by_key.get(item.key)
            if known is not None and known.revision >= item.revision:
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

    def _keep(self, item: Item) -> None:
        """Keep an item for other instances, and removed ones as long as there is room."""
        self.items_by_key[item.key] = item
        removed = [key for key, kept in self.items_by_key.items() if kept.value is None]
        for key in removed[:-MAX_REMOVED]:
            del self.items_by_key[key]

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
                revision, items = await self.store.read_all(EVERYTHING)
                self._on_list(revision, items)
                retry_ms = FIRST_RETRY_MS
                await self._watch(revision)
            except HistoryGoneError:
                self.log("history_gone", {}, True)
            except StoreError as error:
                await self._pause(str(error), retry_ms)
                retry_ms = min(2 * retry_ms, LONGEST_RETRY_MS)
            except Exception as error:
                # A fault in one document must not end the watch for the life of the process.
                self.log("registry_fault", {"error": repr(error)[:300]}, True)
                await self._pause("fault", LONGEST_RETRY_MS)

    async def _pause(self, reason: str, retry_ms: Millis) -> None:
        self.dispatch(RegistryLost(self.clock.now_ms(), reason))
        await asyncio.sleep(random.uniform(0.5, 1.0) * retry_ms / 1000)

    async def _watch(self, revision: int) -> None:
        listed_at = self.clock.now_ms()
        longest_ms = LONGEST_GAP_SHARE * self.bound_ms
        # Servers that start together with this instance register one by one.
        gap_ms = longest_ms
        while (asked_at := self.clock.now_ms()) - listed_at < LIST_MS:
            wait_ms = WATCH_SHARE * self.bound_ms
            revision, items = await self.store.watch(EVERYTHING, revision, wait_ms)
            for item in items:
                self._on_change(item)
            if self.clock.now_ms() - asked_at >= QUIET_WATCH_MS:
                gap_ms = GAP_SHARE * self.bound_ms
            if items:
                await asyncio.sleep(gap_ms / 1000)
                gap_ms = min(2 * gap_ms, longest_ms)

    def _on_list(self, revision: int, items: list[Item]) -> None:
        entries: list[ServerEntry] = []
        unreadable_ids: set[str] = set()
        self.items_by_key = {item.key: item for item in items}
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

    def _on_change(self, item: Item) -> None:
        self._keep(item)
        if item.key == CONFIGURATION:
            self._on_configuration(item)
        elif item.key.startswith(SERVERS):
            if item.value is None:
                self._on_removed(item)
            elif (entry := self._entry(item)) is not None:
                self.dispatch(ServerSeen(self.clock.now_ms(), entry))

    def _on_configuration(self, item: Item) -> None:
        if item.value is None:
            return
        try:
            configuration = read_configuration(item.value)
        except DocumentError as error:
            fields: dict[str, object] = {"revision": item.revision, "error": str(error)}
            self.log("configuration_unreadable", fields, True)
            return
        self.dispatch(ConfigurationSeen(self.clock.now_ms(), configuration))

    def _entry(self, item: Item) -> ServerEntry | None:
        server_id = item.key.removeprefix(SERVERS)
        try:
            return read_server(server_id, item.revision, item.value or b"")
        except DocumentError as error:
            fields: dict[str, object] = {"server": server_id, "error": str(error)[:120]}
            self.log("entry_unreadable", fields, False)
            return None
