"""Execution of non-idempotent requests at upstream servers by the owner of their ticket."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from turmerictiller.core.effects import CancelAttempt, SendRun
from turmerictiller.core.events import FailureKind
from turmerictiller.core.servers.attempts import (
    end_attempt,
    new_attempt,
    observe_answer,
    observe_failure,
    wire_id,
)
from turmerictiller.core.servers.membership import observe_status
from turmerictiller.core.servers.server_selection import choose_server, eligible_servers
from turmerictiller.core.state import TimerKind
from turmerictiller.core.tickets.replies import RETRY_AFTER_MS, reply_outcome
from turmerictiller.core.tickets.table import (
    ANSWER_NOT_KEPT,
    Outcome,
    RecordState,
    Run,
    TicketRecord,
)

if TYPE_CHECKING:
    from typing import Any

    from turmerictiller.core.events import AttemptFailed, RunAnswered
    from turmerictiller.core.state import Attempt, ServerState, State

MAX_RETRY_AFTER_MS = 60_000

# Only these failures guarantee that the request did not run.
NOT_RUN_REASON_BY_FAILURE = {
    FailureKind.UNSENT: "unreachable",
    FailureKind.SHED: "shed",
    FailureKind.DRAINING: "draining",
}


def start_run(state: State, record: TicketRecord, run: Run) -> None:
    """Start a run for a record in a runnable state; the run is settled by its deadline."""
    record.state = RecordState.RUNNING
    record.digest = run.request.digest()
    record.run = run
    state.tickets.running += 1
    state.counters["runs.started"] += 1
    state.timers.add(run.deadline_at, TimerKind.RUN_DEADLINE, ("run", record.sequence))
    reachable = eligible_servers(state, run.service, None)
    _send_or_settle(state, record, run, "no_capacity" if reachable else "unreachable")


def remaining_budget_ms(state: State, deadline_at: float) -> float:
    """Return the time in ms until the deadline of a run, less the return margin."""
    return deadline_at - state.now - state.settings.return_margin_ms


def min_budget_ms(state: State, service: str) -> float:
    """Return the smallest budget with which a request can reach a server of the service.

    It covers the time to open a connection.
    """
    open_ms = state.note.configuration.services_by_name[service].open_ms if state.note else 0.0
    return max(state.settings.min_run_budget_ms, open_ms)


def _send_or_settle(
    state: State, record: TicketRecord, run: Run, reason: str, retry_after_ms: float | None = None
) -> None:
    server = choose_server(state, run.service, None, run.tried_server_ids)
    if record.expires_at <= state.now:
        settle_not_run(state, record, "ticket_expired")
    elif server is None:
        settle_not_run(state, record, reason, retry_after_ms)
    elif remaining_budget_ms(state, run.deadline_at) < min_budget_ms(state, run.service):
        settle_not_run(state, record, "deadline_too_short")
    else:
        _send(state, record, run, server)


def _send(state: State, record: TicketRecord, run: Run, server: ServerState) -> None:
    attempt = new_attempt(state, record.sequence, run.service, server.id)
    attempt.is_run = True
    attempt.fingerprint = record.digest
    run.attempt_id = attempt.id
    run.tried_server_ids.add(server.id)
    state.out.append(
        SendRun(
            attempt_id=attempt.id,
            wire_id=wire_id(state, attempt.id),
            server_id=server.id,
            address=server.address,
            service=run.service,
            action=run.request.action,
            body=run.request.body,
            budget_ms=remaining_budget_ms(state, run.deadline_at),
            timeout_ms=run.deadline_at - state.now,
        )
    )


def on_run_answered(state: State, event: RunAnswered) -> None:
    """Settle a run after an upstream server has answered it."""
    attempt = end_attempt(state, event.attempt_id)
    if attempt is None:
        return
    observe_answer(state, attempt)
    observe_status(state, attempt.server_id, event.status)
    record = _running_record(state, attempt)
    if record is not None:
        _settle_done(state, record, event.answer)


def on_run_failed(state: State, event: AttemptFailed) -> None:
    """Retry on another server if the request did not run, else settle the run as unknown."""
    attempt = end_attempt(state, event.attempt_id)
    if attempt is None:
        return
    observe_failure(state, attempt, event)
    observe_status(state, attempt.server_id, event.status)
    record = _running_record(state, attempt)
    if record is None or record.run is None:
        return
    reason = NOT_RUN_REASON_BY_FAILURE.get(event.kind)
    if reason is None:
        settle_unknown(state, record, event.kind.value)
    else:
        _send_or_settle(state, record, record.run, reason, event.retry_after_ms)


def on_run_deadline(state: State, sequence: int) -> None:
    """Settle a run that reached its deadline; ignore the timer of an earlier run of the ticket."""
    record = state.tickets.records_by_sequence.get(sequence)
    if record is None or record.run is None or record.run.deadline_at > state.now:
        return
    attempt_id = record.run.attempt_id
    if end_attempt(state, attempt_id) is not None:
        state.out.append(CancelAttempt(attempt_id))
    settle_unknown(state, record, FailureKind.TIMED_OUT.value)


def settle_not_run(
    state: State, record: TicketRecord, reason: str, retry_after_ms: float | None = None
) -> None:
    """Record that the request did not run; a retry may run it until the ticket expires."""
    is_valid = record.expires_at > state.now
    record.retry_after_ms = _clamp_retry_after_ms(retry_after_ms) if is_valid else None
    record.reason = reason
    _settle(state, record, RecordState.NOT_RUN)


def settle_unknown(state: State, record: TicketRecord, reason: str) -> None:
    """Record that the request may have run; it is never retried."""
    record.retry_after_ms = None
    record.reason = reason
    _settle(state, record, RecordState.UNKNOWN)


def _settle_done(state: State, record: TicketRecord, answer: dict[str, Any]) -> None:
    record.retry_after_ms = None
    record.reason = ""
    try:
        state.tickets.store_answer(record, answer, state.settings.max_ticket_answer_bytes)
        outcome = Outcome("done", answer)
    except TypeError:
        # orjson parses deeper nesting than it serializes, so this answer cannot be relayed.
        outcome = Outcome("done", reason=ANSWER_NOT_KEPT)
    _settle(state, record, RecordState.DONE, outcome)


def _settle(
    state: State, record: TicketRecord, final_state: RecordState, outcome: Outcome | None = None
) -> None:
    record.state = final_state
    record.run = None
    state.tickets.running -= 1
    state.counters[f"runs.{final_state.value}"] += 1
    outcome = outcome or record.outcome()
    for waiter in state.tickets.pop_waiters(record):
        reply_outcome(state, waiter, outcome)


def _running_record(state: State, attempt: Attempt) -> TicketRecord | None:
    record = state.tickets.records_by_sequence.get(attempt.call_id)
    if record is None or record.run is None or record.run.attempt_id != attempt.id:
        return None
    return record


def _clamp_retry_after_ms(retry_after_ms: float | None) -> int:
    if retry_after_ms is None or not math.isfinite(retry_after_ms):
        return RETRY_AFTER_MS
    return int(min(max(1.0, math.ceil(retry_after_ms)), MAX_RETRY_AFTER_MS))
