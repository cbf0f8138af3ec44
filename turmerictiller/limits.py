"""Limit on outstanding calls per server, without coordination between instances."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from turmerictiller.state import ServerState, State


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
    return connection_share(state, server)
