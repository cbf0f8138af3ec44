"""Adaptive concurrency limit per server: additive increase, multiplicative decrease.

Instances adapt their limits without coordination.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from turmerictiller.core.state import Attempt, ServerState, State

DECREASE_FACTOR = 0.5
INCREASE_STEP = 0.2


def connection_share(state: State, server: ServerState) -> int:
    """Return this instance's equal share of the connections that a server accepts, at least 1."""
    if state.note is None:
        return 1
    service = state.note.configuration.services_by_name.get(server.service)
    if service is None:
        return 1
    usable_connections = service.connections * state.settings.connection_margin
    return max(1, int(usable_connections / live_instances(state)))


def live_instances(state: State) -> int:
    """Return the number of live entry instances, including this one.

    Unresponsive instances count until they are known to have ended, so that a connection share is
    never too large.
    """
    return state.peers.live_count


def outstanding_limit(state: State, server: ServerState) -> int:
    """Return the maximum number of outstanding calls from this instance to a server."""
    return max(1, int(min(_current_limit(state, server), connection_share(state, server))))


def _current_limit(state: State, server: ServerState) -> float:
    return server.limit or float(connection_share(state, server))


def on_shed(state: State, server: ServerState, attempt: Attempt) -> None:
    """Lower the limit of a server that shed a call.

    Calls that were sent before the last decrease do not lower the limit again.
    """
    if attempt.sent_at < server.limit_lowered_at:
        return
    server.limit_lowered_at = state.now
    server.limit = max(1.0, _current_limit(state, server) * DECREASE_FACTOR)


def on_accepted(state: State, server: ServerState) -> None:
    """Raise a lowered limit by ``INCREASE_STEP`` per as many answers as the limit allows calls."""
    if server.limit:
        raised_limit = server.limit + INCREASE_STEP / server.limit
        server.limit = min(raised_limit, float(connection_share(state, server)))
