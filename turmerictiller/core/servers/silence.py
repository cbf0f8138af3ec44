"""Detection of connections that have gone silent while new ones to the same server work."""

from __future__ import annotations

from typing import TYPE_CHECKING

from turmerictiller.core.effects import PollHealth, ResetConnections

if TYPE_CHECKING:
    from turmerictiller.core.state import Attempt, ServerState, State

MIN_SILENCE_MS = 100.0
SILENCE_FACTOR = 10.0  # a call this many times slower than usual counts as silent
RESET_INTERVAL_MS = 1_000.0
GIVEN_UP_FACTOR = 3.0
GIVEN_UP_LIMIT = 3


def is_silent(state: State, attempt: Attempt, server: ServerState) -> bool:
    """Return whether a call is unanswered though the server answered one sent after it."""
    return server.last_answered_sent_at > attempt.sent_at and _is_overdue(state, attempt, server)


def on_unanswered(state: State, attempt: Attempt, server: ServerState) -> bool:
    """Judge a call that ends without an answer; return whether its connection is to blame."""
    if attempt.spans_pause:
        return False
    if not is_silent(state, attempt, server):
        _suspect(state, attempt, server)
        return False
    state.counters["connections.silent"] += 1
    _reset(state, server)
    return True


def _suspect(state: State, attempt: Attempt, server: ServerState) -> None:
    """Poll a server at once if calls to it are given up one after the other.

    A search may stop waiting for a call long before the call counts as silent.
    """
    # Calls that are given up raise the average, so that the next ones would not count.
    if state.now - attempt.sent_at < GIVEN_UP_FACTOR * server.answered_slow_ms:
        return
    if attempt.sent_at < server.reset_at:
        # Its connection has been replaced meanwhile.
        return
    server.given_up_in_row += 1
    if server.given_up_in_row == GIVEN_UP_LIMIT:
        state.out.append(PollHealth(server.id, server.address))


def on_poll_answered(state: State, server: ServerState) -> None:
    """Replace kept connections if polls are answered while calls stay without an answer.

    Polls use connections of their own. The server may also be slow, so it is still charged.
    """
    if server.given_up_in_row >= GIVEN_UP_LIMIT:
        server.given_up_in_row = 0
        # These calls were sent after the last reset, so it did not replace their connections.
        _replace(state, server)
        return
    for attempt_id in server.attempt_ids:
        attempt = state.attempts_by_id.get(attempt_id)
        if attempt is not None and _is_overdue(state, attempt, server):
            _reset(state, server)
            return


def wants_fresh_connection(state: State, server: ServerState) -> bool:
    """Return whether the next call needs a connection of its own.

    A call that is sent before the poll is answered would be lost like those before. One at a time is
    enough to find out, and a server that is only slow is not burdened with more connections.
    """
    if server.given_up_in_row < GIVEN_UP_LIMIT:
        return False
    running = (state.attempts_by_id.get(attempt_id) for attempt_id in server.attempt_ids)
    return not any(attempt is not None and attempt.is_fresh for attempt in running)


def on_answered_call(state: State, attempt: Attempt, server: ServerState) -> None:
    """Take back the suspicion, or replace kept connections if only a new one is answered."""
    if attempt.is_fresh and server.given_up_in_row >= GIVEN_UP_LIMIT:
        _replace(state, server)
    server.given_up_in_row = 0


def _is_overdue(state: State, attempt: Attempt, server: ServerState) -> bool:
    usual_ms = max(MIN_SILENCE_MS, SILENCE_FACTOR * server.slow_ms)
    return not attempt.spans_pause and state.now - attempt.sent_at >= usual_ms


def _reset(state: State, server: ServerState) -> None:
    if state.now - server.reset_at >= RESET_INTERVAL_MS:
        _replace(state, server)


def _replace(state: State, server: ServerState) -> None:
    server.reset_at = state.now
    state.out.append(ResetConnections(server.id, server.address))
