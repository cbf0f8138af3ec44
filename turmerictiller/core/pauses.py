"""Detection of process pauses, and invalidation of observations that a pause made stale."""

from __future__ import annotations

from typing import TYPE_CHECKING

from turmerictiller.core.effects import WriteLog
from turmerictiller.core.state import TimerKind

if TYPE_CHECKING:
    from turmerictiller.clock import Millis
    from turmerictiller.core.state import State

HOUSEKEEPING_INTERVAL_MS = 100.0


def observe_time(state: State, at: Millis) -> None:
    """Advance the state's clock, never backwards, and detect a pause before an event is handled."""
    gap_ms = at - state.now
    state.now = max(state.now, at)
    if state.housekeeping_started and gap_ms > state.settings.pause_threshold_ms:
        _handle_pause(state, gap_ms)


def start_housekeeping(state: State) -> None:
    """Schedule the first housekeeping; without this timer an idle instance would appear paused."""
    if not state.housekeeping_started:
        state.housekeeping_started = True
        state.timers.add(state.now + HOUSEKEEPING_INTERVAL_MS, TimerKind.HOUSEKEEPING)


def _handle_pause(state: State, gap_ms: float) -> None:
    state.counters["pauses"] += 1
    state.resumed_at = state.now
    # The pause must not be counted as latency of a server.
    for attempt in state.attempts_by_id.values():
        attempt.spans_pause = True
    for server in state.servers_by_id.values():
        server.attempt_ids = dict.fromkeys(server.attempt_ids, state.now)
        server.status_at = float("-inf")
        server.reported_load_at = float("-inf")
    message = f"The process was paused for {gap_ms:.0f} ms."
    state.out.append(WriteLog("pauses", message))
