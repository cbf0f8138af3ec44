"""Hedged requests: when a late part of a request is sent to a second server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from turmerictiller.forwarding.attempts import (
    SHED_BACKOFF_MS,
    choose_server_for_part,
    send_to,
)
from turmerictiller.forwarding.budgets import charge_extra_attempt
from turmerictiller.forwarding.effects import WriteLog
from turmerictiller.forwarding.server_selection import expected_ms
from turmerictiller.forwarding.state import Request, TimerKind, route_times, service_state

if TYPE_CHECKING:
    from turmerictiller.forwarding.state import ServerState, State

# A hedge that was not possible is tried again after this time; servers may have free capacity then.
HEDGE_RECHECK_MS = 15.0


def on_hedge_due(state: State, call_id: int) -> None:
    """Hedge the parts that have one unanswered attempt."""
    request = state.requests_by_call.get(call_id)
    if request is None or request.caller_disconnected:
        return
    needs_recheck = False
    for index, part in enumerate(request.parts):
        if part.is_held or part.is_queued:
            needs_recheck = True
            continue
        if part.answer is not None or part.failure_reason or len(part.attempt_ids) != 1:
            continue
        if part.possible_runs >= request.route.max_servers:
            continue
        if not _send_hedge(state, request, index):
            needs_recheck = True
    if needs_recheck:
        state.timers.add(state.now + HEDGE_RECHECK_MS, TimerKind.HEDGE, call_id)


def _send_hedge(state: State, request: Request, index: int) -> bool:
    part = request.parts[index]
    service = service_state(state, part.service)
    if state.now - service.shed_at < SHED_BACKOFF_MS:
        return False
    server = choose_server_for_part(state, request, index, is_extra=True)
    if server is None or not _is_in_time(state, request, server):
        return False
    if not charge_extra_attempt(state, service):
        return False
    send_to(state, request, index, server, is_extra=True)
    request.is_unusual = True
    state.counters["attempts.hedged"] += 1
    fields = {
        "request": request.request_id,
        "service": part.service,
        "server": part.tried_server_ids[-1],
        "after_ms": round(state.now - request.arrived_at, 1),
        "usual_ms": round(route_times(state, request.route.name).hedge_delay_ms, 1),
        "extra_attempts": service.extra_attempts.value(state.now),
        "first_attempts": service.first_attempts.value(state.now),
    }
    state.out.append(WriteLog("hedged", fields))
    return True


def _is_in_time(state: State, request: Request, server: ServerState) -> bool:
    """Return whether the target time has passed or the server is expected to answer by then."""
    if request.target_passed:
        return True
    left_ms = request.target_at - state.now
    return expected_ms(state, server, route_times(state, request.route.name)) < left_ms
