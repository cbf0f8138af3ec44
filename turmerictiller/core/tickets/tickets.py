"""Ticket issue and the run calls that use tickets, including calls forwarded to the owner."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

from turmerictiller.core.effects import ReplyRefusal, ReplyTicket
from turmerictiller.core.lifecycle import is_closing, shutdown_refusal
from turmerictiller.core.state import TimerKind
from turmerictiller.core.tickets.codec import (
    Ticket,
    decode_ticket,
    encode_ticket,
    ticket_key,
    verify_ticket,
)
from turmerictiller.core.tickets.forwards import OWNER_RESTARTED, forward_run, on_forward_deadline
from turmerictiller.core.tickets.replies import RETRY_AFTER_MS, reply_outcome, reply_refusal
from turmerictiller.core.tickets.runs import (
    min_budget_ms,
    on_run_deadline,
    remaining_budget_ms,
    start_run,
)
from turmerictiller.core.tickets.table import (
    RUNNABLE_STATES,
    Outcome,
    RecordState,
    Run,
    RunRequest,
    TicketRecord,
    Waiter,
)
from turmerictiller.errors import Ran, Refusal, RefusalType, TicketError

if TYPE_CHECKING:
    from turmerictiller.core.events import (
        CallerGone,
        RunArrived,
        RunForwarded,
        TicketRequested,
    )
    from turmerictiller.core.state import State

MAX_WIRE_ID_CHARS = 128
NO_SERVICE = Refusal(RefusalType.UNKNOWN_SERVICE, "the front has no such service")
STILL_RUNNING = Outcome("unknown", reason="still_running", retry_after_ms=RETRY_AFTER_MS)


def on_ticket_requested(state: State, event: TicketRequested) -> None:
    """Issue a ticket, or refuse the request for it."""
    refusal = _check_ticket_request(state, event.front)
    if refusal is not None:
        state.counters[f"refusals.{refusal.type.value}"] += 1
        state.out.append(ReplyRefusal(event.call_id, refusal))
        return
    settings = state.settings
    ticket = Ticket(
        settings.instance_id,
        settings.peer_address,
        settings.incarnation,
        state.tickets.next_sequence,
        float(state.now + settings.ticket_lifetime_ms),
    )
    state.tickets.next_sequence += 1
    state.counters["tickets.issued"] += 1
    text = encode_ticket(ticket, ticket_key(settings))
    state.out.append(ReplyTicket(event.call_id, text, settings.ticket_lifetime_ms))


def _check_ticket_request(state: State, front: str) -> Refusal | None:
    if state.note is None:
        return Refusal(RefusalType.NO_NOTE, "no release note is in force", Ran.NO, RETRY_AFTER_MS)
    if front not in state.note.configuration.fronts_by_name:
        return Refusal(RefusalType.UNKNOWN_FRONT, "there is no such search front")
    return None


def on_run_arrived(state: State, event: RunArrived) -> None:
    """Run a caller's request, or forward it to the owner of its ticket."""
    settings = state.settings
    default_ms = min(settings.run_deadline_ms, settings.max_deadline_ms)
    deadline_ms = default_ms if event.deadline_ms is None else event.deadline_ms
    waiter = Waiter(event.call_id, False, event.at + deadline_ms)
    ticket = _check_call(state, waiter, deadline_ms, event)
    if ticket is None:
        return
    if ticket.incarnation == settings.incarnation:
        _handle_owned_call(state, waiter, event.ticket, _to_request(event))
    elif ticket.address == settings.peer_address:
        reply_outcome(state, waiter, OWNER_RESTARTED)
    else:
        forward_run(state, waiter, ticket, event)


