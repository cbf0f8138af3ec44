"""Early partial answers: when waiting for the missing parts of a search is no longer worthwhile."""

from __future__ import annotations

from typing import TYPE_CHECKING

from turmerictiller.core.state import TimerKind

if TYPE_CHECKING:
    from turmerictiller.core.state import Search, ServicePart, State

WAIT_MS_PER_COVERAGE = 2_000.0  # wait that the full coverage is worth
LATE_FACTOR = 2.0
LATE_QUANTILE = 0.99
MIN_SAMPLES = 20
CHECK_INTERVAL_MS = 20.0


def schedule_early_answer_check(state: State, search: Search) -> None:
    """Schedule the next early-answer check of a search that meets its coverage floor."""
    if search.is_watched or not _meets_coverage_floor(search):
        return
    search.is_watched = True
    state.timers.add(state.now + CHECK_INTERVAL_MS, TimerKind.EARLY_ANSWER, search.call_id)


def _meets_coverage_floor(search: Search) -> bool:
    merged, total = _count_merged_and_total(search)
    return merged > 0 and merged >= search.front.coverage_floor * total


def _count_merged_and_total(search: Search) -> tuple[int, int]:
    parts = search.parts_by_service.values()
    return sum(len(part.merged_shards) for part in parts), sum(len(part.shards) for part in parts)


def should_stop(state: State, search: Search) -> bool:
    """Return whether the expected wait exceeds the value of the missing coverage.

    A share of the coverage is worth a wait of ``WAIT_MS_PER_COVERAGE`` times that share. A late
    call is expected to take as long again as it has already taken.
    """
    missing = [part for part in search.parts_by_service.values() if not part.resolved]
    waits = [_expected_wait_ms(state, part) for part in missing]
    if not waits or None in waits:
        return False
    total = _count_merged_and_total(search)[1]
    missing_share = sum(len(part.shards) for part in missing) / total
    return min(wait for wait in waits if wait is not None) > WAIT_MS_PER_COVERAGE * missing_share


def _expected_wait_ms(state: State, part: ServicePart) -> float | None:
    """Return the expected wait for a late part in ms, or ``None`` if the part is not late.

    A part is late if its last call takes longer than ``LATE_FACTOR`` times the latency at
    ``LATE_QUANTILE``.
    """
    sent_at = [state.attempts_by_id[item].sent_at for item in part.attempt_ids]
    times = state.services_by_name[part.service].times
    if not sent_at or times.weight < MIN_SAMPLES:
        return None
    age_ms = state.now - max(sent_at)
    return age_ms if age_ms > LATE_FACTOR * times.quantile(LATE_QUANTILE) else None


def mark_missing_parts(search: Search) -> None:
    """Set the missing reason of all unresolved parts to ``not_waited_for``."""
    for part in search.parts_by_service.values():
        if not part.resolved:
            part.missing_reason = "not_waited_for"
