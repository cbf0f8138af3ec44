"""Arrival of a request: admitted, and sent to its services."""

from __future__ import annotations

from typing import TYPE_CHECKING

from turmerictiller.errors import Refusal
from turmerictiller.forwarding.admission import admit
from turmerictiller.forwarding.attempts import (
    choose_for_part,
    send_to,
)
from turmerictiller.forwarding.completion import complete_if_decided, fail_part
from turmerictiller.forwarding.effects import (
    LogDecision,
    Refuse,
)
from turmerictiller.forwarding.overload import ANSWER_MARGIN_MS, parts_to_shed
from turmerictiller.forwarding.queueing import enqueue_part
from turmerictiller.forwarding.state import Part, Request, TimerKind, route_times, service_state
from turmerictiller.forwarding.weights import next_service

if TYPE_CHECKING:
    from turmerictiller.clock import Millis
    from turmerictiller.forwarding.events import (
        RequestArrived,
    )
    from turmerictiller.forwarding.model import Route
    from turmerictiller.forwarding.state import ServerState, State

MIN_HEDGE_DELAY_MS = 5.0  # the way to a server and back takes up to 2 ms
FIRST_HEDGE_SHARE = 0.4  # of the target, until answer times are known
# A caller that gives less time than its route by at most this has spent the difference on opening its
# connection: two round trips, or the first of them sent again after a loss. One that gives still less has
# a limit of its own.
LONGEST_CONNECT_MS = 40.0
LEAST_WAIT_MS = 1.0  # for callers that give less time than the way back takes


def on_request_arrived(state: State, event: RequestArrived) -> None:
    """Admit a request and send it to its services."""
    state.counters["requests"] += 1
    admitted = admit(state, event)
    if isinstance(admitted, Refusal):
        _refuse_unadmitted(state, event, admitted)
        return
    request = _new_request(state, event, admitted)
    state.requests_by_call[event.call_id] = request
    if not _send_parts(state, request):
        return
    times = route_times(state, admitted.name)
    hedge_delay_ms = max(
        MIN_HEDGE_DELAY_MS, times.hedge_delay_ms or FIRST_HEDGE_SHARE * admitted.target_ms
    )
    if admitted.idempotent:
        state.timers.add(state.now + hedge_delay_ms, TimerKind.HEDGE, event.call_id)
    if admitted.shards:
        state.timers.add(request.target_at, TimerKind.TARGET, event.call_id)
    state.timers.add(request.deadline_at, TimerKind.DEADLINE, event.call_id)


def _send_parts(state: State, request: Request) -> bool:
    """Send all parts that a server can take, or refuse if they are too few; return which."""
    server_by_part: dict[int, ServerState] = {}
    for index, part in enumerate(request.parts):
        service_state(state, part.service).first_attempts.add(state.now)
        server = choose_for_part(state, request, index)
        if server is not None:
            server_by_part[index] = server
        elif not enqueue_part(state, request, index):
            fail_part(state, request, part, "no_server")
    for index in parts_to_shed(state, request, server_by_part):
        del server_by_part[index]
        fail_part(state, request, request.parts[index], "overloaded")
    if complete_if_decided(state, request):
        return False
    for index, server in server_by_part.items():
        send_to(state, request, index, server, is_extra=False)
    return True


def _refuse_unadmitted(state: State, event: RequestArrived, refusal: Refusal) -> None:
    state.counters[f"refusals.{refusal.type.value}"] += 1
    fields = {
        "request": event.request_id,
        "reason": refusal.type.value,
        "path": event.path[:64],
        "version": state.configuration.version if state.configuration else None,
        "fingerprint": f"{event.fingerprint:x}",
    }
    state.out.append(LogDecision("refused", fields, urgent=True))
    state.out.append(Refuse(event.call_id, refusal))


def _new_request(state: State, event: RequestArrived, route: Route) -> Request:
    assert state.configuration is not None
    wait_ms = route.timeout_ms
    if event.budget_ms is not None:
        wait_ms = min(wait_ms, event.budget_ms)
    services = route.shards or (next_service(state, route),)
    return Request(
        event.call_id,
        event.request_id,
        route,
        state.configuration.version,
        event.at,
        event.at + route.target_ms - ANSWER_MARGIN_MS - _connect_ms(event, route),
        min(event.at + max(LEAST_WAIT_MS, wait_ms - ANSWER_MARGIN_MS), state.ends_at),
        event.fingerprint,
        [Part(service) for service in services],
        len(services),
    )


def _connect_ms(event: RequestArrived, route: Route) -> Millis:
    """Return how long the caller has waited before it sent the request."""
    if event.budget_ms is None:
        return 0.0
    spent_ms = route.timeout_ms - event.budget_ms
    return spent_ms if 0 < spent_ms <= LONGEST_CONNECT_MS else 0.0
