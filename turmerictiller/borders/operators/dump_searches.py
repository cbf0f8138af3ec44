"""Searches in flight in the state dump."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from turmerictiller.core.state import Search, State

MAX_SHOWN = 20


def dump_searches(state: State) -> list[dict[str, Any]]:
    """Return the oldest searches in flight, with the fingerprint in place of the query."""
    oldest = heapq.nsmallest(
        MAX_SHOWN, state.searches_by_id.values(), key=lambda search: search.arrived_at
    )
    return [_dump_search(state, search) for search in oldest]


def _dump_search(state: State, search: Search) -> dict[str, Any]:
    missing_services = [
        part.service for part in search.parts_by_service.values() if not part.resolved
    ]
    return {
        "call_id": search.call_id,
        "front": search.front.name,
        "fingerprint": search.fingerprint,
        "snapshot": search.snapshot,
        "priority": search.priority.value,
        "age_ms": round(state.now - search.arrived_at, 1),
        "left_ms": round(search.deadline_at - state.now, 1),
        "hits": len(search.hits),
        "services_missing": missing_services,
    }
