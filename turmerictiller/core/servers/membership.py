"""Upstream servers and peers: which exist, and which take work."""

from __future__ import annotations

from typing import TYPE_CHECKING

from turmerictiller.core.effects import PollHealth, ResetConnections
from turmerictiller.core.peers import peer_membership
from turmerictiller.core.servers.silence import on_poll_answered
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

KEPT_DRAINING_INCARNATIONS = 4
MAX_SNAPSHOT_CHARS = 64


def install_configuration(state: State, configuration: Configuration) -> None:
    """Make the servers of the state those of the configuration."""
    wanted: dict[str, ServerState] = {}
    services: dict[str, ServiceState] = {}
    for service in configuration.services_by_name.values():
        for server in service.servers_by_id.values():
            wanted[server.id] = _keep_or_add(state, server, service.name)
        kept = state.services_by_name.get(service.name)
        service_state = kept or ServiceState(service.name, ())
        service_state.server_ids = tuple(service.servers_by_id)
        services[service.name] = service_state
    for known in state.servers_by_id.values():
        if wanted.get(known.id) is not known:
            state.out.append(ResetConnections(known.id, known.address))
    state.servers_by_id = wanted
    state.services_by_name = services


def _keep_or_add(state: State, server: Server, service: str) -> ServerState:
    known = state.servers_by_id.get(server.id)
    if known is not None and known.address == server.address and known.service == service:
        known.domain = server.domain
        return known
    added = ServerState(server.id, server.address, server.domain, service)
    state.timers.add(state.now, TimerKind.HEALTH_POLL, server.id)
    return added


def on_health_poll(state: State, server_id: str) -> None:
    """Poll a server unless its answers have told its status lately."""
    server = state.servers_by_id.get(server_id)
    # The timer of a server that a note replaced under the same id runs on; only one counts.
    if server is None or state.now < server.next_poll_at:
        return
    interval = state.settings.health_interval_ms
    server.next_poll_at = state.now + interval
    state.timers.add(server.next_poll_at, TimerKind.HEALTH_POLL, server_id)
    if state.now - server.status_at >= interval:
        state.out.append(PollHealth(server.id, server.address))


def on_health_reported(state: State, event: HealthReported) -> None:
    """Take in the status of a server."""
    observe_status(state, event.server_id, event.status)
    server = state.servers_by_id.get(event.server_id)
    if server is not None:
        on_poll_answered(state, server)


def on_health_failed(state: State, event: HealthFailed) -> None:
    """Take a server out of use that has answered neither polls nor calls for an interval.

    Outstanding calls are no sign of life: at a server that is cut off they just stay unanswered.
    """
    server = state.servers_by_id.get(event.server_id)
    if server is not None and state.now - server.status_at >= state.settings.health_interval_ms:
        server.reachable = False
        state.freed_services[server.service] = None


def restart_estimates(state: State, server: ServerState) -> None:
    """Forget the latency and the failures of a server that has restarted."""
    server.samples = server.failures_in_row = 0
    server.ejected = False
    server.started_at = state.now


def observe_status(state: State, server_id: str, status: UpstreamStatus | None) -> None:
    """Take in what a server says of itself."""
    server = state.servers_by_id.get(server_id)
    if server is None or status is None:
        return
    server.reachable = True
    state.freed_services[server.service] = None
    server.status_at = state.now
    if server.incarnation != status.incarnation:
        if server.incarnation:
            restart_estimates(state, server)
        server.incarnation = status.incarnation
        server.draining = status.incarnation in server.draining_incarnations
    if status.draining:
        mark_draining(state, server_id, status.incarnation)
    server.snapshots = _bounded(state, status.snapshots)
    server.reported_load = status.load
    server.reported_load_at = state.now - status.age_ms
    request_missing_maps(state, server)


def _bounded(state: State, snapshots: tuple[str, ...]) -> tuple[str, ...]:
    # A version of thousands of digits is not only large: Python refuses to read it as a number.
    names = [name for name in snapshots if len(name) <= MAX_SNAPSHOT_CHARS]
    return tuple(names[: state.settings.max_snapshots])


def mark_draining(state: State, server_id: str, incarnation: str) -> None:
    """Take no new work to an incarnation of a server; other incarnations are not affected."""
    server = state.servers_by_id.get(server_id)
    if server is None or not incarnation:
        return
    if server.incarnation == incarnation:
        server.draining = True
    if incarnation not in server.draining_incarnations:
        kept = (*server.draining_incarnations, incarnation)
        server.draining_incarnations = kept[-KEPT_DRAINING_INCARNATIONS:]


def on_instance_list_seen(state: State, event: InstanceListSeen) -> None:
    """Take in the platform's instance list, which may lag."""
    peer_membership.observe_list(state, [row for row in event.instances if row.kind == "entry"])
    for row in event.instances:
        if row.kind != "upstream" or not row.leaving:
            continue
        if not row.incarnation:
            # Such a row may be about an incarnation that has ended.
            state.counters["instance_list.leaving_without_incarnation"] += 1
        mark_draining(state, row.id, row.incarnation)
