"""Parts that wait for room at the servers of their service.

The load that this answers: for some ten milliseconds more requests come than the limits of the
servers admit. Most of these parts find room long before their target, so refusing them at once would
only send the callers round again. Nothing waits longer than a fifth of its target.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from turmerictiller.forwarding.attempts import choose_for_part, send_to
from turmerictiller.forwarding.server_selection import current_slowness, is_usable
from turmerictiller.forwarding.servers import is_last_resort
from turmerictiller.forwarding.state import TimerKind, route_times, service_state

if TYPE_CHECKING:
    from turmerictiller.clock import Millis
    from turmerictiller.forwarding.state import Request, ServerState, ServiceState, State

# A refusal after a quarter of the target comes too late for the caller's next attempt.
MAX_QUEUE_TIME_SHARE = 0.2
MAX_QUEUED_PARTS = 16  # per service; more would not find room in that time


def enqueue_part(state: State, request: Request, index: int) -> bool:
    """Let a part wait if all that its service lacks is room; return whether it waits."""
    part = request.parts[index]
    service = service_state(state, part.service)
    wait_until = request.arrived_at + MAX_QUEUE_TIME_SHARE * request.route.target_ms
    if len(service.queued_priority_by_part) >= MAX_QUEUED_PARTS or state.now >= wait_until:
        return False
    if state.now + _capacity_in_ms(state, request, index) > wait_until:
        return False
    service.queued_priority_by_part[request.call_id, index] = request.route.priority
    part.is_queued = True
    request.is_unusual = True
    state.counters["parts.waited"] += 1
    state.timers.add(wait_until, TimerKind.QUEUE_TIMEOUT, request.call_id)
    return True


def _capacity_in_ms(state: State, request: Request, index: int) -> float:
    """Return when a part may expect room; infinity where no server could take it."""
    part = request.parts[index]
    service = service_state(state, part.service)
    median_ms = route_times(state, request.route.name).median_ms
    waits_ms = []
    for server in service.servers_by_id.values():
        if (
            not server.outstanding
            or server.entry.id in part.tried_server_ids
            or not is_usable(state, server)
        ):
            continue
        answer_ms = current_slowness(state, server) * median_ms
        oldest_ms = state.now - next(iter(server.outstanding.values()))
        ahead = len(service.queued_priority_by_part) / len(service.servers_by_id)
        waits_ms.append(max(0.0, answer_ms - oldest_ms) + ahead * answer_ms)
    return min(waits_ms, default=math.inf)


def usable_in_ms(state: State, request: Request, index: int) -> float:
    """Return when a server of a part may be usable again; infinity where there is none."""
    servers = service_state(state, request.parts[index].service).servers_by_id.values()
    returns_ms = [
        returns_at - state.now
        for server in servers
        if (returns_at := _returns_at(server)) > state.now
        and is_last_resort(state, server) is not None
    ]
    return min([_capacity_in_ms(state, request, index), *returns_ms])


def _returns_at(server: ServerState) -> Millis:
    """Return when a server that is out of use may be used again."""
    paused_until = (
        server.announcement.paused_until if server.announcement is not None else -math.inf
    )
    return max(server.ejected_until, paused_until)


def send_queued_parts(state: State) -> None:
    """Send the parts for which there is room now, the most urgent and oldest first."""
    while state.services_with_capacity:
        service = state.services_with_capacity.pop()
        if service.queued_priority_by_part:
            _send_queued_parts_of(state, service)


def _send_queued_parts_of(state: State, service: ServiceState) -> None:
    for key in sorted(
        service.queued_priority_by_part, key=lambda key: (service.queued_priority_by_part[key], key)
    ):
        call_id, index = key
        request = state.requests_by_call.get(call_id)
        if request is None or request.caller_disconnected or not request.parts[index].is_queued:
            del service.queued_priority_by_part[key]
            continue
        server = choose_for_part(state, request, index)
        if server is None:
            return
        del service.queued_priority_by_part[key]
        request.parts[index].is_queued = False
        send_to(state, request, index, server, is_extra=False)
