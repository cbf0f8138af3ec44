"""Limit on outstanding calls per server, without coordination between instances."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from turmerictiller.core.state import Attempt, ServerState, State

DECREASE_FACTOR = 0.5
INCREASE = 0.2


def connection_share(state: State, server: ServerState) -> int:
    """Return this instance's share of the connections that a server accepts."""
    if state.note is None:
        return 1
    service = state.note.configuration.services_by_name.get(server.service)
    if service is None:
        return 1
    usable = service.connections * state.settings.connection_margin
    return max(1, int(usable / live_instances(state)))


def live_instances(state: State) -> int:
    """Return the number of entry instances believed live, this one included.

    Silent instances count until they are known to have ended, so that a share is never too large.
    """
    return state.peers.live_count


def outstanding_limit(state: State, server: ServerState) -> int:
    """Return how many calls this instance may have outstanding at a server."""
    return max(1, int(min(_limit(state, server), connection_share(state, server))))


def _limit(state: State, server: ServerState) -> float:
    return server.limit or float(connection_share(state, server))


def on_shed(state: State, server: ServerState, attempt: Attempt) -> None:
    """Lower the limit of a server that shed a call, once per lot of calls sent before."""
    if attempt.sent_at < server.limit_lowered_at:
        return
    server.limit_lowered_at = state.now
    server.limit = max(1.0, _limit(state, server) * DECREASE_FACTOR)


def on_accepted(state: State, server: ServerState) -> None:
    """Raise a lowered limit by one per as many answers as the limit allows calls."""
    if server.limit:
        raised = server.limit + INCREASE / server.limit
        server.limit = min(raised, float(connection_share(state, server)))
