"""Retry policy of failed search calls."""

from __future__ import annotations

from typing import TYPE_CHECKING

from turmerictiller.core.events import FailureKind
from turmerictiller.core.servers.budgets import charge_retry_token

if TYPE_CHECKING:
    from turmerictiller.core.state import ServicePart, State

# The upstream did no work for these failures, so a retry at another server
# replaces the call instead of adding load.
UNBUDGETED_FAILURES = frozenset(
    {FailureKind.UNSENT, FailureKind.SHED, FailureKind.DRAINING, FailureKind.SNAPSHOT_GONE}
)


def may_retry(state: State, part: ServicePart, kind: FailureKind) -> bool:
    """Return whether a part may be retried after a failure; charge the retry budget if needed.

    Each server is tried at most once per part. A part that was shed is queued until a server that
    was not tried yet has capacity.
    """
    if kind in UNBUDGETED_FAILURES:
        return True
    return charge_retry_token(state, part.service)
