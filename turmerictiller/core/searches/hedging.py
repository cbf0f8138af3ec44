"""Hedged calls of searches: when, to which server, and how many."""

from __future__ import annotations

from typing import TYPE_CHECKING

from turmerictiller.core.servers.attempts import start_attempt
from turmerictiller.core.servers.budgets import refund_hedge_token, take_hedge_token
from turmerictiller.core.state import TimerKind

if TYPE_CHECKING:
    from turmerictiller.core.state import Search, ServicePart, State

HedgeKey = tuple[int, str, int]

HEDGE_QUANTILE = 0.993
PROBE_QUANTILE = 0.75
TYPICAL_QUANTILE = 0.5
MIN_SAMPLES = 20
LAST_PARTS_SHARE = 0.3
RECHECK_SHARE = 0.5
SCARCE_TOKENS = 3.0
SCARCE_FACTOR = 4.0


def plan_hedge(state: State, search: Search, part: ServicePart) -> None:
    """Set the time at which a part that was just sent is hedged if it is still unanswered.

    A test of a quarantined search is not hedged, because it may crash the second server too.
    """
    delay_ms = None if search.is_test else hedge_delay_ms(state, search, part)
    if delay_ms is not None:
        key = (search.call_id, part.service, part.attempt_ids[-1])
        state.timers.add(state.now + delay_ms, TimerKind.HEDGE, key)


def hedge_delay_ms(state: State, search: Search, part: ServicePart) -> float | None:
    """Return the wait for the answer of a part, or ``None`` if a hedge could not help.

    A probe of an ejected server waits less, because the server is expected to be slow.
    """
    times = state.services_by_name[part.service].unqueued_times
    if times.weight < MIN_SAMPLES:
        return None
    share = PROBE_QUANTILE if part.is_probe else HEDGE_QUANTILE
    latest_ms = search.deadline_at - state.now - times.quantile(TYPICAL_QUANTILE)
    if latest_ms <= 0:
        return None
    return min(times.quantile(share), latest_ms)


def on_hedge_due(state: State, key: HedgeKey) -> None:
    """Send a part to another server if the part is one of the last that the answer waits for."""
    call_id, service, attempt_id = key
    search = state.searches_by_id.get(call_id)
    if search is None or attempt_id not in state.attempts_by_id:
        return
    part = search.parts_by_service[service]
    if part.is_probe:
        _send_hedge(state, search, part)
        return
    if state.services_by_name[service].waiting:
        return
    if not _is_among_last(search) or _should_save_token(state, attempt_id):
        _check_again(state, key)
        return
    if take_hedge_token(state, service) and not _send_hedge(state, search, part):
        refund_hedge_token(state, service)


def _send_hedge(state: State, search: Search, part: ServicePart) -> bool:
    if not start_attempt(state, search, part, is_hedge=True):
        return False
    state.counters["attempts.hedged"] += 1
    return True


def _should_save_token(state: State, attempt_id: int) -> bool:
    attempt = state.attempts_by_id[attempt_id]
    service = state.services_by_name[attempt.service]
    if service.hedge_tokens >= SCARCE_TOKENS:
        return False
    return state.now - attempt.sent_at < SCARCE_FACTOR * service.unqueued_times.quantile(
        TYPICAL_QUANTILE
    )


def _is_among_last(search: Search) -> bool:
    missing = sum(not part.resolved for part in search.parts_by_service.values())
    return missing <= max(1, LAST_PARTS_SHARE * len(search.parts_by_service))


def _check_again(state: State, key: HedgeKey) -> None:
    times = state.services_by_name[key[1]].unqueued_times
    wait_ms = RECHECK_SHARE * times.quantile(TYPICAL_QUANTILE)
    state.timers.add(state.now + wait_ms, TimerKind.HEDGE, key)
