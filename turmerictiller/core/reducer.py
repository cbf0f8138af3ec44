"""Reducer: applies each event to the state and returns the resulting effects."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from turmerictiller.core import events, housekeeping, lifecycle, pauses
from turmerictiller.core.configuration import notes_in_force
from turmerictiller.core.effects import WakeAt
from turmerictiller.core.peers import gossip
from turmerictiller.core.searches import hedging, searches
from turmerictiller.core.servers import membership, snapshot
from turmerictiller.core.state import TimerKind
from turmerictiller.core.tickets import forwards as ticket_forwards
from turmerictiller.core.tickets import runs as ticket_runs
from turmerictiller.core.tickets import tickets
from turmerictiller.core.timer_cleanup import remove_stale_timers

if TYPE_CHECKING:
    from collections.abc import Callable

    from turmerictiller.core.effects import Effect
    from turmerictiller.core.state import State


def _is_run(state: State, attempt_id: int) -> bool:
    attempt = state.attempts_by_id.get(attempt_id)
    return attempt is not None and attempt.is_run


def _on_caller_gone(state: State, event: events.CallerGone) -> None:
    searches.on_caller_gone(state, event)
    tickets.on_caller_gone(state, event)


def _on_attempt_answered(state: State, event: events.AttemptAnswered) -> None:
    if not _is_run(state, event.attempt_id):
        searches.on_attempt_answered(state, event)


def _on_run_answered(state: State, event: events.RunAnswered) -> None:
    if _is_run(state, event.attempt_id):
        ticket_runs.on_run_answered(state, event)
    elif event.attempt_id not in state.attempts_by_id:
        state.counters["attempts.late"] += 1


def _on_attempt_failed(state: State, event: events.AttemptFailed) -> None:
    if _is_run(state, event.attempt_id):
        ticket_runs.on_run_failed(state, event)
    else:
        searches.on_attempt_failed(state, event)


HANDLER_BY_EVENT: dict[type, Callable[[State, Any], None]] = {
    events.SearchArrived: searches.on_search_arrived,
    events.CallerGone: _on_caller_gone,
    events.AttemptAnswered: _on_attempt_answered,
    events.RunAnswered: _on_run_answered,
    events.AttemptFailed: _on_attempt_failed,
    events.TicketRequested: tickets.on_ticket_requested,
    events.RunArrived: tickets.on_run_arrived,
    events.RunForwarded: tickets.on_run_forwarded,
    events.ForwardAnswered: ticket_forwards.on_forward_answered,
    events.ForwardFailed: ticket_forwards.on_forward_failed,
    events.NoteSeen: notes_in_force.on_note_seen,
    events.InstanceListSeen: membership.on_instance_list_seen,
    events.GossipReceived: gossip.on_gossip_received,
    events.PeerFailed: gossip.on_peer_failed,
    events.HealthReported: membership.on_health_reported,
    events.HealthFailed: membership.on_health_failed,
    events.ShardMapSeen: snapshot.on_shard_map_seen,
    events.ShutdownRequested: lifecycle.on_shutdown_requested,
    events.CallersLeft: lifecycle.on_callers_left,
}

HANDLER_BY_TIMER: dict[TimerKind, Callable[[State, Any], None]] = {
    TimerKind.SEARCH_DEADLINE: searches.on_search_deadline,
    TimerKind.HEDGE: hedging.on_hedge_due,
    TimerKind.EARLY_ANSWER: searches.on_early_answer_check,
    TimerKind.RUN_DEADLINE: tickets.on_deadline,
    TimerKind.GOSSIP: gossip.on_gossip_round,
    TimerKind.HEALTH_POLL: membership.on_health_poll,
    TimerKind.SHUTDOWN: lifecycle.on_shutdown_timer,
    TimerKind.HOUSEKEEPING: housekeeping.on_housekeeping,
}


def reduce(state: State, event: events.Event) -> list[Effect]:
    """Apply one event to the state and return the effects, in order."""
    pauses.observe_time(state, event.at)
    pauses.start_housekeeping(state)
    _run_due_timers(state)
    handler = HANDLER_BY_EVENT.get(type(event))
    if lifecycle.admit_call(state, event) and handler is not None:
        handler(state, event)
        lifecycle.enter_running_phase(state)
        _run_due_timers(state)
    searches.dispatch_queued_parts(state)
    remove_stale_timers(state)
    _request_wake(state)
    effects, state.out = state.out, []
    return effects


def recover(state: State) -> list[Effect]:
    """Return the effects left by an event whose handler raised, and request the wake-up again."""
    state.wake_at = None
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
