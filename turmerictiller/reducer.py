"""The one reducer: every event changes the state and yields effects."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from turmerictiller import events, hedging, membership, notes_in_force, searches, snapshot
from turmerictiller.effects import WakeAt
from turmerictiller.state import TimerKind

if TYPE_CHECKING:
    from collections.abc import Callable

    from turmerictiller.effects import Effect
    from turmerictiller.state import State

HANDLER_BY_EVENT: dict[type, Callable[[State, Any], None]] = {
    events.SearchArrived: searches.on_search_arrived,
    events.CallerGone: searches.on_caller_gone,
    events.AttemptAnswered: searches.on_attempt_answered,
    events.AttemptFailed: searches.on_attempt_failed,
    events.NoteSeen: notes_in_force.on_note_seen,
    events.HealthReported: membership.on_health_reported,
    events.HealthFailed: membership.on_health_failed,
    events.ShardMapSeen: snapshot.on_shard_map_seen,
}

HANDLER_BY_TIMER: dict[TimerKind, Callable[[State, Any], None]] = {
    TimerKind.SEARCH_DEADLINE: searches.on_search_deadline,
    TimerKind.HEDGE: hedging.on_hedge_due,
    TimerKind.HEALTH_POLL: membership.on_health_poll,
}


def reduce(state: State, event: events.Event) -> list[Effect]:
    """Apply one event to the state and return the effects, in order."""
    state.now = max(state.now, event.at)
    _run_due_timers(state)
    handler = HANDLER_BY_EVENT.get(type(event))
    if handler is not None:
        handler(state, event)
        _run_due_timers(state)
    searches.serve_waiting(state)
    _request_wake(state)
    effects, state.out = state.out, []
    return effects


def _run_due_timers(state: State) -> None:
    while (due := state.timers.pop_due(state.now)) is not None:
        kind, key = due
        handler = HANDLER_BY_TIMER.get(kind)
        if handler is not None:
            handler(state, key)


def _request_wake(state: State) -> None:
    wake_at = state.timers.next_at()
    if wake_at is not None and wake_at != state.wake_at:
        state.out.append(WakeAt(wake_at))
    state.wake_at = wake_at
