"""Attempts: single calls to servers, their start and end."""

from __future__ import annotations

from typing import TYPE_CHECKING

from turmerictiller.forwarding.contention import is_contested
from turmerictiller.forwarding.effects import SendAttempt
from turmerictiller.forwarding.quarantine import remaining_quarantine_ms
from turmerictiller.forwarding.server_selection import (
    choose_server,
    oldest_attempt_ms,
    on_probe_sent,
)
from turmerictiller.forwarding.servers import is_last_resort
from turmerictiller.forwarding.state import Attempt, route_times, service_state

if TYPE_CHECKING:
    from turmerictiller.forwarding.state import Part, Request, ServerState, State

RETURN_MARGIN_MS = 5.0  # an answer takes 1 to 3 ms back to the caller
MIN_BUDGET_MS = 1.0
# Time after a server of a service rejected an attempt in which the service gets no hedges.
SHED_BACKOFF_MS = 500.0


def choose_server_for_part(
    state: State, request: Request, index: int, is_extra: bool = False
) -> ServerState | None:
    """Return the best server that has not been tried for a part, or ``None``.

    A request that is quarantined while it is in flight gets no further server.

    Ejected servers are probed only with first attempts of idempotent requests: a retry or a hedge
    is already late.
    """
    if state.suspects_by_fingerprint and remaining_quarantine_ms(state, request.fingerprint):
        return None
    part = request.parts[index]
    route = request.route
    service = service_state(state, part.service)
    times = route_times(state, route.name)
    may_probe = route.idempotent and not is_extra
    return choose_server(state, service, times, part.tried_server_ids, may_probe)


def start_attempt(state: State, request: Request, index: int, is_extra: bool = False) -> bool:
    """Send a part to the best server that has not been tried; return whether there is one."""
    server = choose_server_for_part(state, request, index, is_extra)
    if server is None:
        return False
    send_to(state, request, index, server, is_extra)
    return True


def send_to(
    state: State, request: Request, index: int, server: ServerState, is_extra: bool
) -> Attempt:
    """Send a part to a server and return the attempt."""
    part = request.parts[index]
    route = request.route
    attempt = Attempt(
        state.next_attempt_id,
        request.call_id,
        index,
        route.name,
        part.service,
        server.entry.id,
        state.now,
        route.idempotent,
        request.fingerprint,
        is_extra,
        in_flight=len(server.sent_at_by_attempt),
        oldest_ms=oldest_attempt_ms(state, server),
    )
    if route.idempotent and not is_extra and not is_last_resort(state, server):
        on_probe_sent(state, server)
    state.next_attempt_id += 1
    state.attempts_by_id[attempt.id] = attempt
    server.sent_at_by_attempt[attempt.id] = state.now
    _count_attempt(part, attempt)
    budget_ms = max(MIN_BUDGET_MS, request.deadline_at - state.now - RETURN_MARGIN_MS)
    state.out.append(
        SendAttempt(
            attempt.id,
            request.call_id,
            server.entry.id,
            server.entry.address,
            budget_ms,
            fresh=not route.idempotent,
            await_acceptance=not route.idempotent or is_contested(state, server),
        )
    )
    return attempt


def _count_attempt(part: Part, attempt: Attempt) -> None:
    part.tried_server_ids.append(attempt.server_id)
    part.attempt_ids.append(attempt.id)
    part.possible_runs += 1
    part.send_count += 1


def end_attempt(state: State, attempt_id: int) -> tuple[Attempt, ServerState | None] | None:
    """Remove and return an attempt and release its server's capacity.

    Later events for the attempt are counted and ignored.

    :returns: the attempt and its server, or ``None`` in place of the server if it was replaced
        since; ``None`` if the attempt had already ended.
    """
    attempt = state.attempts_by_id.pop(attempt_id, None)
    if attempt is None:
        state.counters["attempts.late"] += 1
        return None
    state.freed_services.append(service_state(state, attempt.service))
    server = state.servers_by_id.get(attempt.server_id)
    if server is None or server.sent_at_by_attempt.pop(attempt_id, None) is None:
        return attempt, None
    return attempt, server
