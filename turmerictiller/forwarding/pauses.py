"""Pauses of the process, and the correction of the times that they distort.

A process that is suspended, or gets no processor time, resumes with answers in its sockets that it
has not read. Timers that became due in the meantime would run first: they would hedge, answer
without or give up the parts whose answers have arrived, and the pause would count as answer time of
every server. The time of a pause therefore does not count as time of an attempt, and timers that
give up on an answer run only after the sockets have been read. The deadlines of callers hold.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from turmerictiller.forwarding.effects import WriteLog
from turmerictiller.forwarding.state import TimerKind

if TYPE_CHECKING:
    from turmerictiller.clock import Millis
    from turmerictiller.forwarding.state import State

# A process with a quota of processor time may get none for the rest of a period of 100 ms.
PAUSE_THRESHOLD_MS = 100.0
CATCH_UP_MS = 20.0  # time to read the data that arrived during a pause
TIMERS_OF_ATTEMPTS = frozenset({TimerKind.HEDGE, TimerKind.TARGET, TimerKind.ABANDON})


def observe_time(state: State, at: Millis) -> None:
    """Advance the state's clock, never backwards, and correct times after a pause."""
    pause_ms = _pause_ms(state, at)
    state.now = max(state.now, at)
    if pause_ms > PAUSE_THRESHOLD_MS:
        _exclude_pause(state, pause_ms)


def _pause_ms(state: State, at: Millis) -> Millis:
    """Return for how long the process cannot have run; 0 if no timer was due."""
    if state.wake_at is None:
        return 0.0
    return at - max(state.now, state.wake_at)


def _exclude_pause(state: State, pause_ms: Millis) -> None:
    resumed_at = state.now
    for attempt in state.attempts_by_id.values():
        attempt.sent_at += pause_ms
    for server in state.servers_by_id.values():
        for attempt_id in server.sent_at_by_attempt:
            server.sent_at_by_attempt[attempt_id] += pause_ms
    for request in state.requests_by_call.values():
        request.target_at += pause_ms

    def new_time(at: Millis, kind: TimerKind) -> Millis:
        if kind in TIMERS_OF_ATTEMPTS:
            return max(at + pause_ms, resumed_at + CATCH_UP_MS)
        if kind is TimerKind.DEADLINE:
            return max(at, resumed_at + CATCH_UP_MS)
        return at

    state.timers.reschedule(new_time)
    state.wake_at = None
    state.counters["pauses"] += 1
    fields = {"ms": round(pause_ms), "requests": len(state.requests_by_call)}
    state.out.append(WriteLog("process_paused", fields, urgent=True))
