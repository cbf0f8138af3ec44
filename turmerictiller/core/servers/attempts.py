"""Attempts: single calls to upstream servers, their start, end and cancellation."""

from __future__ import annotations

from typing import TYPE_CHECKING

from turmerictiller.core.effects import CancelAttempt, SendSearch
from turmerictiller.core.events import FailureKind
from turmerictiller.core.servers.budgets import credit_budgets
from turmerictiller.core.servers.limits import on_accepted, on_shed
from turmerictiller.core.servers.quarantine import on_server_lost, withdraw_blame
from turmerictiller.core.servers.server_selection import (
    choose_probe,
    choose_server,
    observe_cancelled,
    observe_latency,
)
from turmerictiller.core.servers.silent_connections import (
    needs_fresh_connection,
    on_call_answered,
    on_call_unanswered,
)
from turmerictiller.core.state import Attempt, Search, ServerState, ServicePart, State

if TYPE_CHECKING:
    from turmerictiller.core.events import AttemptAnswered, AttemptFailed

SERVER_FAILURES = frozenset(
    {
        FailureKind.UNSENT,
        FailureKind.REJECTED,
        FailureKind.LOST,
        FailureKind.TIMED_OUT,
        FailureKind.BAD_ANSWER,
    }
)


def start_attempt(state: State, search: Search, part: ServicePart, is_hedge: bool = False) -> bool:
    """Send a part of a search to a server; return whether it was sent.

    It is not sent if its budget is used up or no server has capacity.
    """
    if remaining_budget_ms(state, search) <= 0:
        return False
    server = _choose_server_or_probe(state, search, part, is_hedge)
    if server is None:
        return False
    attempt = new_attempt(state, search.call_id, part.service, server.id)
    attempt.is_hedge = is_hedge
    attempt.fingerprint = search.fingerprint
    attempt.is_fresh = needs_fresh_connection(state, server)
    part.attempt_ids.append(attempt.id)
    part.tried_server_ids.add(server.id)
    if not is_hedge:
        credit_budgets(state, part.service)
    state.out.append(
        SendSearch(
            attempt_id=attempt.id,
            wire_id=wire_id(state, attempt.id),
            server_id=server.id,
            address=server.address,
            service=part.service,
            snapshot=search.snapshot,
            query=search.query,
            k=search.k,
            after=search.after,
            budget_ms=remaining_budget_ms(state, search),
            timeout_ms=search.deadline_at - state.now,
            fresh=attempt.is_fresh,
        )
    )
    return True


def remaining_budget_ms(state: State, search: Search) -> float:
    """Return the time in ms until the deadline of a search, less the return margin."""
    return search.deadline_at - state.now - state.settings.return_margin_ms


def _choose_server_or_probe(
    state: State, search: Search, part: ServicePart, is_hedge: bool
) -> ServerState | None:
    if not part.tried_server_ids:
        probe = choose_probe(state, part.service, search.snapshot)
        part.is_probe = probe is not None
        if probe is not None:
            return probe
    avoid_domain = _domain_of_part(state, part) if is_hedge else ""
    return choose_server(state, part.service, search.snapshot, part.tried_server_ids, avoid_domain)


def _domain_of_part(state: State, part: ServicePart) -> str:
    attempt = state.attempts_by_id.get(part.attempt_ids[-1]) if part.attempt_ids else None
    server = state.servers_by_id.get(attempt.server_id) if attempt else None
    return server.domain if server else ""


def new_attempt(state: State, call_id: int, service: str, server_id: str) -> Attempt:
    """Create an attempt and register it as outstanding at its server."""
    attempt = Attempt(state.next_attempt_id, call_id, service, server_id, state.now)
    state.next_attempt_id += 1
    state.attempts_by_id[attempt.id] = attempt
    state.servers_by_id[server_id].attempt_ids[attempt.id] = state.now
    state.counters["attempts.sent"] += 1
    return attempt


def wire_id(state: State, attempt_id: int) -> str:
    """Return the identifier of an attempt that is unique across incarnations."""
    return f"{state.settings.incarnation}-{attempt_id}"


def end_attempt(state: State, attempt_id: int) -> Attempt | None:
    """Remove and return an attempt and release its server's capacity.

    Later events for the attempt are counted and ignored.
    """
    attempt = state.attempts_by_id.pop(attempt_id, None)
    if attempt is None:
        state.counters["attempts.late"] += 1
        return None
    server = state.servers_by_id.get(attempt.server_id)
    if server is not None:
        server.attempt_ids.pop(attempt_id, None)
        state.freed_services[server.service] = None
    return attempt


def cancel_attempts(state: State, part: ServicePart) -> None:
    """Cancel the outstanding attempts of a part."""
    for attempt_id in part.attempt_ids:
        attempt = state.attempts_by_id.get(attempt_id)
        if attempt is not None:
            end_attempt(state, attempt_id)
            _observe_cancelled(state, attempt)
            state.out.append(CancelAttempt(attempt_id))
    part.attempt_ids.clear()


def _observe_cancelled(state: State, attempt: Attempt) -> None:
    server = state.servers_by_id.get(attempt.server_id)
    if server is None or on_call_unanswered(state, attempt, server) or attempt.spans_pause:
        return
    observe_cancelled(server, state.now - attempt.sent_at)


def observe_answer(state: State, attempt: Attempt) -> None:
    """Update failure count, limit, latency and blame from an answered attempt."""
    server = state.servers_by_id.get(attempt.server_id)
    if server is None:
        return
    withdraw_blame(state, attempt)
    server.failures_in_row = 0
    on_call_answered(state, attempt, server)
    state.services_by_name[server.service].completed_at.append(state.now)
    on_accepted(state, server)
    if attempt.spans_pause:
        return
    observe_latency(state, server, state.now - attempt.sent_at)
    server.answered_slow_ms = server.slow_ms
    server.last_answered_sent_at = max(server.last_answered_sent_at, attempt.sent_at)


def observe_failure(state: State, attempt: Attempt, event: AttemptFailed) -> None:
    """Update failure count, limit and blame from a failed attempt."""
    state.counters[f"attempts.failed.{event.kind.value}"] += 1
    server = state.servers_by_id.get(attempt.server_id)
    if server is None or attempt.spans_pause:
        return
    if event.kind is FailureKind.TIMED_OUT and on_call_unanswered(state, attempt, server):
        return
    if event.kind in SERVER_FAILURES:
        server.failures_in_row += 1
    if event.kind is FailureKind.SHED:
        on_shed(state, server, attempt)
    if event.kind is FailureKind.LOST:
        on_server_lost(state, attempt, server)


def is_valid_answer(search: Search, part: ServicePart, event: AttemptAnswered) -> bool:
    """Return whether an answer has the search's snapshot and only shards of the part."""
    if event.snapshot != search.snapshot:
        return False
    shards = set(event.shards)
    return shards <= set(part.shards) and all(hit.shard in shards for hit in event.hits)
