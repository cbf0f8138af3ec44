"""Graceful end of the process."""

from __future__ import annotations

from typing import TYPE_CHECKING

from turmerictiller.forwarding.effects import CloseListeners, LogDecision, Stop
from turmerictiller.forwarding.state import TimerKind
from turmerictiller.phases import ProcessPhase, next_phase

if TYPE_CHECKING:
    from turmerictiller.forwarding.events import CallersLeft, ShutdownRequested
    from turmerictiller.forwarding.state import State

# The balancer asks once a second and takes an instance out after two misses.
NOTICE_MS = 2_600.0
END_MARGIN_MS = 300.0  # between the last answer and the kill

NOTICE_OVER = "notice_over"
LIMIT = "limit"


def on_shutdown_requested(state: State, event: ShutdownRequested) -> None:
    """Begin to drain; a later request changes nothing."""
    if not _move(state, "drain"):
        return
    state.ends_at = state.now + state.settings.grace_ms - END_MARGIN_MS
    for request in state.requests_by_call.values():
        if request.deadline_at > state.ends_at:
            request.deadline_at = state.ends_at
            state.timers.add(state.ends_at, TimerKind.DEADLINE, request.call_id)
    state.timers.add(state.now + NOTICE_MS, TimerKind.SHUTDOWN, NOTICE_OVER)
    state.timers.add(state.ends_at + END_MARGIN_MS / 2, TimerKind.SHUTDOWN, LIMIT)


def on_shutdown_timer(state: State, key: str) -> None:
    """Take the next step of a shutdown."""
    if key == NOTICE_OVER and _move(state, "close"):
        state.out.append(CloseListeners())
    elif key == LIMIT:
        _stop(state)


def on_callers_left(state: State, event: CallersLeft) -> None:
    """Stop once no caller is connected."""
    if state.phase is ProcessPhase.CLOSING:
        _stop(state)


def observe_readiness(state: State) -> None:
    """Leave ``starting`` once a configuration and the servers are known."""
    if (
        state.phase is ProcessPhase.STARTING
        and state.configuration is not None
        and state.servers_listed
    ):
        _move(state, "serve")


def _stop(state: State) -> None:
    if _move(state, "stop"):
        state.out.append(Stop())


def _move(state: State, trigger: str) -> bool:
    before, state.phase = state.phase, next_phase(state.phase, trigger)
    if state.phase is before:
        return False
    state.out.append(LogDecision("phase", {"phase": state.phase.value}, urgent=True))
    return True
