"""Life of the process: starting, running, draining, closing, stopped."""

from __future__ import annotations

from typing import TYPE_CHECKING

from turmerictiller.core.effects import CloseListeners, ReplyRefusal, Stop, WriteLog
from turmerictiller.core.events import RunArrived, SearchArrived, TicketRequested
from turmerictiller.core.peers.gossip_content import farewell
from turmerictiller.core.state import TimerKind
from turmerictiller.errors import Ran, Refusal, RefusalType
from turmerictiller.phases import ProcessPhase, next_phase

if TYPE_CHECKING:
    from turmerictiller.core.events import CallersLeft, Event, ShutdownRequested
    from turmerictiller.core.state import State

CHECK_INTERVAL_MS = 50
RETRY_ELSEWHERE_MS = 100

NOTICE_OVER = "notice_over"
CHECK = "check"
LIMIT = "limit"

_CALL_EVENTS = (SearchArrived, TicketRequested, RunArrived)
_BEFORE_SHUTDOWN = (ProcessPhase.STARTING, ProcessPhase.RUNNING)


def is_leaving(state: State) -> bool:
    """Return whether this instance is on its way out; gossip tells it to peers."""
    return state.lifecycle.phase not in _BEFORE_SHUTDOWN


def is_closing(state: State) -> bool:
    """Return whether the notice time is over."""
    return state.lifecycle.phase in (ProcessPhase.CLOSING, ProcessPhase.STOPPED)


def enter_running_phase(state: State) -> None:
    """Leave ``starting`` once a release note is in force."""
    if state.lifecycle.phase is ProcessPhase.STARTING and state.note is not None:
        _move(state, "serve")


def on_shutdown_requested(state: State, event: ShutdownRequested) -> None:
    """Begin to drain; a later request changes nothing."""
    if not _move(state, "drain"):
        state.counters["shutdown.repeated"] += 1
        return
    settings = state.settings
    state.lifecycle.last_call_at = state.now
    state.lifecycle.ends_at = state.now + settings.shutdown_limit_ms
    state.timers.add(state.now + settings.drain_notice_ms, TimerKind.SHUTDOWN, NOTICE_OVER)
    state.timers.add(state.lifecycle.ends_at, TimerKind.SHUTDOWN, LIMIT)


def on_shutdown_timer(state: State, key: str) -> None:
    """Take the next step of a shutdown if its time has come."""
    if key == LIMIT:
        _stop(state)
        return
    if key == NOTICE_OVER:
        _move(state, "close")
    _close_when_quiet(state)


def on_callers_left(state: State, event: CallersLeft) -> None:
    """Stop once nothing runs on behalf of callers or peers."""
    state.lifecycle.callers_left = True
    _close_when_quiet(state)


def admit_call(state: State, event: Event) -> bool:
    """Return whether a call may go on in this phase; refuse it if not."""
    if state.lifecycle.phase in _BEFORE_SHUTDOWN or not isinstance(event, _CALL_EVENTS):
        return True
    state.lifecycle.last_call_at = state.now
    if _is_served(state, event):
        return True
    # An earlier call under the ticket of a run may have run.
    refusal = shutdown_refusal(Ran.MAYBE if isinstance(event, RunArrived) else Ran.NO)
    state.counters[f"refusals.{refusal.type.value}"] += 1
    state.out.append(ReplyRefusal(event.call_id, refusal))
    return False


def shutdown_refusal(ran: Ran) -> Refusal:
    """Return the refusal of a call that came too late for this instance."""
    message = "this instance is shutting down"
    return Refusal(RefusalType.SHUTTING_DOWN, message, ran, RETRY_ELSEWHERE_MS)


def _is_served(state: State, event: SearchArrived | TicketRequested | RunArrived) -> bool:
    phase = state.lifecycle.phase
    if isinstance(event, TicketRequested) or phase is ProcessPhase.STOPPED:
        return False
    if isinstance(event, RunArrived):
        return phase is ProcessPhase.DRAINING
    # A search that could outlast the shutdown would be cut off.
    return event.at + _deadline_ms(state, event) < state.lifecycle.ends_at


def _deadline_ms(state: State, event: SearchArrived) -> float:
    if event.deadline_ms is not None:
        return event.deadline_ms
    front = state.note.configuration.fronts_by_name.get(event.front) if state.note else None
    return front.deadline_default_ms if front else 0.0


def _close_when_quiet(state: State) -> None:
    life = state.lifecycle
    if life.phase is not ProcessPhase.CLOSING:
        return
    runs = any(attempt.is_run for attempt in state.attempts_by_id.values())
    in_flight = runs or bool(state.searches_by_id) or bool(state.tickets.forwards_by_call)
    is_quiet = state.now - life.last_call_at >= state.settings.quiet_close_ms
    if is_quiet and not in_flight and not life.listeners_closed:
        life.listeners_closed = True
        state.out.append(CloseListeners())
    if life.callers_left and not in_flight:
        _stop(state)
        return
    state.timers.add(state.now + CHECK_INTERVAL_MS, TimerKind.SHUTDOWN, CHECK)


def _stop(state: State) -> None:
    if not _move(state, "stop"):
        return
    if not state.lifecycle.listeners_closed:
        state.lifecycle.listeners_closed = True
        state.out.append(CloseListeners())
    state.out += farewell(state)
    state.out.append(Stop())


def _move(state: State, trigger: str) -> bool:
    life = state.lifecycle
    before, life.phase = life.phase, next_phase(life.phase, trigger)
    if life.phase is before:
        return False
    state.out.append(WriteLog("lifecycle", f"The process is {life.phase.value}."))
    return True
