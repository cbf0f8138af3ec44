"""Limit on unanswered attempts per server, from own observations and without coordination.

A server works on a few requests at once and queues the rest. Every instance lowers its limit when
answers take much longer than usual and raises it again slowly, so that together they keep the queue
short whatever their number.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from turmerictiller.forwarding.fleet_size import instance_count

if TYPE_CHECKING:
    from turmerictiller.forwarding.state import RouteTimes, ServerState, ServiceState, State

# Part of the connections of a server that all instances use; some are open for a moment longer.
CONNECTIONS_IN_USE = 0.9
MIN_CONNECTIONS = 1
# Noise makes a server 2.5 times slower for a while; longer answers come from a queue or a fault.
CONGESTED_FACTOR = 3.0
DECREASE_FACTOR = 0.7
INCREASE_STEP = 0.25
MIN_LIMIT = 1.0


def connection_limit(state: State, service: ServiceState) -> int:
    """Return how many connections to one server this instance may use."""
    configuration = state.configuration
    known = configuration.services_by_name.get(service.name) if configuration else None
    if known is None:
        return MIN_CONNECTIONS
    share = CONNECTIONS_IN_USE * known.max_connections / instance_count(state)
    return max(MIN_CONNECTIONS, round(share))


def has_capacity(server: ServerState, most: int, beyond_limit: bool = False) -> bool:
    """Return whether one more attempt may go to a server with this connection limit."""
    allowed = most if beyond_limit or not server.limit else min(most, int(server.limit))
    return len(server.outstanding) < allowed


def adapt_limit(
    state: State, server: ServerState, service: ServiceState, ms: float, times: RouteTimes
) -> None:
    """Adapt the limit to the time of an answer."""
    most = connection_limit(state, service)
    if times.median_ms > 0 and ms > CONGESTED_FACTOR * times.median_ms:
        lower_limit(state, server, most, ms)
    elif server.limit:
        server.limit = min(most, server.limit + INCREASE_STEP)


def lower_limit(state: State, server: ServerState, most: int, ms: float = 0.0) -> None:
    """Lower the limit, at most once for the attempts that were sent before the last time."""
    if state.now - server.limit_lowered_at < ms:
        return
    server.limit_lowered_at = state.now
    server.limit = max(MIN_LIMIT, DECREASE_FACTOR * min(most, server.limit or most))
