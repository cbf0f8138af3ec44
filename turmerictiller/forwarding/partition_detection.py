"""Detection of network partitions between this instance and other failure domains.

An instance behind a partition still gets the callers of its own failure domain. If the servers
there cannot serve them alone, the load balancer should send them to instances of other domains.
The instance therefore reports itself as not ready, and probes single connections until the
partition is over.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from turmerictiller.forwarding.contention import close_idle_connections
from turmerictiller.forwarding.effects import ProbeConnection, WriteLog
from turmerictiller.forwarding.overload import min_parts
from turmerictiller.forwarding.servers import is_last_resort
from turmerictiller.forwarding.state import TimerKind

if TYPE_CHECKING:
    from turmerictiller.forwarding.events import ConnectionProbed
    from turmerictiller.forwarding.model import Route
    from turmerictiller.forwarding.state import ServerState, State

PARTITION_CHECK_INTERVAL_MS = 250.0
# Failures count for a few times the longest time to open a connection. Answers count for less,
# because servers that answered before a partition get no further attempts during it.
FAILURE_EVIDENCE_MS = 2_000.0
ANSWER_EVIDENCE_MS = 500.0
MIN_SERVERS = 4
MIN_FAILED_SHARE = 0.8


def start_partition_checks(state: State) -> None:
    """Start the periodic partition checks once there is a configuration."""
    if not state.partition_checks_started and state.configuration is not None:
        state.partition_checks_started = True
        state.timers.add(state.now + PARTITION_CHECK_INTERVAL_MS, TimerKind.PARTITION_CHECK)


def on_partition_check_due(state: State, key: None) -> None:
    """Check whether this instance is partitioned, or probe whether it still is."""
    state.timers.add(state.now + PARTITION_CHECK_INTERVAL_MS, TimerKind.PARTITION_CHECK)
    close_idle_connections(state)
    if state.is_partitioned:
        _probe_random_server(state)
    elif _detects_partition(state):
        unserved = [route.name for route in _routes_in_use(state) if not _can_serve(state, route)]
        if unserved:
            state.is_partitioned = True
            state.counters["isolation.begun"] += 1
            state.out.append(WriteLog("cut_off", {"routes": unserved[:8]}, urgent=True))


def on_connection_probed(state: State, event: ConnectionProbed) -> None:
    """End the partition when a probed server accepts a connection."""
    server = state.servers_by_id.get(event.server_id)
    if server is None or event.failure is not None or not state.is_partitioned:
        return
    server.unreachable = False
    server.consecutive_failures = 0
    server.ejected_until = 0.0
    server.answered_at = state.now
    state.is_partitioned = False
    fields = {"server": event.server_id}
    state.out.append(WriteLog("reconnected", fields, urgent=True))


def _servers_of_other_domains(state: State) -> list[ServerState]:
    own_domain = state.settings.failure_domain
    return [
        server
        for server in state.servers_by_id.values()
        if server.entry.domain != own_domain and is_last_resort(state, server) is not None
    ]


def _detects_partition(state: State) -> bool:
    failed = answered = 0
    for server in _servers_of_other_domains(state):
        if server.failed_at > server.answered_at:
            failed += state.now - server.failed_at < FAILURE_EVIDENCE_MS
        else:
            answered += state.now - server.answered_at < ANSWER_EVIDENCE_MS
    observed = failed + answered
    return observed >= MIN_SERVERS and failed >= MIN_FAILED_SHARE * observed


def _routes_in_use(state: State) -> list[Route]:
    if state.configuration is None:
        return []
    return [
        route
        for by_prefix in state.configuration.routes_by_host.values()
        for route in by_prefix.values()
        if route.name in state.times_by_route
    ]


def _can_serve(state: State, route: Route) -> bool:
    reachable = sum(_has_reachable(state, name) for name in route.services)
    if route.shards:
        return reachable >= min_parts(route.min_share, len(route.shards))
    return reachable > 0


def _has_reachable(state: State, name: str) -> bool:
    service = state.services_by_name.get(name)
    return service is not None and any(
        server.failed_at <= server.answered_at or not server.consecutive_failures
        for server in service.servers_by_id.values()
        if is_last_resort(state, server) is not None
    )


def _probe_random_server(state: State) -> None:
    servers = _servers_of_other_domains(state)
    if not servers:
        # The unreachable servers were removed, so there is no evidence of a partition any more.
        state.is_partitioned = False
        return
    server = state.rng.choice(servers)
    state.out.append(ProbeConnection(server.entry.id, server.entry.address))
