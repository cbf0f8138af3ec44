"""Choice of a server for a call, from own observations."""

from __future__ import annotations

from typing import TYPE_CHECKING

from turmerictiller.limits import outstanding_limit

if TYPE_CHECKING:
    from collections.abc import Container

    from turmerictiller.state import ServerState, State

FAST_WEIGHT = 0.3
SLOW_WEIGHT = 0.02


def choose_server(
    state: State, service: str, snapshot: str | None, exclude: Container[str] = ()
) -> ServerState | None:
    """Return the server with the lowest expected latency, or ``None`` if none has room."""
    candidates = [
        server
        for server in servers_with(state, service, snapshot)
        if server.id not in exclude and len(server.attempt_ids) < outstanding_limit(state, server)
    ]
    if not candidates:
        return None
    return min(candidates, key=lambda server: (expected_ms(state, server), state.rng.random()))


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
    oldest = min(server.attempt_ids.values(), default=state.now)
    latency = max(server.fast_ms, state.now - oldest)
    return latency * (1 + len(server.attempt_ids))


def observe_latency(server: ServerState, latency_ms: float) -> None:
    """Take one answered call into the estimates of a server."""
    if server.samples == 0:
        server.fast_ms = server.slow_ms = latency_ms
    else:
        server.fast_ms += FAST_WEIGHT * (latency_ms - server.fast_ms)
        server.slow_ms += SLOW_WEIGHT * (latency_ms - server.slow_ms)
    server.samples += 1
