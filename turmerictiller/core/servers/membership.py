"""Membership of upstream servers and peers: configuration, health checks and draining."""

from __future__ import annotations

from typing import TYPE_CHECKING

from turmerictiller.core.effects import PollHealth, ResetConnections
from turmerictiller.core.peers import peer_membership
from turmerictiller.core.servers.silent_connections import on_poll_answered
from turmerictiller.core.servers.snapshot import request_missing_maps
from turmerictiller.core.state import ServerState, ServiceState, State, TimerKind

if TYPE_CHECKING:
    from turmerictiller.core.events import (
        HealthFailed,
        HealthReported,
        InstanceListSeen,
        UpstreamStatus,
    )
    from turmerictiller.core.fronts import Configuration, Server

MAX_DRAINING_INCARNATIONS = 4
MAX_SNAPSHOT_CHARS = 64


def apply_configuration(state: State, configuration: Configuration) -> None:
    """Add and remove servers and services to match the configuration.

    A server that keeps its id, address and service keeps its state. The connections to all other
    previous servers are reset.
    """
    servers_by_id: dict[str, ServerState] = {}
    services_by_name: dict[str, ServiceState] = {}
    for service in configuration.services_by_name.values():
        for server in service.servers_by_id.values():
            servers_by_id[server.id] = _reuse_or_add_server(state, server, service.name)
        existing = state.services_by_name.get(service.name)
        service_state = existing or ServiceState(service.name, ())
        service_state.server_ids = tuple(service.servers_by_id)
        services_by_name[service.name] = service_state
    for previous in state.servers_by_id.values():
        if servers_by_id.get(previous.id) is not previous:
            state.out.append(ResetConnections(previous.id, previous.address))
    state.servers_by_id = servers_by_id
    state.services_by_name = services_by_name


def _reuse_or_add_server(state: State, server: Server, service: str) -> ServerState:
    existing = state.servers_by_id.get(server.id)
    if existing is not None and existing.address == server.address and existing.service == service:
        existing.domain = server.domain
        return existing
    added = ServerState(server.id, server.address, server.domain, service)
    state.timers.add(state.now, TimerKind.HEALTH_POLL, server.id)
    return added


def on_health_poll(state: State, server_id: str) -> None:
    """Poll the health of a server unless a recent answer carried its status."""
    server = state.servers_by_id.get(server_id)
    # If a note replaces a server under the same id, the old timer still fires and is ignored here.
    if server is None or state.now < server.next_poll_at:
        return
    interval = state.settings.health_interval_ms
    server.next_poll_at = state.now + interval
    state.timers.add(server.next_poll_at, TimerKind.HEALTH_POLL, server_id)
    if state.now - server.status_at >= interval:
        state.out.append(PollHealth(server.id, server.address))


def on_health_reported(state: State, event: HealthReported) -> None:
    """Update the status of a server that answered a health poll."""
    observe_status(state, event.server_id, event.status)
    server = state.servers_by_id.get(event.server_id)
    if server is not None:
        on_poll_answered(state, server)


def on_health_failed(state: State, event: HealthFailed) -> None:
    """Mark a server as unreachable if it answered neither polls nor calls for an interval.

    Outstanding calls do not count as liveness: calls to a partitioned server remain unanswered.
    """
    server = state.servers_by_id.get(event.server_id)
    if server is not None and state.now - server.status_at >= state.settings.health_interval_ms:
        server.reachable = False
        state.freed_services[server.service] = None


def reset_estimates(state: State, server: ServerState) -> None:
    """Reset the latency estimates, failures and ejection of a restarted server."""
    server.samples = server.failures_in_row = 0
    server.ejected = False
    server.started_at = state.now


def observe_status(state: State, server_id: str, status: UpstreamStatus | None) -> None:
    """Update a server from the status that it reported."""
    server = state.servers_by_id.get(server_id)
    if server is None or status is None:
        return
    server.reachable = True
    state.freed_services[server.service] = None
    server.status_at = state.now
    if server.incarnation != status.incarnation:
        if server.incarnation:
            reset_estimates(state, server)
        server.incarnation = status.incarnation
        server.draining = status.incarnation in server.draining_incarnations
    if status.draining:
        mark_draining(state, server_id, status.incarnation)
    server.snapshots = _limit_snapshots(state, status.snapshots)
    server.reported_load = status.load
    server.reported_load_at = state.now - status.age_ms
    request_missing_maps(state, server)


def _limit_snapshots(state: State, snapshots: tuple[str, ...]) -> tuple[str, ...]:
    # Besides its size, a version of thousands of digits makes int() raise ValueError.
    names = [name for name in snapshots if len(name) <= MAX_SNAPSHOT_CHARS]
    return tuple(names[: state.settings.max_snapshots])


def mark_draining(state: State, server_id: str, incarnation: str) -> None:
    """Send no new work to one incarnation of a server; other incarnations are not affected."""
    server = state.servers_by_id.get(server_id)
    if server is None or not incarnation:
        return
    if server.incarnation == incarnation:
        server.draining = True
    if incarnation not in server.draining_incarnations:
        incarnations = (*server.draining_incarnations, incarnation)
        server.draining_incarnations = incarnations[-MAX_DRAINING_INCARNATIONS:]


def on_instance_list_seen(state: State, event: InstanceListSeen) -> None:
    """Update peers and draining servers from the platform's instance list, which may be stale."""
    peer_membership.merge_instance_list(
        state, [row for row in event.instances if row.kind == "entry"]
    )
    for row in event.instances:
        if row.kind != "upstream" or not row.leaving:
            continue
        if not row.incarnation:
            # Such a row may refer to an incarnation that has already ended.
            state.counters["instance_list.leaving_without_incarnation"] += 1
        mark_draining(state, row.id, row.incarnation)
