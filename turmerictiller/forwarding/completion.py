"""Completion of requests: answered, refused, or abandoned after the caller has disconnected."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from turmerictiller.errors import Ran, Refusal, RefusalType
from turmerictiller.forwarding.admission import no_server_refusal
from turmerictiller.forwarding.attempts import end_attempt
from turmerictiller.forwarding.describe import describe_late_part, describe_missing
from turmerictiller.forwarding.effects import (
    CancelAttempt,
    ReplyRefusal,
    SendMergedAnswer,
    WriteLog,
)
from turmerictiller.forwarding.overload import min_parts
from turmerictiller.forwarding.queueing import ms_until_usable
from turmerictiller.forwarding.records import merge_greatest
from turmerictiller.forwarding.server_selection import observe_failure, observe_no_answer
from turmerictiller.forwarding.state import Part, Request, TimerKind, route_times

if TYPE_CHECKING:
    from turmerictiller.forwarding.events import CallerDisconnected
    from turmerictiller.forwarding.state import State

# Time from the disconnection of a caller to the cancellation of its idempotent attempts. It is less
# than half a second, for which a disconnected caller must not keep servers busy.
DISCONNECT_GRACE_MS = 200.0
# An attempt that is still unanswered when its request ends, such as one that lost against a hedge,
# is cancelled after this time, which is longer than a usual pause of a server.
ABANDON_DELAY_MS = 400.0
# Used if no server is expected to return; a new one is discovered within about a second.
UNREACHABLE_RETRY_MS = 500.0
MIN_RETRY_AFTER_MS = 20.0  # an immediate retry would find the queues unchanged


def on_target_due(state: State, call_id: int) -> None:
    """Answer with the parts received by the target time if they reach the minimum share."""
    request = state.requests_by_call.get(call_id)
    if request is not None:
        request.target_passed = True
        finish_if_decided(state, request)


def on_queue_timeout(state: State, call_id: int) -> None:
    """Fail the parts that are still queued."""
    request = state.requests_by_call.get(call_id)
    if request is None:
        return
    for part in request.parts:
        if part.is_queued:
            part.is_queued = False
            fail_part(state, request, part, "no_room")
    finish_if_decided(state, request)


def on_request_deadline(state: State, call_id: int) -> None:
    """Answer a request whose deadline has passed with the parts received, or refuse it."""
    request = state.requests_by_call.get(call_id)
    if request is None:
        return
    # The budget of a caller may end before the target, and so may a pause or the process.
    request.target_passed = True
    if finish_if_decided(state, request):
        return
    if not request.caller_disconnected:
        message = "the time of the request is over"
        refuse_request(state, request, Refusal(RefusalType.DEADLINE_PASSED, message, Ran.MAYBE))
    else:
        finish(state, request)


def on_caller_disconnected(state: State, event: CallerDisconnected) -> None:
    """Mark a request's caller as disconnected, and schedule the end of its attempts."""
    request = state.requests_by_call.get(event.call_id)
    if request is None or request.caller_disconnected:
        return
    request.caller_disconnected = True
    state.counters["callers.left"] += 1
    state.timers.add(state.now + DISCONNECT_GRACE_MS, TimerKind.CALLER_DISCONNECTED, event.call_id)


def on_disconnect_grace_over(state: State, call_id: int) -> None:
    """Cancel the attempts of a disconnected caller, except those of non-idempotent requests."""
    request = state.requests_by_call.get(call_id)
    if request is None:
        return
    if not request.route.idempotent:
        finish(state, request)
        return
    del state.requests_by_call[call_id]
    for attempt_id in [number for part in request.parts for number in part.attempt_ids]:
        if end_attempt(state, attempt_id) is not None:
            state.out.append(CancelAttempt(attempt_id))
    _log_end(state, request, "caller_left")


def on_abandon_due(state: State, attempt_id: int) -> None:
    """Cancel an attempt that is still unanswered after its request has ended."""
    ended = end_attempt(state, attempt_id)
    if ended is None:
        return
    _, server = ended
    state.counters["attempts.abandoned"] += 1
    if server is not None:
        observe_failure(state, server, "silent")
    state.out.append(CancelAttempt(attempt_id))


def fail_part(state: State, request: Request, part: Part, reason: str) -> None:
    """Mark one part of a request as failed."""
    part.failure_reason = reason
    request.open_parts -= 1
    request.is_unusual = True


