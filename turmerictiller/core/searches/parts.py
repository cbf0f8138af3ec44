"""Dispatch of search parts: send, queue until a server has capacity, or resolve as missing."""

from __future__ import annotations

from typing import TYPE_CHECKING

from turmerictiller.core.searches.admission import enqueue_part
from turmerictiller.core.searches.hedging import plan_hedge
from turmerictiller.core.servers.attempts import remaining_budget_ms, start_attempt
from turmerictiller.core.servers.server_selection import eligible_servers

if TYPE_CHECKING:
    from turmerictiller.core.state import Search, ServicePart, State


def send_or_enqueue(state: State, search: Search, part: ServicePart, reason: str) -> None:
    """Send a part or queue it; resolve it as missing if no server is left or the queue is full.

    :param reason: missing reason of the part until it is sent.
    """
    part.missing_reason = reason
    if send_part(state, search, part):
        return
    if not _has_untried_server(state, search, part):
        part.missing_reason = reason if part.tried_server_ids else "unreachable"
        part.resolved = True
    elif not enqueue_part(state, search, part):
        part.resolved = True


def send_part(state: State, search: Search, part: ServicePart) -> bool:
    """Send a part to a server and schedule its hedge; return whether one had capacity."""
    if not start_attempt(state, search, part):
        return False
    part.missing_reason = "timed_out"
    plan_hedge(state, search, part)
    return True


def _has_untried_server(state: State, search: Search, part: ServicePart) -> bool:
    servers = eligible_servers(state, part.service, search.snapshot)
    return any(server.id not in part.tried_server_ids for server in servers)


def dispatch_queued_part(state: State, search: Search, part: ServicePart) -> bool:
    """Send a queued part, or resolve it as missing; return whether it should leave the queue.

    A part is not sent if its remaining budget is below the median latency of its service.
    """
    median_ms = state.services_by_name[part.service].times.quantile(0.5)
    if remaining_budget_ms(state, search) >= median_ms:
        if send_part(state, search, part):
            return True
        if _has_untried_server(state, search, part):
            return False
        part.missing_reason = "unreachable"
    part.resolved = True
    return True