def on_run_forwarded(state: State, event: RunForwarded) -> None:
    """Run a request that a peer forwarded; it is never forwarded again."""
    waiter = Waiter(event.forward_id, True, event.at + event.deadline_ms, event.wire_id)
    if is_closing(state):
        reply_refusal(state, waiter, shutdown_refusal(Ran.MAYBE))
        return
    ticket = _check_call(state, waiter, event.deadline_ms, event)
    if ticket is None:
        return
    if not ticket.incarnation == event.incarnation == state.settings.incarnation:
        reply_outcome(state, waiter, OWNER_RESTARTED)
        return
    _handle_owned_call(state, waiter, event.ticket, _to_request(event))


def _to_request(event: RunArrived | RunForwarded) -> RunRequest:
    return RunRequest(event.front, event.service, event.action, event.body)


def _check_call(
    state: State, waiter: Waiter, deadline_ms: float, event: RunArrived | RunForwarded
) -> Ticket | None:
    """Return the unverified ticket of a valid call, or refuse the call and return ``None``."""
    problem = _find_problem(state, waiter, deadline_ms, event)
    if problem:
        reply_refusal(state, waiter, Refusal(RefusalType.BAD_REQUEST, problem))
        return None
    try:
        return decode_ticket(event.ticket)
    except TicketError as error:
        reply_refusal(state, waiter, Refusal(RefusalType.BAD_TICKET, str(error)))
        return None


def _find_problem(
    state: State, waiter: Waiter, deadline_ms: float, event: RunArrived | RunForwarded
) -> str:
    max_deadline_ms = state.settings.max_deadline_ms
    if not (math.isfinite(deadline_ms) and 0 < deadline_ms <= max_deadline_ms):
        return f"deadline_ms must be more than 0 and at most {max_deadline_ms:g}"
    if len(waiter.wire_id) > MAX_WIRE_ID_CHARS:
        return f"wire_id must have at most {MAX_WIRE_ID_CHARS} characters"
    try:
        _to_request(event).digest()
    except TypeError:
        # orjson parses deeper nesting than it serializes.
        return "the body is nested too deeply"
    return ""


def _handle_owned_call(state: State, waiter: Waiter, text: str, request: RunRequest) -> None:
    try:
        ticket = verify_ticket(text, state.settings)
    except TicketError as error:
        reply_refusal(state, waiter, Refusal(RefusalType.BAD_TICKET, str(error)))
        return
    record = _find_or_add_record(state, waiter, ticket)
    if isinstance(record, Refusal):
        reply_refusal(state, waiter, record)
    elif record.digest and record.digest != request.digest():
        problem = "the ticket was used for another request"
        reply_refusal(state, waiter, Refusal(RefusalType.TICKET_BODY_MISMATCH, problem))
    elif record.state is RecordState.RUNNING:
        _wait_for_run(state, record, waiter)
    elif record.state in RUNNABLE_STATES:
        _run_or_refuse(state, record, waiter, request)
    else:
        reply_outcome(state, waiter, record.outcome())


def _find_or_add_record(state: State, waiter: Waiter, ticket: Ticket) -> TicketRecord | Refusal:
    table = state.tickets
    table.evict_expired(state.now)
    record = table.records_by_sequence.get(ticket.sequence)
    if record is not None:
        return record
    if ticket.expires_at <= state.now:
        problem = "the ticket has expired; its request may have run, and will not run any more"
        return Refusal(RefusalType.TICKET_EXPIRED, problem, Ran.MAYBE)
    if len(table.records_by_sequence) >= state.settings.max_tickets:
        # Without a record, a duplicate of the forwarded frame could run later.
        ran = Ran.MAYBE if waiter.is_forward else Ran.NO
        wait_ms = math.ceil((table.next_expires_at() or state.now) - state.now)
        problem = "too many tickets are in use"
        return Refusal(RefusalType.OVERLOADED, problem, ran, max(RETRY_AFTER_MS, wait_ms))
    return table.add(ticket.sequence, ticket.expires_at)


