"""Retries of failed calls of searches: which are allowed, and how many."""

from __future__ import annotations

from typing import TYPE_CHECKING

from turmerictiller.core.events import FailureKind
from turmerictiller.core.servers.budgets import take_retry_token

if TYPE_CHECKING:
    from turmerictiller.core.state import ServicePart, State

# The upstream did no work for these, so that a retry elsewhere replaces the call.
FREE_FAILURES = frozenset(
    {FailureKind.UNSENT, FailureKind.SHED, FailureKind.DRAINING, FailureKind.SNAPSHOT_GONE}
)


def may_retry(state: State, part: ServicePart, kind: FailureKind) -> bool:
    """Return whether a part may be sent again after a failure, and charge the retry budget.

    A part that was shed then waits for a server with room, and each server is tried once.
    """
    if kind in FREE_FAILURES:
        return True
    return take_retry_token(state, part.service)
