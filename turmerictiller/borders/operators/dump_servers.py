"""Upstream servers in the state dump."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

from turmerictiller.core.servers.limits import outstanding_limit

if TYPE_CHECKING:
    from turmerictiller.core.state import ServerState, State


def dump_servers(state: State) -> list[dict[str, Any]]:
    """Return the state of each server, sorted by service and identifier."""
    servers = sorted(state.servers_by_id.values(), key=lambda server: (server.service, server.id))
    return [_dump_server(state, server) for server in servers]


def _dump_server(state: State, server: ServerState) -> dict[str, Any]:
    oldest_sent_at = min(server.attempt_ids.values(), default=state.now)
    return {
        "id": server.id,
        "address": server.address,
        "failure_domain": server.domain,
        "service": server.service,
        "incarnation": server.incarnation,
        "reachable": server.reachable,
        "draining": server.draining,
        "snapshots": list(server.snapshots),
        "fast_ms": round(server.fast_ms, 2),
        "slow_ms": round(server.slow_ms, 2),
        "samples": server.samples,
        "failures_in_row": server.failures_in_row,
        "ejected_for_ms": round(max(0.0, server.ejected_until - state.now), 1),
        "outstanding": len(server.attempt_ids),
        "oldest_outstanding_ms": round(state.now - oldest_sent_at, 1),
        "limit": outstanding_limit(state, server),
        "status_age_ms": _age_ms(state, server.status_at),
        "reported_load": round(server.reported_load, 3),
        "reported_load_age_ms": _age_ms(state, server.reported_load_at),
    }


def _age_ms(state: State, at: float) -> float | None:
    return round(state.now - at, 1) if math.isfinite(at) else None