def _wait_for_run(state: State, record: TicketRecord, waiter: Waiter) -> None:
    is_full = len(record.waiters) >= state.settings.max_waiters_per_ticket
    if is_full or waiter.deadline_at <= state.now:
        reply_outcome(state, waiter, STILL_RUNNING)
        return
    state.tickets.add_waiter(record, waiter)
    state.timers.add(waiter.deadline_at, TimerKind.RUN_DEADLINE, ("waiter", waiter.key))


def _run_or_refuse(state: State, record: TicketRecord, waiter: Waiter, request: RunRequest) -> None:
    if not _register_forwarded_call(state, record, waiter):
        reply_outcome(state, waiter, record.outcome())
        return
    refusal = _check_run(state, record, waiter, request)
    service = _select_service(state, request)
    if refusal is not None or service is None:
        refusal = refusal or NO_SERVICE
        record.reason, record.retry_after_ms = refusal.type.value, refusal.retry_after_ms
        reply_refusal(state, waiter, refusal)
    elif state.tickets.running >= state.settings.max_runs:
        record.reason, record.retry_after_ms = "no_capacity", RETRY_AFTER_MS
        reply_outcome(state, waiter, record.outcome())
    else:
        state.tickets.add_waiter(record, waiter)
        start_run(state, record, Run(request, service, waiter.deadline_at))


def _register_forwarded_call(state: State, record: TicketRecord, waiter: Waiter) -> bool:
    """Record a forwarded call; return whether it may run.

    A duplicate of its frame may not: the first copy may have been answered with ``not_run``. Nor
    may a call above the limit per ticket.
    """
    if not waiter.is_forward:
        return True
    if waiter.wire_id in record.wire_ids:
        return False
    if len(record.wire_ids) >= state.settings.max_calls_per_ticket:
        record.reason, record.retry_after_ms = "too_many_calls", None
        return False
    record.wire_ids.add(waiter.wire_id)
    return True


def _check_run(
    state: State, record: TicketRecord, waiter: Waiter, request: RunRequest
) -> Refusal | None:
    if record.expires_at <= state.now:
        return Refusal(RefusalType.TICKET_EXPIRED, "the ticket has expired")
    if state.note is None:
        return Refusal(RefusalType.NO_NOTE, "no release note is in force", Ran.NO, RETRY_AFTER_MS)
    front = state.note.configuration.fronts_by_name.get(request.front)
    if front is None:
        return Refusal(RefusalType.UNKNOWN_FRONT, "there is no such search front")
    if request.action not in front.actions:
        return Refusal(RefusalType.UNKNOWN_ACTION, "the front has no such action")
    service = _select_service(state, request)
    if service is None:
        return NO_SERVICE
    if remaining_budget_ms(state, waiter.deadline_at) < min_budget_ms(state, service):
        return Refusal(RefusalType.DEADLINE_TOO_SHORT, "too little time is left to run this")
    return None


def _select_service(state: State, request: RunRequest) -> str | None:
    """Return the requested service, or the front's first in name order if none is requested."""
    front = state.note.configuration.fronts_by_name.get(request.front) if state.note else None
    if front is None:
        return None
    if request.service is not None:
        return request.service if request.service in front.services_by_name else None
    return min(front.services_by_name, default=None)


def on_caller_gone(state: State, event: CallerGone) -> None:
    """Remove the waiter of a disconnected caller; its request continues and is recorded."""
    state.tickets.remove_waiter((False, event.call_id))
    state.tickets.forwards_by_call.pop(event.call_id, None)


def on_deadline(state: State, key: tuple[str, Any]) -> None:
    """Handle the deadline of a run, a waiter or a forwarded call."""
    match key:
        case ("run", sequence):
            on_run_deadline(state, sequence)
        case ("waiter", waiter_key):
            waiter = state.tickets.remove_waiter(waiter_key)
            if waiter is not None:
                reply_outcome(state, waiter, STILL_RUNNING)
        case ("forward", call_id):
            on_forward_deadline(state, call_id)
