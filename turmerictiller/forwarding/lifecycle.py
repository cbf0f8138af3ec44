"""Process lifecycle: starting, running, draining, closing, stopped."""

from __future__ import annotations

from typing import TYPE_CHECKING

from turmerictiller.forwarding.completion import on_request_deadline
from turmerictiller.forwarding.effects import CloseListeners, Stop, WriteLog
from turmerictiller.forwarding.state import TimerKind
from turmerictiller.phases import ProcessPhase, next_phase

if TYPE_CHECKING:
    from turmerictiller.forwarding.events import CallersLeft, ShutdownRequested
    from turmerictiller.forwarding.state import State

# The load balancer checks health once a second and removes an instance after two failed checks.
DRAIN_NOTICE_MS = 2_600.0
END_MARGIN_MS = 300.0  # time between the last answer and the kill of the process

NOTICE_OVER = "notice_over"
LIMIT = "limit"


def on_shutdown_requested(state: State, event: ShutdownRequested) -> None:
    """Start draining; a repeated request has no effect."""
    if not _transition(state, "drain"):
        return
    state.ends_at = state.now + state.settings.grace_ms - END_MARGIN_MS
    for request in state.requests_by_call.values():
        if request.deadline_at > state.ends_at:
            request.deadline_at = state.ends_at
            state.timers.add(state.ends_at, TimerKind.DEADLINE, request.call_id)
    state.timers.add(state.now + DRAIN_NOTICE_MS, TimerKind.SHUTDOWN, NOTICE_OVER)
    state.timers.add(state.ends_at + END_MARGIN_MS / 2, TimerKind.SHUTDOWN, LIMIT)


def on_shutdown_timer(state: State, key: str) -> None:
    """Advance the shutdown when one of its timers fires."""
    if key == NOTICE_OVER and _transition(state, "close"):
        state.out.append(CloseListeners())
    elif key == LIMIT:
        _stop(state)


def on_callers_left(state: State, event: CallersLeft) -> None:
    """Stop the process after the last caller has disconnected."""
    if state.phase is ProcessPhase.CLOSING:
        _stop(state)


def enter_running_phase(state: State) -> None:
    """Switch from ``starting`` to ``running`` once configuration and servers were received."""
    if (
        state.phase is ProcessPhase.STARTING
        and state.configuration is not None
        and state.servers_listed
    ):
        _transition(state, "serve")


def _stop(state: State) -> None:
    """Stop the process, with an answer to each request that is still in flight.

    Deadlines end requests before the limit, but a pause of the process may delay them beyond it.
    """
    if _transition(state, "stop"):
        for call_id in list(state.requests_by_call):
            on_request_deadline(state, call_id)
        state.out.append(Stop())


def _transition(state: State, trigger: str) -> bool:
    previous, state.phase = state.phase, next_phase(state.phase, trigger)
    if state.phase is previous:
        return False
    state.out.append(WriteLog("phase", {"phase": state.phase.value}, urgent=True))
    return True
