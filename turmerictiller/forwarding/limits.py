"""Adaptive concurrency limit per server: additive increase, multiplicative decrease.

A server runs a few requests at once and queues the others. Every instance lowers its limit when
answers take much longer than the median and raises it again slowly, from its own observations and
without coordination. Together they keep the queue short, whatever their number.

At the crest of demand on a shard with a single server, a search beyond the limit would be late, and
make all searches behind it late.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from turmerictiller.forwarding.fleet_size import instance_count

if TYPE_CHECKING:
    from turmerictiller.forwarding.state import RouteTimes, ServerState, ServiceState, State

# Share of the connections of a server that all instances together use; the server still counts
# closing ones for a moment.
USABLE_CONNECTIONS_SHARE = 0.9
MIN_CONNECTIONS = 1
# An answer that takes longer has waited in a queue for as long as it ran. Servers that are slower by
# as much for a while have less capacity as well.
CONGESTED_FACTOR = 2.0
DECREASE_FACTOR = 0.7
INCREASE_STEP = 0.25
MIN_LIMIT = 1.0


def connection_share(state: State, service: ServiceState) -> int:
    """Return this instance's equal share of the connections that a server accepts, at least 1."""
    configuration = state.configuration
    configured = configuration.services_by_name.get(service.name) if configuration else None
    if configured is None:
        return MIN_CONNECTIONS
    share = USABLE_CONNECTIONS_SHARE * configured.max_connections / instance_count(state)
    return max(MIN_CONNECTIONS, round(share))


def has_capacity(server: ServerState, max_in_flight: int) -> bool:
    """Return whether one more attempt may be sent to a server.

    :param max_in_flight: this instance's share of the connections of the server.
    """
    allowed = min(max_in_flight, int(server.limit)) if server.limit else max_in_flight
    return len(server.sent_at_by_attempt) < allowed


def adapt_limit(
    state: State, server: ServerState, service: ServiceState, ms: float, times: RouteTimes
) -> None:
    """Adapt the limit to the time of an answer."""
    max_in_flight = connection_share(state, service)
    if times.median_ms > 0 and ms > CONGESTED_FACTOR * times.median_ms:
        lower_limit(state, server, max_in_flight, ms)
    elif server.limit:
        server.limit = min(max_in_flight, server.limit + INCREASE_STEP)


def lower_limit(state: State, server: ServerState, max_in_flight: int, ms: float = 0.0) -> None:
    """Lower the limit, unless it was lowered after the attempt was sent.

    :param ms: answer time of the attempt; 0 always lowers the limit.
    """
    if state.now - server.limit_lowered_at < ms:
        return
    server.limit_lowered_at = state.now
    server.limit = max(
        MIN_LIMIT, DECREASE_FACTOR * min(max_in_flight, server.limit or max_in_flight)
    )
