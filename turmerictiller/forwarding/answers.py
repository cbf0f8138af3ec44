"""Answers and failures of attempts, and retries."""

from __future__ import annotations

from typing import TYPE_CHECKING

from turmerictiller.forwarding.announcements import on_announcement
from turmerictiller.forwarding.attempts import (
    end_attempt,
    start_attempt,
)
from turmerictiller.forwarding.budgets import charge_extra_attempt, refund_extra_attempt
from turmerictiller.forwarding.completion import fail_part, finish, finish_if_decided
from turmerictiller.forwarding.contention import is_contested, mark_contested
from turmerictiller.forwarding.effects import (
    RelayAnswer,
    WriteLog,
)
from turmerictiller.forwarding.events import FailureKind
from turmerictiller.forwarding.quarantine import (
    on_attempt_interrupted,
    on_connection_refused,
    on_request_answered,
)
from turmerictiller.forwarding.queueing import enqueue_part
from turmerictiller.forwarding.server_selection import (
    observe_answer,
    observe_failure,
    observe_not_run,
)
from turmerictiller.forwarding.servers import on_server_replaced
from turmerictiller.forwarding.state import Part, Request, route_times, service_state

if TYPE_CHECKING:
    from turmerictiller.forwarding.events import (
        AttemptAnswered,
        AttemptFailed,
        UpstreamAnswer,
    )
    from turmerictiller.forwarding.state import Attempt, ServerState, State

MAX_ATTEMPTS_PER_PART = 6  # bounds retries of attempts that were rejected without having run
MAX_DISCOUNTED_RESETS = 2  # per part
INTERRUPTING_FAILURES = (FailureKind.CLOSED, FailureKind.RESET, FailureKind.NOT_ACCEPTED)
# Quantile of the answer times after which an attempt is hedged. The budget allows hedges for a
# fifth of the requests.
HEDGE_QUANTILE = 0.85


def on_attempt_answered(state: State, event: AttemptAnswered) -> None:
    """Add an answer to its request, or retry the part if it was not run or failed."""
    ended = end_attempt(state, event.attempt_id)
    if ended is None:
        return
    attempt, server = ended
    request = state.requests_by_call.get(attempt.call_id)
    answer = event.answer
    if answer.leaving or answer.pause_ms or answer.malformed_headers:
        on_announcement(state, attempt.server_id, answer)
    if answer.not_run:
        state.counters["attempts.not_run"] += 1
        service_state(state, attempt.service).shed_at = state.now
        if server is not None:
            observe_not_run(state, server)
        _on_attempt_lost(state, request, attempt, "not_run", may_have_run=False)
        return
    on_request_answered(state, attempt.fingerprint)
    times = route_times(state, attempt.route)
    is_good = 200 <= answer.status < 300 and bool(answer.signature)
    if server is not None:
        if answer.is_failure:
            observe_failure(state, server, f"status_{answer.status}")
        else:
            observe_answer(state, server, state.now - attempt.sent_at, times)
    if is_good:
        times.add(state.now - attempt.sent_at, HEDGE_QUANTILE)
    if request is None:
        return
    part = request.parts[attempt.part]
    if part.answer is not None or part.failure_reason:
        return
    part.attempt_ids.remove(attempt.id)
    if is_good or _is_final(request, answer):
        _accept_answer(state, request, part, attempt, answer)
    else:
        relayable = None if answer.unconfirmed_refusal else answer
        _retry_or_fail_part(state, request, attempt, f"status_{answer.status}", relayable)


def on_attempt_failed(state: State, event: AttemptFailed) -> None:
    """Retry a part if that is allowed, or fail it."""
    ended = end_attempt(state, event.attempt_id)
    if ended is None:
        return
    attempt, server = ended
    state.counters[f"attempts.{event.failure.value}"] += 1
    request = state.requests_by_call.get(attempt.call_id)
    if server is not None:
        _observe_failure(state, server, attempt, request, event)
    may_have_run = event.may_have_run
    if event.failure is FailureKind.NOT_ACCEPTED and may_have_run and request is not None:
        may_have_run = not _discount_reset(request.parts[attempt.part], attempt)
    is_budget_exempt = event.failure.is_unreachable or (
        event.failure in (FailureKind.NOT_ACCEPTED, FailureKind.WITHDRAWN)
        and not event.may_have_run
    )
    _on_attempt_lost(state, request, attempt, event.failure.value, may_have_run, is_budget_exempt)


