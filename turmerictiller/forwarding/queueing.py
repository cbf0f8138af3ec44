"""Queue of the parts for which the servers of a service have no capacity.

It absorbs bursts of some ten milliseconds in which more requests arrive than the limits of the
servers admit. Most of these parts get capacity long before their target, so an immediate refusal
would only cause retries of the callers. No part is queued for longer than a fifth of its target.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from turmerictiller.forwarding.server_selection import current_slowness, is_usable
from turmerictiller.forwarding.servers import is_last_resort
from turmerictiller.forwarding.state import TimerKind, route_times, service_state

if TYPE_CHECKING:
    from turmerictiller.clock import Millis
    from turmerictiller.forwarding.state import Request, ServerState, State

# A refusal after a quarter of the target is too late for a retry of the caller.
MAX_WAIT_SHARE = 0.2
MAX_QUEUED_PARTS = 16  # per service; more would not get capacity in that time


def enqueue_part(state: State, request: Request, index: int) -> bool:
    """Queue a part if capacity is expected in time; return whether it was queued."""
    part = request.parts[index]
    service = service_state(state, part.service)
    expires_at = request.arrived_at + MAX_WAIT_SHARE * request.route.target_ms
    if len(service.queued_priority_by_part) >= MAX_QUEUED_PARTS or state.now >= expires_at:
        return False
    if state.now + _predicted_wait_ms(state, request, index) > expires_at:
        return False
    service.queued_priority_by_part[request.call_id, index] = request.route.priority
    part.is_queued = True
    request.is_unusual = True
    state.counters["parts.waited"] += 1
    state.timers.add(expires_at, TimerKind.QUEUE_TIMEOUT, request.call_id)
    return True


def _predicted_wait_ms(state: State, request: Request, index: int) -> float:
    """Return the predicted queueing delay of a part in ms; infinity without usable servers."""
    part = request.parts[index]
    service = service_state(state, part.service)
    median_ms = route_times(state, request.route.name).median_ms
    waits_ms = []
    for server in service.servers_by_id.values():
        if (
            not server.sent_at_by_attempt
            or server.entry.id in part.tried_server_ids
            or not is_usable(state, server)
        ):
            continue
        answer_ms = current_slowness(state, server) * median_ms
        oldest_ms = state.now - next(iter(server.sent_at_by_attempt.values()))
        queued_per_server = len(service.queued_priority_by_part) / len(service.servers_by_id)
        waits_ms.append(max(0.0, answer_ms - oldest_ms) + queued_per_server * answer_ms)
    return min(waits_ms, default=math.inf)


def ms_until_usable(state: State, request: Request, index: int) -> float:
    """Return the expected time in ms until a server is usable; infinity if none will be."""
    servers = service_state(state, request.parts[index].service).servers_by_id.values()
    waits_ms = [
        usable_at - state.now
        for server in servers
        if (usable_at := _usable_at(server)) > state.now
        and is_last_resort(state, server) is not None
    ]
    return min([_predicted_wait_ms(state, request, index), *waits_ms])


def _usable_at(server: ServerState) -> Millis:
    """Return when the ejection or pause of a server ends."""
    paused_until = (
        server.announcement.paused_until if server.announcement is not None else -math.inf
    )
    return max(server.ejected_until, paused_until)
