"""Admission of arriving requests and dispatch to their services."""

from __future__ import annotations

from typing import TYPE_CHECKING

from turmerictiller.errors import Refusal
from turmerictiller.forwarding.admission import admit
from turmerictiller.forwarding.dispatch import dispatch_request
from turmerictiller.forwarding.effects import (
    ReplyRefusal,
    WriteLog,
)
from turmerictiller.forwarding.overload import ANSWER_MARGIN_MS
from turmerictiller.forwarding.state import Part, Request, TimerKind, route_times
from turmerictiller.forwarding.weights import next_service

if TYPE_CHECKING:
    from turmerictiller.clock import Millis
    from turmerictiller.forwarding.events import (
        RequestArrived,
    )
    from turmerictiller.forwarding.model import Route
    from turmerictiller.forwarding.state import State

MIN_HEDGE_DELAY_MS = 5.0  # a round trip to a server takes up to 2 ms
INITIAL_HEDGE_DELAY_SHARE = 0.4  # share of the target, used until answer times were recorded
# A caller whose budget is below the timeout of its route by at most this has spent the difference
# on opening its connection: two round trips, or a retransmission of the first. A caller with a
# smaller budget has a timeout of its own.
MAX_CONNECT_MS = 40.0
MIN_WAIT_MS = 1.0  # for callers whose budget is shorter than the transfer of the answer


def on_request_arrived(state: State, event: RequestArrived) -> None:
    """Admit a request and send it to its services."""
    state.counters["requests"] += 1
    admitted = admit(state, event)
    if isinstance(admitted, Refusal):
        _refuse_admission(state, event, admitted)
        return
    request = _new_request(state, event, admitted)
    state.requests_by_call[event.call_id] = request
    if not dispatch_request(state, request):
        return
    times = route_times(state, admitted.name)
    hedge_delay_ms = max(
        MIN_HEDGE_DELAY_MS, times.hedge_delay_ms or INITIAL_HEDGE_DELAY_SHARE * admitted.target_ms
    )
    if admitted.idempotent:
        state.timers.add(state.now + hedge_delay_ms, TimerKind.HEDGE, event.call_id)
    if admitted.shards:
        state.timers.add(request.target_at, TimerKind.TARGET, event.call_id)
    state.timers.add(request.deadline_at, TimerKind.DEADLINE, event.call_id)


def _refuse_admission(state: State, event: RequestArrived, refusal: Refusal) -> None:
    state.counters[f"refusals.{refusal.type.value}"] += 1
    fields = {
        "request": event.request_id,
        "reason": refusal.type.value,
        "path": event.path[:64],
        "version": state.configuration.version if state.configuration else None,
        "fingerprint": f"{event.fingerprint:x}",
    }
    state.out.append(WriteLog("refused", fields, urgent=True))
    state.out.append(ReplyRefusal(event.call_id, refusal))


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
        min(event.at + max(MIN_WAIT_MS, wait_ms - ANSWER_MARGIN_MS), state.ends_at),
        event.fingerprint,
        [Part(service) for service in services],
        len(services),
    )


def _connect_ms(event: RequestArrived, route: Route) -> Millis:
    """Return the time that the caller spent on connecting before it sent the request."""
    if event.budget_ms is None:
        return 0.0
    spent_ms = route.timeout_ms - event.budget_ms
    return spent_ms if 0 < spent_ms <= MAX_CONNECT_MS else 0.0
