"""Descriptions of the state of servers and requests for log lines."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from turmerictiller.forwarding.announcements import is_paused
from turmerictiller.forwarding.limits import connection_share, has_capacity
from turmerictiller.forwarding.shared_slowness import combined_slowness

if TYPE_CHECKING:
    from turmerictiller.forwarding.state import Part, Request, ServerState, State

MAX_SERVERS = 6  # per part in one line


def describe_missing(state: State, request: Request) -> list[dict[str, object]]:
    """Return why parts of a request are missing, with the state of their servers.

    Parts that were not sent because other parts could not be served are omitted.
    """
    return [
        {
            "service": part.service,
            "reason": part.failure_reason or "unanswered",
            "asked": part.tried_server_ids,
            "servers": _describe_servers(state, part),
        }
        for part in request.parts
        if part.answer is None and (part.failure_reason or part.tried_server_ids)
    ]


def describe_late_part(state: State, request: Request) -> dict[str, object]:
    """Return the part that a late answer waited for, and the load of its server when it was sent.

    Empty if the answer waited for no part.
    """
    part = request.last_answered
    if part is None or part.answered_by is None or part.answered_at < state.now:
        return {}
    attempt = part.answered_by
    return {
        "service": part.service,
        "server": attempt.server_id,
        "sent_after_ms": round(attempt.sent_at - request.arrived_at, 1),
        "ms": round(state.now - attempt.sent_at, 1),
        "in_flight": attempt.in_flight,
        "oldest_ms": round(attempt.oldest_ms, 1),
    }


def _describe_servers(state: State, part: Part) -> dict[str, str]:
    service = state.services_by_name.get(part.service)
    servers = list(service.servers_by_id.values()) if service else []
    return {server.entry.id: describe_server(state, server) for server in servers[:MAX_SERVERS]}


def describe_server(state: State, server: ServerState) -> str:
    """Return the main reason why a server may or may not get a request, with its age."""
    now = state.now
    if server.is_replaced:
        return "replaced by another server at its address"
    if server.removed_at is not None:
        return f"entry removed {now - server.removed_at:.0f} ms ago"
    if server.announcement is not None and server.announcement.leaving_at is not None:
        return f"announced its shutdown {now - server.announcement.leaving_at:.0f} ms ago"
    if server.draining_at is not None:
        since = now - server.draining_at
        return f"draining for {since:.0f} ms" if math.isfinite(since) else "draining"
    if is_paused(state, server):
        left_ms = server.announcement.paused_until - now if server.announcement else 0.0
        return f"paused for another {left_ms:.0f} ms"
    if now < server.ejected_until:
        kind = "unreachable" if server.unreachable else "failing"
        failed_ms = now - server.failed_at
        return f"{kind}, {server.consecutive_failures} failures, the last {failed_ms:.0f} ms ago"
    service = state.services_by_name[server.entry.service]
    max_in_flight = connection_share(state, service)
    if not has_capacity(server, max_in_flight):
        oldest_ms = now - next(iter(server.sent_at_by_attempt.values()))
        return (
            f"no capacity, {len(server.sent_at_by_attempt)} in flight, "
            f"the oldest for {oldest_ms:.0f} ms"
        )
    slowness = combined_slowness(state, server, server.slowness)
    if slowness > server.slowness:
        age_ms = now - server.shared_slow_weight_at
        return f"usable, {slowness:.1f} times the median by gossip from {age_ms:.0f} ms ago"
    return f"usable, {slowness:.1f} times the median"
