"""Detection of silent connections: calls time out on them while the server answers others."""

from __future__ import annotations

from typing import TYPE_CHECKING

from turmerictiller.core.effects import PollHealth, ResetConnections

if TYPE_CHECKING:
    from turmerictiller.core.state import Attempt, ServerState, State

MIN_OVERDUE_MS = 100.0
OVERDUE_LATENCY_FACTOR = 10.0  # a call is overdue at this multiple of the average latency
RESET_INTERVAL_MS = 1_000.0
GIVEN_UP_LATENCY_FACTOR = 3.0
GIVEN_UP_CALLS_LIMIT = 3


def is_silent(state: State, attempt: Attempt, server: ServerState) -> bool:
    """Return whether a call is overdue although the server answered a call sent after it."""
    return server.last_answered_sent_at > attempt.sent_at and _is_overdue(state, attempt, server)


def on_call_unanswered(state: State, attempt: Attempt, server: ServerState) -> bool:
    """Handle a call that ended without an answer; return whether its connection is at fault."""
    if attempt.spans_pause:
        return False
    if not is_silent(state, attempt, server):
        _count_given_up_call(state, attempt, server)
        return False
    state.counters["connections.silent"] += 1
    _reset_at_limited_rate(state, server)
    return True


def _count_given_up_call(state: State, attempt: Attempt, server: ServerState) -> None:
    """Count consecutive calls that were given up; at the limit, poll the server's health.

    A search may stop waiting for a call long before the call is overdue.
    """
    # Compares with the average at the last answer: calls that are given up raise the current
    # average, so that the following ones would not be counted.
    if state.now - attempt.sent_at < GIVEN_UP_LATENCY_FACTOR * server.answered_slow_ms:
        return
    if attempt.sent_at < server.reset_at:
        # The connection of this call has been reset since.
        return
    server.given_up_in_row += 1
    if server.given_up_in_row == GIVEN_UP_CALLS_LIMIT:
        state.out.append(PollHealth(server.id, server.address))


def on_poll_answered(state: State, server: ServerState) -> None:
    """Reset pooled connections if a health poll is answered while calls remain unanswered.

    Polls use separate connections. The server may also be just slow, so the failures are still
    charged to it.
    """
    if server.given_up_in_row >= GIVEN_UP_CALLS_LIMIT:
        server.given_up_in_row = 0
        # No rate limit: these calls were sent after the last reset, on connections opened since.
        _reset_connections(state, server)
        return
    for attempt_id in server.attempt_ids:
        attempt = state.attempts_by_id.get(attempt_id)
        if attempt is not None and _is_overdue(state, attempt, server):
            _reset_at_limited_rate(state, server)
            return


def needs_fresh_connection(state: State, server: ServerState) -> bool:
    """Return whether the next call should open a new connection.

    Until the health poll is answered, a call on a pooled connection would be lost like those before
    it. Only one call at a time opens a connection: one is enough to tell whether the pooled
    connections are silent, and a slow server is not loaded with more connections.
    """
    if server.given_up_in_row < GIVEN_UP_CALLS_LIMIT:
        return False
    outstanding = (state.attempts_by_id.get(attempt_id) for attempt_id in server.attempt_ids)
    return not any(attempt is not None and attempt.is_fresh for attempt in outstanding)


def on_call_answered(state: State, attempt: Attempt, server: ServerState) -> None:
    """Reset the count of given-up calls; reset pooled connections if a new one was answered."""
    if attempt.is_fresh and server.given_up_in_row >= GIVEN_UP_CALLS_LIMIT:
        _reset_connections(state, server)
    server.given_up_in_row = 0


def _is_overdue(state: State, attempt: Attempt, server: ServerState) -> bool:
    overdue_ms = max(MIN_OVERDUE_MS, OVERDUE_LATENCY_FACTOR * server.slow_ms)
    return not attempt.spans_pause and state.now - attempt.sent_at >= overdue_ms


def _reset_at_limited_rate(state: State, server: ServerState) -> None:
    if state.now - server.reset_at >= RESET_INTERVAL_MS:
        _reset_connections(state, server)


def _reset_connections(state: State, server: ServerState) -> None:
    server.reset_at = state.now
    state.out.append(ResetConnections(server.id, server.address))
