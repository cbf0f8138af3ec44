"""When a search stops waiting and is answered with partial coverage."""

from __future__ import annotations

from typing import TYPE_CHECKING

from turmerictiller.core.state import TimerKind

if TYPE_CHECKING:
    from turmerictiller.core.state import Search, ServicePart, State

WAIT_MS_PER_COVERAGE = 2_000.0
LATE_FACTOR = 2.0
LATE_QUANTILE = 0.99
MIN_SAMPLES = 20
CHECK_MS = 20.0


def watch(state: State, search: Search) -> None:
    """Look at a search regularly from the moment at which its floor is met."""
    if search.is_watched or not _meets_floor(search):
        return
    search.is_watched = True
    state.timers.add(state.now + CHECK_MS, TimerKind.EARLY_ANSWER, search.call_id)


def _meets_floor(search: Search) -> bool:
    merged, total = _merged_and_total(search)
    return merged > 0 and merged >= search.front.coverage_floor * total


def _merged_and_total(search: Search) -> tuple[int, int]:
    parts = search.parts_by_service.values()
    return sum(len(part.merged_shards) for part in parts), sum(len(part.shards) for part in parts)


def should_stop(state: State, search: Search) -> bool:
    """Return whether the missing coverage is worth less than the wait for it.

    Each share of coverage is worth ``WAIT_MS_PER_COVERAGE`` times that share. A call that is late
    is expected to take as long again as it has taken.
    """
    missing = [part for part in search.parts_by_service.values() if not part.resolved]
    waits = [_expected_wait_ms(state, part) for part in missing]
    if not waits or None in waits:
        return False
    total = _merged_and_total(search)[1]
    share = sum(len(part.shards) for part in missing) / total
    return min(wait for wait in waits if wait is not None) > WAIT_MS_PER_COVERAGE * share


def _expected_wait_ms(state: State, part: ServicePart) -> float | None:
    """Return the expected wait for a part that is late, or ``None`` for one that is not."""
    sent_at = [state.attempts_by_id[item].sent_at for item in part.attempt_ids]
    times = state.services_by_name[part.service].times
    if not sent_at or times.weight < MIN_SAMPLES:
        return None
    age_ms = state.now - max(sent_at)
    return age_ms if age_ms > LATE_FACTOR * times.quantile(LATE_QUANTILE) else None


def give_up_missing(search: Search) -> None:
    """Mark the missing parts as not waited for."""
    for part in search.parts_by_service.values():
        if not part.resolved:
            part.missing_reason = "not_waited_for"
