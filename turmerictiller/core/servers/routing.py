"""Choice of a server for a call, from own observations."""

from __future__ import annotations

from typing import TYPE_CHECKING

from turmerictiller.core.servers.limits import outstanding_limit
from turmerictiller.core.servers.outliers import in_use, readmit, review, take_probe

if TYPE_CHECKING:
    from collections.abc import Container, Sequence

    from turmerictiller.core.state import ServerState, State

FAST_WEIGHT = 0.5
SLOW_WEIGHT = 0.05
HORIZON_RATIO = 2.0
FULL_SCAN_SERVERS = 4
SLOW_START_MS = 1_000.0
SLOW_START_FACTOR = 3.0
SAME_DOMAIN_FACTOR = 1.5
REPORT_WEIGHT = 0.25
REPORT_LIFE_MS = 1_000.0


def choose_server(
    state: State,
    service: str,
    snapshot: str | None,
    exclude: Container[str] = (),
    avoid_domain: str = "",
) -> ServerState | None:
    """Return the server with the lowest expected latency, or ``None`` if none has room.

    :param avoid_domain: failure domain that is chosen only if the others are clearly slower.
    """
    candidates = [
        server
        for server in servers_with(state, service, snapshot)
        if server.id not in exclude and len(server.attempt_ids) < outstanding_limit(state, server)
    ]
    if not candidates:
        return None
    for server in candidates:
        review(state, server)
    chosen = _two_of(state, in_use(candidates))

    def cost(server: ServerState) -> tuple[float, float]:
        penalty = SAME_DOMAIN_FACTOR if server.domain == avoid_domain else 1.0
        return penalty * expected_ms(state, server), state.rng.random()

    return min(chosen, key=cost)


def choose_probe(state: State, service: str, snapshot: str | None) -> ServerState | None:
    """Return an ejected server that this call shall probe, or ``None``."""
    return take_probe(state, servers_with(state, service, snapshot))


def _two_of(state: State, servers: Sequence[ServerState]) -> Sequence[ServerState]:
    if len(servers) <= FULL_SCAN_SERVERS:
        return servers
    return state.rng.sample(servers, 2)


def servers_with(state: State, service: str, snapshot: str | None) -> list[ServerState]:
    """Return the servers that take work at the snapshot, whether they have room or not."""
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
    """Return the expected latency of one more call to the server."""
    oldest_at = next(iter(server.attempt_ids.values()), state.now)
    latency = max(latency_ms(state, server), state.now - oldest_at)
    load = 1 + len(server.attempt_ids) + _reported_load(state, server)
    return latency * load * _slow_start(state, server)


def latency_ms(state: State, server: ServerState) -> float:
    """Return the latency of answered calls: over many, or over the last few if it has changed."""
    if server.samples == 0:
        return state.services_by_name[server.service].times.quantile(0.5)
    low, high = server.slow_ms / HORIZON_RATIO, server.slow_ms * HORIZON_RATIO
    return server.slow_ms if low <= server.fast_ms <= high else server.fast_ms


def _reported_load(state: State, server: ServerState) -> float:
    age_ms = state.now - server.reported_load_at
    freshness = max(0.0, 1 - age_ms / REPORT_LIFE_MS)
    return REPORT_WEIGHT * freshness * min(1.0, max(0.0, server.reported_load))


def _slow_start(state: State, server: ServerState) -> float:
    left = max(0.0, 1 - (state.now - server.started_at) / SLOW_START_MS)
    return 1 + (SLOW_START_FACTOR - 1) * left


def observe_latency(state: State, server: ServerState, latency_ms: float) -> None:
    """Take one answered call into the estimates of a server and its service."""
    _average(server, latency_ms)
    server.samples += 1
    service = state.services_by_name[server.service]
    service.times.add(latency_ms)
    if not service.waiting:
        service.unqueued_times.add(latency_ms)
    readmit(state, server, latency_ms)


def observe_cancelled(server: ServerState, age_ms: float) -> None:
    """Take a call that was cancelled unanswered as a lower bound of the server's latency."""
    if age_ms > server.fast_ms:
        _average(server, age_ms)


def _average(server: ServerState, latency_ms: float) -> None:
    if server.samples == 0:
        server.fast_ms = server.slow_ms = latency_ms
        return
    server.fast_ms += FAST_WEIGHT * (latency_ms - server.fast_ms)
    server.slow_ms += SLOW_WEIGHT * (latency_ms - server.slow_ms)
