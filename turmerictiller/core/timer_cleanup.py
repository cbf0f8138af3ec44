"""Removal of timers of ended calls, to keep their number proportional to the calls in flight."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from turmerictiller.core.state import TimerKind

if TYPE_CHECKING:
    from turmerictiller.core.state import State

MIN_TIMERS = 256  # a scan of fewer timers is not worthwhile


def remove_stale_timers(state: State) -> None:
    """Remove the timers of ended calls once the number of timers has doubled since the last scan.

    A deadline timer remains for seconds after its call was answered, and the rate of calls is
    unbounded.
    """
    timers = state.timers
    if len(timers) < timers.clean_at:
        return
    timers.retain(lambda kind, key: _is_live(state, kind, key))
    timers.clean_at = max(MIN_TIMERS, 2 * len(timers))


def _is_live(state: State, kind: TimerKind, key: Any) -> bool:
    if kind in (TimerKind.SEARCH_DEADLINE, TimerKind.EARLY_ANSWER):
        return key in state.searches_by_id
    if kind is TimerKind.HEDGE:
        return key[2] in state.attempts_by_id
    if kind is not TimerKind.RUN_DEADLINE:
        return True
    match key:
        case ("forward", call_id):
            return call_id in state.tickets.forwards_by_call
        case ("waiter", waiter_key):
            return waiter_key in state.tickets.sequences_by_waiter
        case ("run", sequence):
            record = state.tickets.records_by_sequence.get(sequence)
            return record is not None and record.run is not None
    return True
