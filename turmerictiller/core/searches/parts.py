"""Parts of a search: sent to a server, waiting for one, or given up."""

from __future__ import annotations

from typing import TYPE_CHECKING

from turmerictiller.core.searches.admission import enqueue
from turmerictiller.core.searches.hedging import plan_hedge
from turmerictiller.core.servers.attempts import budget_of, start_attempt
from turmerictiller.core.servers.routing import servers_with

if TYPE_CHECKING:
    from turmerictiller.core.state import Search, ServicePart, State


def start_or_wait(state: State, search: Search, part: ServicePart, reason: str) -> None:
    """Send a part, let it wait for a server, or give it up for the reason."""
    part.missing_reason = reason
    if start_part(state, search, part):
        return
    if not _has_untried_server(state, search, part):
        part.missing_reason = reason if part.tried_server_ids else "unreachable"
        part.resolved = True
    elif not enqueue(state, search, part):
        part.resolved = True


def start_part(state: State, search: Search, part: ServicePart) -> bool:
    """Send a part to a server and plan its hedge; return whether a server had room."""
    if not start_attempt(state, search, part):
        return False
    part.missing_reason = "timed_out"
    plan_hedge(state, search, part)
    return True


def _has_untried_server(state: State, search: Search, part: ServicePart) -> bool:
    servers = servers_with(state, part.service, search.snapshot)
    return any(server.id not in part.tried_server_ids for server in servers)


def serve_part(state: State, search: Search, part: ServicePart) -> bool:
    """Send a waiting part or give it up; return whether it has left the queue."""
    typical_ms = state.services_by_name[part.service].times.quantile(0.5)
    if budget_of(state, search) >= typical_ms:
        if start_part(state, search, part):
            return True
        if _has_untried_server(state, search, part):
            return False
        part.missing_reason = "unreachable"
    part.resolved = True
    return True
