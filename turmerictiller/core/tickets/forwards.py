"""Forwarding of run requests to the instance that owns their ticket."""

from __future__ import annotations

from typing import TYPE_CHECKING

from turmerictiller.core.effects import ForwardRun
from turmerictiller.core.peers.peer_membership import is_peer_address
from turmerictiller.core.servers.attempts import wire_id
from turmerictiller.core.state import TimerKind
from turmerictiller.core.tickets.replies import (
    REFUSED,
    RETRY_AFTER_MS,
    parse_refusal,
    reply_outcome,
    reply_refusal,
)
from turmerictiller.core.tickets.runs import remaining_budget_ms
from turmerictiller.core.tickets.table import Outcome, Waiter
from turmerictiller.errors import Ran, Refusal, RefusalType

if TYPE_CHECKING:
    from turmerictiller.core.events import ForwardAnswered, ForwardFailed, RunArrived
    from turmerictiller.core.state import State
    from turmerictiller.core.tickets.codec import Ticket

NOT_OWNER = "not_owner"  # another incarnation now listens at the owner's address
OWNER_RESTARTED = Outcome("unknown", reason="owner_restarted")
OWNER_NOT_KNOWN = Outcome("unknown", reason="owner_not_known", retry_after_ms=RETRY_AFTER_MS)
OUTCOMES = frozenset({"done", "not_run", "unknown"})


def forward_run(state: State, waiter: Waiter, ticket: Ticket, event: RunArrived) -> None:
    """Forward a run request to the owner of its ticket, or refuse it."""
    if not is_peer_address(state, ticket.address):
        # Only the owner can verify the digest; a forged ticket must not choose the connect address.
        reply_outcome(state, waiter, OWNER_NOT_KNOWN)
        return
    refusal = _check_forward(state, waiter)
    if refusal is not None:
        reply_refusal(state, waiter, refusal)
        return
    state.tickets.forwards_by_call[waiter.id] = waiter.deadline_at
    state.timers.add(waiter.deadline_at, TimerKind.RUN_DEADLINE, ("forward", waiter.id))
    state.counters["runs.forwarded"] += 1
    state.out.append(
        ForwardRun(
            call_id=waiter.id,
            address=ticket.address,
            incarnation=ticket.incarnation,
            front=event.front,
            ticket=event.ticket,
            action=event.action,
            body=event.body,
            budget_ms=remaining_budget_ms(state, waiter.deadline_at),
            service=event.service,
            wire_id=wire_id(state, waiter.id),
        )
    )


def _check_forward(state: State, waiter: Waiter) -> Refusal | None:
    # An earlier call with the same ticket may have run, so these refusals use Ran.MAYBE.
    if remaining_budget_ms(state, waiter.deadline_at) < state.settings.min_run_budget_ms:
        problem = "too little time is left to reach the owner of the ticket"
        return Refusal(RefusalType.DEADLINE_TOO_SHORT, problem, Ran.MAYBE)
    if len(state.tickets.forwards_by_call) >= state.settings.max_runs:
        problem = "too many run requests are in flight"
        return Refusal(RefusalType.OVERLOADED, problem, Ran.MAYBE, RETRY_AFTER_MS)
    return None


def on_forward_answered(state: State, event: ForwardAnswered) -> None:
    """Relay the answer of the ticket's owner to the caller."""
    waiter = _end_forward(state, event.call_id)
    if waiter is None:
        return
    if event.outcome == REFUSED:
        refusal = parse_refusal(event.reason, event.answer, event.retry_after_ms)
        if refusal is not None:
            reply_refusal(state, waiter, refusal)
            return
    if event.outcome not in OUTCOMES:
        _reply_unanswered(state, waiter, "bad_answer")
        return
    outcome = Outcome(event.outcome, event.answer, event.reason, event.retry_after_ms)
    reply_outcome(state, waiter, outcome)


def on_forward_failed(state: State, event: ForwardFailed) -> None:
    """Reply with an unknown outcome after the forwarded call failed."""
    waiter = _end_forward(state, event.call_id)
    if waiter is None:
        return
    if event.reason == NOT_OWNER:
        reply_outcome(state, waiter, OWNER_RESTARTED)
    else:
        _reply_unanswered(state, waiter, event.reason)


def _end_forward(state: State, call_id: int) -> Waiter | None:
    deadline_at = state.tickets.forwards_by_call.pop(call_id, None)
    if deadline_at is None:
        state.counters["forwards.late"] += 1
        return None
    return Waiter(call_id, False, deadline_at)


def _reply_unanswered(state: State, waiter: Waiter, reason: str) -> None:
    # The owner may still hold a record of the outcome, so a retry can succeed.
    reply_outcome(state, waiter, Outcome("unknown", {}, reason, RETRY_AFTER_MS))


def on_forward_deadline(state: State, call_id: int) -> None:
    """Reply with an unknown outcome at the deadline if the owner has not answered."""
    if call_id not in state.tickets.forwards_by_call:
        return
    waiter = _end_forward(state, call_id)
    if waiter is not None:
        _reply_unanswered(state, waiter, "timed_out")
