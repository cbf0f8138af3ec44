"""Validation of search requests and creation of ``Search`` objects."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from turmerictiller.core.fronts import Priority
from turmerictiller.core.searches.merge import decode_cursor
from turmerictiller.core.servers.quarantine import remaining_quarantine_ms
from turmerictiller.core.servers.snapshot import choose_snapshot, shards_of
from turmerictiller.core.state import Search, ServicePart, State
from turmerictiller.errors import CursorError, Ran, Refusal, RefusalType

if TYPE_CHECKING:
    from turmerictiller.core.events import SearchArrived
    from turmerictiller.core.fronts import Front

RETRY_AFTER_MS = 200
MAX_QUERY_CHARS = 4_096


def fingerprint_of(front: str, query: str) -> str:
    """Return a digest of front and query that identifies repeats of a search."""
    return hashlib.blake2b(f"{front}\0{query}".encode(), digest_size=12).hexdigest()


def prepare_search(state: State, event: SearchArrived) -> Search | Refusal:
    """Validate a search request; return the new search or a refusal."""
    if state.note is None:
        return Refusal(RefusalType.NO_NOTE, "no release note is in force", Ran.NO, RETRY_AFTER_MS)
    front = state.note.configuration.fronts_by_name.get(event.front)
    if front is None:
        return Refusal(RefusalType.UNKNOWN_FRONT, "there is no such search front")
    error_message = _check_bounds(front, event)
    if error_message:
        return Refusal(RefusalType.BAD_REQUEST, error_message)
    if len(state.searches_by_id) >= state.settings.max_searches:
        return Refusal(
            RefusalType.OVERLOADED, "too many searches are in flight", Ran.NO, RETRY_AFTER_MS
        )
    return _new_search(state, front, event)


def _check_bounds(front: Front, event: SearchArrived) -> str:
    if not event.query or len(event.query) > MAX_QUERY_CHARS:
        return f"query must have 1 to {MAX_QUERY_CHARS} characters"
    if event.k is not None and not 1 <= event.k <= front.k_max:
        return f"k must be from 1 to {front.k_max}"
    if event.deadline_ms is not None and not 1 <= event.deadline_ms <= front.deadline_max_ms:
        return f"deadline_ms must be from 1 to {front.deadline_max_ms:g}"
    if event.priority is not None and event.priority not in [item.value for item in Priority]:
        return "priority must be interactive or batch"
    return ""


def _new_search(state: State, front: Front, event: SearchArrived) -> Search | Refusal:
    fingerprint = fingerprint_of(front.name, event.query)
    if remaining_quarantine_ms(state, fingerprint) is not None:
        return quarantine_refusal(state, fingerprint, Ran.NO)
    cursor = None
    if event.cursor is not None:
        try:
            cursor = decode_cursor(event.cursor)
        except CursorError as error:
            return Refusal(RefusalType.BAD_CURSOR, str(error))
        if cursor.fingerprint != fingerprint:
            return Refusal(RefusalType.BAD_CURSOR, "the cursor belongs to another search")
    snapshot = cursor.snapshot if cursor else choose_snapshot(state, front)
    if snapshot is None or snapshot not in state.shard_maps_by_snapshot:
        return Refusal(
            RefusalType.NO_SNAPSHOT, "no snapshot of the index is served", Ran.NO, RETRY_AFTER_MS
        )
    priority = front.priority if event.priority is None else Priority(event.priority)
    if front.priority is Priority.BATCH:
        priority = Priority.BATCH
    search = Search(
        call_id=event.call_id,
        front=front,
        query=event.query,
        k=min(event.k or 10, front.k_max),
        arrived_at=event.at,
        deadline_at=event.at + (event.deadline_ms or front.deadline_default_ms),
        priority=priority,
        caller=event.caller,
        snapshot=snapshot,
        fingerprint=fingerprint,
        after=cursor.after if cursor else None,
    )
    set_parts(state, search)
    return search


def set_parts(state: State, search: Search) -> None:
    """Create one part per service from the shard map of the search's snapshot."""
    shards = shards_of(state, search.snapshot, search.front.services_by_name)
    search.parts_by_service = {
        name: ServicePart(name, service_shards)
        for name, service_shards in shards.items()
        if service_shards
    }


def quarantine_refusal(state: State, fingerprint: str, ran: Ran) -> Refusal:
    """Return the refusal of a quarantined search; its retry delay is the remaining quarantine."""
    remaining_ms = remaining_quarantine_ms(state, fingerprint) or 0.0
    return Refusal(
        RefusalType.QUARANTINED,
        "this request has crashed upstreams and is not run again for now",
        ran,
        int(remaining_ms),
    )