def finish_if_decided(state: State, request: Request) -> bool:
    """Answer or refuse a request if its outcome is determined; return whether it was."""
    if request.caller_disconnected:
        if request.open_parts == 0:
            finish(state, request)
        return request.open_parts == 0
    route = request.route
    if not route.shards:
        if request.open_parts == 0 and request.answered_parts == 0:
            refuse_request(state, request, _refusal_for_failed_parts(state, request))
            return True
        return False
    total = len(request.parts)
    required = min_parts(route.min_share, total)
    if request.answered_parts + request.open_parts < required:
        refuse_request(state, request, _refusal_for_failed_parts(state, request))
        return True
    enough = request.answered_parts >= required
    if request.open_parts == 0 or (enough and request.target_passed):
        _send_merged_answer(state, request)
        return True
    return False


def _refusal_for_failed_parts(state: State, request: Request) -> Refusal:
    """Return the refusal of a request whose parts failed; it states whether it may have run."""
    if not any(part.may_have_run for part in request.parts):
        return no_server_refusal(_retry_after_ms(state, request))
    message = "servers failed while they may have run the request"
    return Refusal(RefusalType.UPSTREAM_FAILED, message, Ran.MAYBE)


def _retry_after_ms(state: State, request: Request) -> float:
    """Return the time until servers for enough of the failed parts are expected to be usable."""
    waits_ms = sorted(
        ms_until_usable(state, request, index)
        for index, part in enumerate(request.parts)
        if part.failure_reason
    )
    total = len(request.parts)
    required = min_parts(request.route.min_share, total) if request.route.shards else 1
    needed = required - (total - len(waits_ms))
    wait_ms = waits_ms[max(0, needed - 1)] if waits_ms else math.inf
    return max(MIN_RETRY_AFTER_MS, wait_ms) if math.isfinite(wait_ms) else UNREACHABLE_RETRY_MS


def _send_merged_answer(state: State, request: Request) -> None:
    answers = [part.answer for part in request.parts if part.answer is not None]
    records = merge_greatest((answer.body for answer in answers), request.route.top)
    missing = len(request.parts) - len(answers)
    finish(state, request)
    signatures = tuple(answer.signature for answer in answers)
    state.out.append(SendMergedAnswer(request.call_id, signatures, missing, records))


def refuse_request(state: State, request: Request, refusal: Refusal) -> None:
    """End a request with a refusal."""
    state.counters[f"refusals.{refusal.type.value}"] += 1
    request.is_unusual = True
    finish(state, request, refusal.type.value)
    state.out.append(ReplyRefusal(request.call_id, refusal))


def finish(state: State, request: Request, outcome: str = "answered") -> None:
    """End a request and schedule the end of its attempts that are still unanswered."""
    del state.requests_by_call[request.call_id]
    times = route_times(state, request.route.name)
    for part in request.parts:
        for attempt_id in part.attempt_ids:
            attempt = state.attempts_by_id.get(attempt_id)
            if attempt is None:
                continue
            if request.answered_parts:
                attempt.is_crash_ruled_out = True
            server = state.servers_by_id.get(attempt.server_id)
            if server is not None and attempt_id in server.sent_at_by_attempt:
                observe_no_answer(state, server, state.now - attempt.sent_at, times)
            # A non-idempotent attempt is not cancelled before the request's deadline, by which its
            # server stops.
            last_at = state.now if attempt.idempotent else max(state.now, request.deadline_at)
            state.timers.add(last_at + ABANDON_DELAY_MS, TimerKind.ABANDON, attempt_id)
    _log_end(state, request, outcome)


def _log_end(state: State, request: Request, outcome: str) -> None:
    if request.caller_disconnected:
        outcome = "caller_left"
    state.counters[f"outcomes.{outcome}"] += 1
    fields = {
        "request": request.request_id,
        "route": request.route.name,
        "version": request.version,
        "outcome": outcome,
        "ms": round(state.now - request.arrived_at, 1),
        "target_ms": request.route.target_ms,
        "budget_ms": round(request.deadline_at - request.arrived_at),
    }
    if request.route.shards:
        fields["parts"] = f"{request.answered_parts}/{len(request.parts)}"
    if request.target_passed and (late_part := describe_late_part(state, request)):
        fields["late_part"] = late_part
    if request.is_unusual:
        fields["missing"] = describe_missing(state, request)
    state.out.append(WriteLog("request_ended", fields, urgent=outcome != "answered"))
