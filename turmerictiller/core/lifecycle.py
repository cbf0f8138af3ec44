"""Process lifecycle: starting, running, draining, closing, stopped."""

from __future__ import annotations

from typing import TYPE_CHECKING

from turmerictiller.core.effects import CloseListeners, ReplyRefusal, Stop, WriteLog
from turmerictiller.core.events import RunArrived, SearchArrived, TicketRequested
from turmerictiller.core.peers.gossip_content import shutdown_messages
from turmerictiller.core.state import TimerKind
from turmerictiller.errors import Ran, Refusal, RefusalType
from turmerictiller.phases import ProcessPhase, next_phase

if TYPE_CHECKING:
    from turmerictiller.core.events import CallersLeft, Event, ShutdownRequested
    from turmerictiller.core.state import State

CHECK_INTERVAL_MS = 50
SHUTDOWN_RETRY_MS = 100

NOTICE_OVER = "notice_over"
CHECK = "check"
LIMIT = "limit"

_CALL_EVENTS = (SearchArrived, TicketRequested, RunArrived)
_BEFORE_SHUTDOWN = (ProcessPhase.STARTING, ProcessPhase.RUNNING)


def is_leaving(state: State) -> bool:
    """Return whether shutdown has begun; gossip announces this to peers."""
    return state.lifecycle.phase not in _BEFORE_SHUTDOWN


def is_closing(state: State) -> bool:
    """Return whether the drain notice period is over."""
    return state.lifecycle.phase in (ProcessPhase.CLOSING, ProcessPhase.STOPPED)


def enter_running_phase(state: State) -> None:
    """Switch from ``starting`` to ``running`` once a release note is in force."""
    if state.lifecycle.phase is ProcessPhase.STARTING and state.note is not None:
        _transition(state, "serve")


def on_shutdown_requested(state: State, event: ShutdownRequested) -> None:
    """Start draining; repeated requests are only counted."""
    if not _transition(state, "drain"):
        state.counters["shutdown.repeated"] += 1
        return
    settings = state.settings
    state.lifecycle.last_call_at = state.now
    state.lifecycle.ends_at = state.now + settings.shutdown_limit_ms
    state.timers.add(state.now + settings.drain_notice_ms, TimerKind.SHUTDOWN, NOTICE_OVER)
    state.timers.add(state.lifecycle.ends_at, TimerKind.SHUTDOWN, LIMIT)


def on_shutdown_timer(state: State, key: str) -> None:
    """Advance the shutdown when one of its timers fires."""
    if key == LIMIT:
        _stop(state)
        return
    if key == NOTICE_OVER:
        _transition(state, "close")
    _close_when_quiet(state)


def on_callers_left(state: State, event: CallersLeft) -> None:
    """Record that no caller is connected, and stop if no call is in flight."""
    state.lifecycle.callers_left = True
    _close_when_quiet(state)


def admit_call(state: State, event: Event) -> bool:
    """Return whether a call is admitted in the current phase; reply with a refusal if not."""
    if state.lifecycle.phase in _BEFORE_SHUTDOWN or not isinstance(event, _CALL_EVENTS):
        return True
    state.lifecycle.last_call_at = state.now
    if _may_serve(state, event):
        return True
    # An earlier call with the same ticket may already have run the request.
    refusal = shutdown_refusal(Ran.MAYBE if isinstance(event, RunArrived) else Ran.NO)
    state.counters[f"refusals.{refusal.type.value}"] += 1
    state.out.append(ReplyRefusal(event.call_id, refusal))
    return False


def shutdown_refusal(ran: Ran) -> Refusal:
    """Return the refusal of a call during shutdown."""
    message = "this instance is shutting down"
    return Refusal(RefusalType.SHUTTING_DOWN, message, ran, SHUTDOWN_RETRY_MS)


def _may_serve(state: State, event: SearchArrived | TicketRequested | RunArrived) -> bool:
    phase = state.lifecycle.phase
    if isinstance(event, TicketRequested) or phase is ProcessPhase.STOPPED:
        return False
    if isinstance(event, RunArrived):
        return phase is ProcessPhase.DRAINING
    # A search with a deadline after the end of the shutdown would be aborted.
    return event.at + _deadline_ms(state, event) < state.lifecycle.ends_at


def _deadline_ms(state: State, event: SearchArrived) -> float:
    if event.deadline_ms is not None:
        return event.deadline_ms
    front = state.note.configuration.fronts_by_name.get(event.front) if state.note else None
    return front.deadline_default_ms if front else 0.0


def _close_when_quiet(state: State) -> None:
    lifecycle = state.lifecycle
    if lifecycle.phase is not ProcessPhase.CLOSING:
        return
    has_runs = any(attempt.is_run for attempt in state.attempts_by_id.values())
    in_flight = has_runs or bool(state.searches_by_id) or bool(state.tickets.forwards_by_call)
    is_quiet = state.now - lifecycle.last_call_at >= state.settings.quiet_close_ms
    if is_quiet and not in_flight and not lifecycle.listeners_closed:
        lifecycle.listeners_closed = True
        state.out.append(CloseListeners())
    if lifecycle.callers_left and not in_flight:
        _stop(state)
        return
    state.timers.add(state.now + CHECK_INTERVAL_MS, TimerKind.SHUTDOWN, CHECK)


def _stop(state: State) -> None:
    if not _transition(state, "stop"):
        return
    if not state.lifecycle.listeners_closed:
        state.lifecycle.listeners_closed = True
        state.out.append(CloseListeners())
    state.out += shutdown_messages(state)
    state.out.append(Stop())


def _transition(state: State, trigger: str) -> bool:
    lifecycle = state.lifecycle
    previous, lifecycle.phase = lifecycle.phase, next_phase(lifecycle.phase, trigger)
    if lifecycle.phase is previous:
        return False
    state.out.append(WriteLog("lifecycle", f"The process is {lifecycle.phase.value}."))
    return True
