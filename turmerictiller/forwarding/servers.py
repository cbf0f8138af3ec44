"""Discovery of servers, and which of them may get new requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from turmerictiller.forwarding.announcements import is_paused
from turmerictiller.forwarding.effects import CloseServerConnections, WriteLog
from turmerictiller.forwarding.state import ServerState, TimerKind, service_state

if TYPE_CHECKING:
    from turmerictiller.forwarding.events import (
        RegistryLost,
        ServerEntryReceived,
        ServerEntryRemoved,
        ServersListed,
    )
    from turmerictiller.forwarding.model import ServerEntry
    from turmerictiller.forwarding.state import State

# Entries that expired during an outage of the registry return about two seconds after its end.
REMOVED_GRACE_MS = 2_000.0
REMOVED_GRACE_SHARE = 2 / 3  # upper bound of this grace period as a share of ``drain_ms``
# A watch may report a draining server up to one second after its drain deadline started to run.
DRAINING_GRACE_MS = 1_000.0
DRAINING_GRACE_SHARE = 1 / 3  # upper bound of this grace period as a share of ``drain_ms``
EVICTION_DELAY_MS = 30_000.0  # longer than any attempt to the server lasts
MAX_REMOVED_REVISIONS = 4_096


def on_server_entry_received(state: State, event: ServerEntryReceived) -> None:
    """Apply the entry of a server unless it is outdated."""
    _mark_registry_available(state, event.from_peer)
    _apply_entry(state, event.entry, is_from_watch=not event.from_peer)


def on_server_entry_removed(state: State, event: ServerEntryRemoved) -> None:
    """Remove a server whose entry was removed."""
    _mark_registry_available(state, event.from_peer)
    server = state.servers_by_id.get(event.server_id)
    if server is not None and event.revision > server.entry.revision:
        _remove(state, server, event.revision)


def on_servers_listed(state: State, event: ServersListed) -> None:
    """Apply a full list of entries, and remove older servers that are not listed."""
    _mark_registry_available(state, event.from_peer)
    state.servers_listed = True
    listed = {entry.id for entry in event.entries} | event.unreadable_ids
    for entry in event.entries:
        _apply_entry(state, entry, is_from_watch=False)
    for server in list(state.servers_by_id.values()):
        if server.entry.id not in listed and server.entry.revision <= event.revision:
            _remove(state, server, event.revision)


def on_registry_lost(state: State, event: RegistryLost) -> None:
    """Log an outage of the registry; the servers that were last received stay in use."""
    if not state.registry_lost:
        state.registry_lost = True
        fields = {"reason": event.reason, "servers": len(state.servers_by_id)}
        state.out.append(WriteLog("registry_lost", fields, urgent=True))


def _mark_registry_available(state: State, from_peer: bool) -> None:
    if state.registry_lost and not from_peer:
        state.registry_lost = False
        state.out.append(WriteLog("registry_regained", urgent=True))


def _apply_entry(state: State, entry: ServerEntry, is_from_watch: bool) -> None:
    """Add or update the server of an entry unless the entry is outdated.

    :param is_from_watch: whether the entry was just received by a watch; only then is the current
        time the start of draining.
    """
    if entry.revision <= state.removed_revision_by_id.get(entry.id, -1):
        return
    server = state.servers_by_id.get(entry.id)
    if server is None or server.entry.incarnation != entry.incarnation:
        server = _add(state, entry, server)
    elif entry.revision < server.entry.revision:
        return
    elif server.entry.service != entry.service or server.entry.address != entry.address:
        server = _add(state, entry, server)
    server.entry = entry
    server.removed_at = None
    server.is_replaced = False
    if entry.draining and server.draining_at is None:
        server.draining_at = state.now if is_from_watch else float("-inf")
        fields = {"server": entry.id, "service": entry.service, "revision": entry.revision}
        state.out.append(WriteLog("server_draining", fields, urgent=True))


def _add(state: State, entry: ServerEntry, previous: ServerState | None) -> ServerState:
    """Add a server without observations, in place of an earlier incarnation if there is one."""
    if previous is not None:
        del service_state(state, previous.entry.service).servers_by_id[entry.id]
    server = ServerState(entry, state.now)
    server.observed_at = state.now
    server.announcement = state.announcements_by_lifetime.get((entry.id, entry.incarnation))
    if server.announcement is not None:
        server.draining_at = server.announcement.leaving_at
    state.servers_by_id[entry.id] = server
    service_state(state, entry.service).servers_by_id[entry.id] = server
    fields = {
        "server": entry.id,
        "service": entry.service,
        "address": entry.address,
        "revision": entry.revision,
    }
    state.out.append(WriteLog("server_added", fields, urgent=True))
    return server


def _remove(state: State, server: ServerState, revision: int) -> None:
    if server.removed_at is not None:
        return
    server.removed_at = state.now
    state.timers.add(state.now + EVICTION_DELAY_MS, TimerKind.SERVER_EVICTION, server.entry.id)
    fields = {
        "server": server.entry.id,
        "service": server.entry.service,
        "revision": revision,
        "was_draining": server.entry.draining,
    }
    state.out.append(WriteLog("server_removed", fields, urgent=True))
    state.removed_revision_by_id[server.entry.id] = revision
    while len(state.removed_revision_by_id) > MAX_REMOVED_REVISIONS:
        del state.removed_revision_by_id[next(iter(state.removed_revision_by_id))]


def on_eviction_due(state: State, server_id: str) -> None:
    """Evict a server whose entry has been removed for ``EVICTION_DELAY_MS``."""
    server = state.servers_by_id.get(server_id)
    if server is None or server.removed_at is None:
        return
    if state.now - server.removed_at < EVICTION_DELAY_MS or server.sent_at_by_attempt:
        state.timers.add(state.now + EVICTION_DELAY_MS, TimerKind.SERVER_EVICTION, server_id)
        return
    del state.servers_by_id[server_id]
    service = state.services_by_name[server.entry.service]
    service.servers_by_id.pop(server_id, None)
    if not service.servers_by_id and not _is_configured(state, service.name):
        del state.services_by_name[service.name]
    state.out.append(CloseServerConnections(server.entry.address))


def _is_configured(state: State, name: str) -> bool:
    return state.configuration is not None and name in state.configuration.services_by_name


def is_last_resort(state: State, server: ServerState) -> bool | None:
    """Return whether a server is used only if there is no other; ``None`` if it is unusable."""
    drain_ms = state.settings.drain_ms
    if server.is_replaced:
        return None
    if server.removed_at is not None:
        grace_ms = min(REMOVED_GRACE_MS, REMOVED_GRACE_SHARE * drain_ms)
        is_in_grace = state.now - server.removed_at < grace_ms and server.draining_at is None
        return True if is_in_grace else None
    if server.draining_at is not None:
        grace_ms = min(DRAINING_GRACE_MS, DRAINING_GRACE_SHARE * drain_ms)
        return True if state.now - server.draining_at < grace_ms else None
    return False


def may_send(state: State, server_id: str) -> bool:
    """Return whether a server that was selected earlier may still get the request."""
    server = state.servers_by_id.get(server_id)
    if server is None or is_paused(state, server):
        return False
    return is_last_resort(state, server) is not None


def on_server_replaced(state: State, server: ServerState) -> None:
    """Remove a server whose address now belongs to another server."""
    server.is_replaced = True
    _remove(state, server, server.entry.revision)
