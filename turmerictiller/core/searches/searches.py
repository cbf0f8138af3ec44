"""Lifecycle of a search: validate, scatter, gather, answer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from turmerictiller.core.effects import ReplyRefusal, ReplySearch
from turmerictiller.core.events import FailureKind
from turmerictiller.core.searches.admission import peek_queued_part, pop_queued_part, refuse_early
from turmerictiller.core.searches.checks import (
    RETRY_AFTER_MS,
    prepare_search,
    quarantine_refusal,
    set_parts,
)
from turmerictiller.core.searches.early_answers import (
    mark_missing_parts,
    schedule_early_answer_check,
    should_stop,
)
from turmerictiller.core.searches.lost_parts import may_resend, release_held_parts
from turmerictiller.core.searches.merge import Cursor, encode_cursor, hits_after, rank, top_k
from turmerictiller.core.searches.parts import dispatch_queued_part, send_or_enqueue, send_part
from turmerictiller.core.searches.retries import may_retry
from turmerictiller.core.servers.attempts import (
    cancel_attempts,
    end_attempt,
    is_valid_answer,
    observe_answer,
    observe_failure,
)
from turmerictiller.core.servers.membership import observe_status
from turmerictiller.core.servers.quarantine import (
    begin_test,
    end_test,
    remaining_quarantine_ms,
    service_to_test,
)
from turmerictiller.core.servers.snapshot import choose_snapshot, coverage_of
from turmerictiller.core.state import Search, ServicePart, State, TimerKind
from turmerictiller.errors import Ran, Refusal, RefusalType

if TYPE_CHECKING:
    from turmerictiller.core.events import AttemptAnswered, AttemptFailed, CallerGone, SearchArrived

RESTART_MIN_TIME_SHARE = 0.5

MISSING_REASON_BY_FAILURE = {
    FailureKind.UNSENT: "unreachable",
    FailureKind.SHED: "shed",
    FailureKind.DRAINING: "shed",
    FailureKind.SNAPSHOT_GONE: "version_gone",
    FailureKind.REJECTED: "failed",
    FailureKind.LOST: "crashed",
    FailureKind.TIMED_OUT: "timed_out",
    FailureKind.BAD_ANSWER: "failed",
}


def on_search_arrived(state: State, event: SearchArrived) -> None:
    """Start a search, or refuse it."""
    search = prepare_search(state, event)
    if isinstance(search, Refusal):
        refuse(state, event.call_id, search)
        return
    refusal = refuse_early(state, search)
    if refusal is not None:
        refuse(state, event.call_id, refusal)
        return
    search.is_test = begin_test(state, search.fingerprint, search.call_id)
    state.searches_by_id[search.call_id] = search
    state.counters["searches.started"] += 1
    state.timers.add(search.deadline_at, TimerKind.SEARCH_DEADLINE, search.call_id)
    _scatter(state, search)


def refuse(state: State, call_id: int, refusal: Refusal) -> None:
    """Reply to a call with a refusal, and count it."""
    state.counters[f"refusals.{refusal.type.value}"] += 1
    state.out.append(ReplyRefusal(call_id, refusal))


def _scatter(state: State, search: Search) -> None:
    if search.is_test:
        _scatter_test(state, search)
        return
    for part in search.parts_by_service.values():
        if not part.resolved:
            send_or_enqueue(state, search, part, "no_capacity")
    _finish_if_resolved(state, search)


def _scatter_test(state: State, search: Search) -> None:
    """Send a single part, so that a request that crashes upstreams takes down one server only."""
    service = service_to_test(state, search.fingerprint)
    parts = list(search.parts_by_service.values())
    part = search.parts_by_service.get(service or parts[0].service, parts[0])
    if not send_part(state, search, part):
        part.missing_reason = "no_capacity"
        finish(state, search)


def _continue_after_test(state: State, search: Search) -> None:
    """Send the remaining parts of a test search after its single part was answered."""
    search.is_test = False
    for part in search.parts_by_service.values():
        if not part.resolved:
            send_or_enqueue(state, search, part, "no_capacity")


def dispatch_queued_parts(state: State) -> None:
    """Send queued parts of the services at which capacity was freed."""
    while state.freed_services:
        name, _ = state.freed_services.popitem()
        service = state.services_by_name.get(name)
        while service is not None and (found := peek_queued_part(state, service)) is not None:
            search, part = found
            if not dispatch_queued_part(state, search, part):
                break
            pop_queued_part(service)
            _finish_if_resolved(state, search)


def on_attempt_answered(state: State, event: AttemptAnswered) -> None:
    """Merge the answer of an upstream into its search."""
    attempt = end_attempt(state, event.attempt_id)
    if attempt is None:
        return
    observe_answer(state, attempt)
    observe_status(state, attempt.server_id, event.status)
    search = state.searches_by_id.get(attempt.call_id)
    if search is None:
        return
    part = search.parts_by_service[attempt.service]
    part.attempt_ids.remove(attempt.id)
    if not is_valid_answer(search, part, event):
        state.counters["attempts.wrong_snapshot"] += 1
        _retry_part(state, search, part, FailureKind.BAD_ANSWER)
        _finish_if_resolved(state, search)
        return
    _merge(search, part, event)
    cancel_attempts(state, part)
    if search.is_test:
        _continue_after_test(state, search)
    schedule_early_answer_check(state, search)
    _finish_if_resolved(state, search)


def _merge(search: Search, part: ServicePart, event: AttemptAnswered) -> None:
    part.resolved = True
    part.merged_shards = frozenset(event.shards)
    part.missing_reason = "failed"
    new_hits = hits_after(event.hits, search.after)
    search.hits = top_k([*search.hits, *new_hits], search.k)


def on_attempt_failed(state: State, event: AttemptFailed) -> None:
    """Retry the part of a failed attempt at another server, or resolve it as missing."""
    attempt = end_attempt(state, event.attempt_id)
    if attempt is None:
        return
    observe_failure(state, attempt, event)
    observe_status(state, attempt.server_id, event.status)
    search = state.searches_by_id.get(attempt.call_id)
    if search is None:
        return
    part = search.parts_by_service[attempt.service]
    part.attempt_ids.remove(attempt.id)
    if event.kind is FailureKind.LOST:
        if remaining_quarantine_ms(state, search.fingerprint) is not None:
            _finish_quarantined(state, search)
            return
        if not part.attempt_ids and not may_resend(search, part):
            part.missing_reason = "crashed"
            _finish_if_resolved(state, search)
            return
    if event.kind is FailureKind.SNAPSHOT_GONE and _restart(state, search):
        return
    _retry_part(state, search, part, event.kind)
    _finish_if_resolved(state, search)


def _finish_quarantined(state: State, search: Search) -> None:
    """Cancel and refuse a search whose request has just been quarantined."""
    del state.searches_by_id[search.call_id]
    for part in search.parts_by_service.values():
        cancel_attempts(state, part)
    refuse(state, search.call_id, quarantine_refusal(state, search.fingerprint, Ran.MAYBE))


def _restart(state: State, search: Search) -> bool:
    """Restart a search on a newer snapshot; return whether it was restarted.

    A search is restarted once at most, not for a later page, and only while at least
    ``RESTART_MIN_TIME_SHARE`` of its time remains.
    """
    remaining_ms = search.deadline_at - state.now
    is_late = remaining_ms < (search.deadline_at - search.arrived_at) * RESTART_MIN_TIME_SHARE
    if search.restarted or search.after is not None or is_late:
        return False
    newer = choose_snapshot(state, search.front, newer_than=search.snapshot)
    if newer is None:
        return False
    for part in search.parts_by_service.values():
        cancel_attempts(state, part)
    state.counters["searches.restarted"] += 1
    search.restarted = True
    search.probing_service = None
    search.snapshot = newer
    search.hits = []
    set_parts(state, search)
    _scatter(state, search)
    return True


def _retry_part(state: State, search: Search, part: ServicePart, kind: FailureKind) -> None:
    part.missing_reason = MISSING_REASON_BY_FAILURE[kind]
    if part.attempt_ids:
        return
    if search.is_test:
        finish(state, search)
        return
    if may_retry(state, part, kind):
        send_or_enqueue(state, search, part, part.missing_reason)
    else:
        part.resolved = True


def on_early_answer_check(state: State, call_id: int) -> None:
    """Answer a search if the missing parts are not worth the wait, else schedule the next check."""
    search = state.searches_by_id.get(call_id)
    if search is None:
        return
    if should_stop(state, search):
        mark_missing_parts(search)
        state.counters["searches.stopped_waiting"] += 1
        finish(state, search)
        return
    search.is_watched = False
    schedule_early_answer_check(state, search)


def on_search_deadline(state: State, call_id: int) -> None:
    """Answer a search at its deadline with the hits merged so far."""
    search = state.searches_by_id.get(call_id)
    if search is not None:
        finish(state, search)


def on_caller_gone(state: State, event: CallerGone) -> None:
    """Cancel the search of a caller that has disconnected."""
    search = state.searches_by_id.pop(event.call_id, None)
    if search is None:
        return
    state.counters["searches.caller_gone"] += 1
    end_test(state, search.fingerprint, search.call_id)
    for part in search.parts_by_service.values():
        cancel_attempts(state, part)


def _finish_if_resolved(state: State, search: Search) -> None:
    if search.call_id not in state.searches_by_id:
        return
    probing = search.parts_by_service.get(search.probing_service or "")
    if probing is not None and probing.resolved:
        for part in release_held_parts(search, probing):
            _retry_part(state, search, part, FailureKind.LOST)
    if all(part.resolved for part in search.parts_by_service.values()):
        finish(state, search)


def finish(state: State, search: Search) -> None:
    """Answer a search and cancel its outstanding attempts.

    A search below the coverage floor of its front, or without any merged shard, is refused.
    """
    del state.searches_by_id[search.call_id]
    end_test(state, search.fingerprint, search.call_id)
    coverage = coverage_of(search)
    for part in search.parts_by_service.values():
        cancel_attempts(state, part)
    if coverage.merged == 0 or coverage.share < search.front.coverage_floor:
        refuse(
            state,
            search.call_id,
            Refusal(
                RefusalType.COVERAGE_BELOW_FLOOR,
                f"{coverage.merged} of {coverage.total} shards answered in time",
                Ran.MAYBE,
                RETRY_AFTER_MS,
            ),
        )
        return
    state.counters["searches.answered"] += 1
    state.out.append(
        ReplySearch(
            call_id=search.call_id,
            hits=tuple(search.hits),
            snapshot=search.snapshot,
            coverage=coverage,
            cursor=_next_cursor(search),
            took_ms=state.now - search.arrived_at,
        )
    )


def _next_cursor(search: Search) -> str | None:
    if len(search.hits) < search.k:
        return None
    return encode_cursor(Cursor(search.snapshot, rank(search.hits[-1]), search.fingerprint))
