"""Limit on unanswered attempts per server, from own observations and without coordination.

A server works on a few requests at once and queues the rest. Every instance lowers its limit when
answers take much longer than usual and raises it again slowly, so that together they keep the queue
short whatever their number.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from turmerictiller.forwarding.fleet_size import instances

if TYPE_CHECKING:
    from turmerictiller.forwarding.state import RouteTimes, ServerState, ServiceState, State

# Part of the connections of a server that all instances use; some are open for a moment longer.
CONNECTIONS_IN_USE = 0.9
MIN_CONNECTIONS = 1
# Noise makes a server 2.5 times slower for a while; longer answers come from a queue or a fault.
CONGESTED_FACTOR = 3.0
CUT_FACTOR = 0.7
RAISE_STEP = 0.25
LEAST_LIMIT = 1.0


def connection_limit(state: State, service: ServiceState) -> int:
    """Return how many connections to one server this instance may use."""
    configuration = state.configuration
    known = configuration.services_by_name.get(service.name) if configuration else None
    if known is None:
        return MIN_CONNECTIONS
    share = CONNECTIONS_IN_USE * known.max_connections / instances(state)
    return max(MIN_CONNECTIONS, round(share))


def has_room(server: ServerState, most: int, beyond_limit: bool = False) -> bool:
    """Return whether one more attempt may go to a server with this connection limit."""
    allowed = most if beyond_limit or not server.limit else min(most, int(server.limit))
    return len(server.outstanding) < allowed


def raise_or_cut(
    state: State, server: ServerState, service: ServiceState, ms: float, times: RouteTimes
) -> None:
    """Adapt the limit to the time of an answer."""
    most = connection_limit(state, service)
    if times.typical_ms > 0 and ms > CONGESTED_FACTOR * times.typical_ms:
        cut(state, server, most, ms)
    elif server.limit:
        server.limit = min(most, server.limit + RAISE_STEP)


def cut(state: State, server: ServerState, most: int, ms: float = 0.0) -> None:
    """Lower the limit, at most once for the attempts that were sent before the last time."""
    if state.now - server.limit_cut_at < ms:
        return
    server.limit_cut_at = state.now
    server.limit = max(LEAST_LIMIT, CUT_FACTOR * min(most, server.limit or most))
