"""Replies to run requests that came from a caller or were forwarded by a peer."""

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
    """Send the outcome of a run request to the caller or the forwarding peer."""
    state.counters[f"runs.told.{outcome.outcome}"] += 1
    kind = AnswerForward if waiter.is_forward else ReplyOutcome
    state.out.append(
        kind(waiter.id, outcome.outcome, outcome.answer, outcome.reason, outcome.retry_after_ms)
    )


def reply_refusal(state: State, waiter: Waiter, refusal: Refusal) -> None:
    """Send a refusal of a run request to the caller or the forwarding peer."""
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
    """Parse the refusal of a forwarded call; return ``None`` if it is malformed."""
    try:
        return Refusal(
            RefusalType(reason), str(answer["message"]), Ran(answer["ran"]), retry_after_ms
        )
    except (KeyError, ValueError):
        return None