def _discount_reset(part: Part, attempt: Attempt) -> bool:
    """Record that a reset of a new connection does not count as a possible run, if that is allowed.

    A request that crashes servers immediately causes the same failure, so the number per part is
    limited.

    :returns: whether the reset was discounted.
    """
    if not attempt.idempotent or part.discounted_resets >= MAX_DISCOUNTED_RESETS:
        return False
    part.discounted_resets += 1
    return True


def _observe_failure(
    state: State,
    server: ServerState,
    attempt: Attempt,
    request: Request | None,
    event: AttemptFailed,
) -> None:
    failure = event.failure
    if failure is FailureKind.OTHER_SERVER:
        on_server_replaced(state, server)
        return
    if failure is FailureKind.WITHDRAWN:
        return
    # At the connection limit, a crash probe would be reset as well and would be inconclusive.
    indicates_crash = failure is not FailureKind.NOT_ACCEPTED or not is_contested(state, server)
    if failure is FailureKind.NOT_ACCEPTED:
        # The server is healthy; only its connection limit is reached.
        mark_contested(state, server)
        observe_not_run(state, server)
    else:
        observe_failure(state, server, failure.value, failure.is_unreachable)
    if failure is FailureKind.REFUSED:
        on_connection_refused(state, server)
    elif event.may_have_run and failure in INTERRUPTING_FAILURES and indicates_crash:
        on_attempt_interrupted(state, server, attempt, request)


def _is_final(request: Request, answer: UpstreamAnswer) -> bool:
    """Return whether an answer that is not a success is relayed without a retry."""
    if request.route.shards or answer.unconfirmed_refusal:
        return False
    return not (request.route.idempotent and answer.is_failure)


def _accept_answer(
    state: State, request: Request, part: Part, attempt: Attempt, answer: UpstreamAnswer
) -> None:
    part.answer = answer
    part.answered_by = attempt
    part.answered_at = state.now
    request.last_answered = part
    request.open_parts -= 1
    request.answered_parts += 1
    if not request.route.shards:
        finish(state, request)
        state.out.append(RelayAnswer(request.call_id, answer))
        return
    finish_if_decided(state, request)


def _on_attempt_lost(
    state: State,
    request: Request | None,
    attempt: Attempt,
    reason: str,
    may_have_run: bool,
    is_budget_exempt: bool = False,
) -> None:
    if request is None:
        return
    part = request.parts[attempt.part]
    if part.answer is not None or part.failure_reason:
        return
    part.attempt_ids.remove(attempt.id)
    if not may_have_run:
        part.possible_runs -= 1
    _retry_or_fail_part(state, request, attempt, reason, None, is_budget_exempt)


def _retry_or_fail_part(
    state: State,
    request: Request,
    attempt: Attempt,
    reason: str,
    answer: UpstreamAnswer | None,
    is_budget_exempt: bool = False,
) -> None:
    """Retry a part after a lost attempt, or fail it when no retry and no other attempt is left.

    :param answer: the server's own error answer if it may be relayed to the caller.
    """
    part = request.parts[attempt.part]
    request.is_unusual = True
    retried = _retry(state, request, attempt.part, is_budget_exempt)
    fields = {
        "request": request.request_id,
        "service": part.service,
        "server": attempt.server_id,
        "reason": reason,
        "sent_again": retried,
        "may_have_run": part.may_have_run,
    }
    state.out.append(WriteLog("attempt_lost", fields))
    if retried or part.attempt_ids:
        return
    if answer is not None and not request.route.shards:
        # Without a retry, the caller gets the error answer of the server itself.
        _accept_answer(state, request, part, attempt, answer)
        return
    fail_part(state, request, part, reason)
    finish_if_decided(state, request)


def _retry(state: State, request: Request, index: int, is_budget_exempt: bool) -> bool:
    part = request.parts[index]
    if (
        request.caller_disconnected
        or part.send_count >= MAX_ATTEMPTS_PER_PART
        or part.possible_runs >= request.route.max_servers
    ):
        return False
    if part.possible_runs and not request.route.idempotent:
        return False
    service = service_state(state, part.service)
    if not is_budget_exempt and not charge_extra_attempt(state, service):
        state.counters["extra.exhausted"] += 1
        return False
    if not (
        start_attempt(state, request, index, is_extra=True) or enqueue_part(state, request, index)
    ):
        if not is_budget_exempt:
            refund_extra_attempt(state, service)
        return False
    state.counters["attempts.sent_again"] += 1
    return True
