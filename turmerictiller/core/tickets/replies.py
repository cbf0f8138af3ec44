"""Replies to run requests, whether a caller or a peer sent them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from turmerictiller.core.effects import AnswerForward, ReplyOutcome, ReplyRefusal
from turmerictiller.errors import Ran, Refusal, RefusalType

if TYPE_CHECKING:
    from turmerictiller.core.state import State
    from turmerictiller.core.tickets.table import Outcome, Waiter

RETRY_AFTER_MS = 200
REFUSED = "refused"


def reply_outcome(state: State, waiter: Waiter, outcome: Outcome) -> None:
    """Tell a call the outcome of its request."""
    state.counters[f"runs.told.{outcome.outcome}"] += 1
    kind = AnswerForward if waiter.is_forward else ReplyOutcome
    state.out.append(
        kind(waiter.id, outcome.outcome, outcome.answer, outcome.reason, outcome.retry_after_ms)
    )


def reply_refusal(state: State, waiter: Waiter, refusal: Refusal) -> None:
    """Refuse a run request."""
    state.counters[f"refusals.{refusal.type.value}"] += 1
    if not waiter.is_forward:
        state.out.append(ReplyRefusal(waiter.id, refusal))
        return
    answer = {"message": refusal.message, "ran": refusal.ran.value}
    reason = refusal.type.value
    state.out.append(AnswerForward(waiter.id, REFUSED, answer, reason, refusal.retry_after_ms))


def parse_refusal(
    reason: str, answer: dict[str, Any], retry_after_ms: int | None
) -> Refusal | None:
    """Return the refusal that an owner gave to a forwarded call, or ``None`` if malformed."""
    try:
        return Refusal(
            RefusalType(reason), str(answer["message"]), Ran(answer["ran"]), retry_after_ms
        )
    except (KeyError, ValueError):
        return None
