"""Server selection by expected latency, from the observations of this instance."""

from __future__ import annotations

from typing import TYPE_CHECKING

from turmerictiller.core.servers.limits import outstanding_limit
from turmerictiller.core.servers.outliers import (
    choose_due_probe,
    eject_if_outlier,
    exclude_ejected,
    readmit_if_recovered,
)

if TYPE_CHECKING:
    from collections.abc import Container, Sequence

    from turmerictiller.core.state import ServerState, State

FAST_AVERAGE_WEIGHT = 0.5
SLOW_AVERAGE_WEIGHT = 0.05
DIVERGENCE_RATIO = 2.0
FULL_SCAN_SERVERS = 4
SLOW_START_MS = 1_000.0
SLOW_START_FACTOR = 3.0
SAME_DOMAIN_FACTOR = 1.5
REPORT_WEIGHT = 0.25
MAX_REPORT_AGE_MS = 1_000.0


def choose_server(
    state: State,
    service: str,
    snapshot: str | None,
    exclude: Container[str] = (),
    avoid_domain: str = "",
) -> ServerState | None:
    """Return the server with the lowest expected latency, or ``None`` if none has capacity.

    :param exclude: ids of servers that must not be chosen.
    :param avoid_domain: failure domain whose servers' expected latency is multiplied by
        ``SAME_DOMAIN_FACTOR``.
    """
    candidates = [
        server
        for server in eligible_servers(state, service, snapshot)
        if server.id not in exclude and len(server.attempt_ids) < outstanding_limit(state, server)
    ]
    if not candidates:
        return None
    for server in candidates:
        eject_if_outlier(state, server)
    compared = _sample_candidates(state, exclude_ejected(candidates))

    def cost(server: ServerState) -> tuple[float, float]:
        penalty = SAME_DOMAIN_FACTOR if server.domain == avoid_domain else 1.0
        return penalty * expected_ms(state, server), state.rng.random()

    return min(compared, key=cost)


def choose_probe(state: State, service: str, snapshot: str | None) -> ServerState | None:
    """Return an ejected server that the next call should probe, or ``None``."""
    return choose_due_probe(state, eligible_servers(state, service, snapshot))


def _sample_candidates(state: State, servers: Sequence[ServerState]) -> Sequence[ServerState]:
    if len(servers) <= FULL_SCAN_SERVERS:
        return servers
    return state.rng.sample(servers, 2)


def eligible_servers(state: State, service: str, snapshot: str | None) -> list[ServerState]:
    """Return the reachable, non-draining servers that serve the snapshot, regardless of load.

    :param snapshot: ``None`` to include servers of any snapshot.
    """
    service_state = state.services_by_name.get(service)
    if service_state is None:
        return []
    servers = [state.servers_by_id[server_id] for server_id in service_state.server_ids]
    return [
        server
        for server in servers
        if server.reachable
        and not server.draining
        and (snapshot is None or snapshot in server.snapshots)
    ]


def expected_ms(state: State, server: ServerState) -> float:
    """Return the expected latency of one more call to the server in ms.

    The age of its oldest outstanding call is a lower bound of the latency. The latency is scaled by
    the outstanding calls, the reported load and the slow start after a restart.
    """
    oldest_at = next(iter(server.attempt_ids.values()), state.now)
    latency = max(latency_ms(state, server), state.now - oldest_at)
    load = 1 + len(server.attempt_ids) + _reported_load(state, server)
    return latency * load * _slow_start_factor(state, server)


def latency_ms(state: State, server: ServerState) -> float:
    """Return the average latency of answered calls in ms.

    This is the slow moving average, or the fast one if the two differ by more than
    ``DIVERGENCE_RATIO``. A server without answers has the median latency of its service.
    """
    if server.samples == 0:
        return state.services_by_name[server.service].times.quantile(0.5)
    low, high = server.slow_ms / DIVERGENCE_RATIO, server.slow_ms * DIVERGENCE_RATIO
    return server.slow_ms if low <= server.fast_ms <= high else server.fast_ms


def _reported_load(state: State, server: ServerState) -> float:
    age_ms = state.now - server.reported_load_at
    freshness = max(0.0, 1 - age_ms / MAX_REPORT_AGE_MS)
    return REPORT_WEIGHT * freshness * min(1.0, max(0.0, server.reported_load))


def _slow_start_factor(state: State, server: ServerState) -> float:
    remaining_share = max(0.0, 1 - (state.now - server.started_at) / SLOW_START_MS)
    return 1 + (SLOW_START_FACTOR - 1) * remaining_share


def observe_latency(state: State, server: ServerState, latency_ms: float) -> None:
    """Update the latency estimates of a server and its service with an answered call."""
    _update_averages(server, latency_ms)
    server.samples += 1
    service = state.services_by_name[server.service]
    service.times.add(latency_ms)
    if not service.waiting:
        service.unqueued_times.add(latency_ms)
    readmit_if_recovered(state, server, latency_ms)


def observe_cancelled(server: ServerState, age_ms: float) -> None:
    """Update the latency estimate with a cancelled call, whose age is a lower bound."""
    if age_ms > server.fast_ms:
        _update_averages(server, age_ms)


def _update_averages(server: ServerState, latency_ms: float) -> None:
    if server.samples == 0:
        server.fast_ms = server.slow_ms = latency_ms
        return
    server.fast_ms += FAST_AVERAGE_WEIGHT * (latency_ms - server.fast_ms)
    server.slow_ms += SLOW_AVERAGE_WEIGHT * (latency_ms - server.slow_ms)
