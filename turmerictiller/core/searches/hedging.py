"""Hedged requests: when a part of a search is sent to a second server, and how often."""

from __future__ import annotations

from typing import TYPE_CHECKING

from turmerictiller.core.servers.attempts import start_attempt
from turmerictiller.core.servers.budgets import charge_hedge_token, refund_hedge_token
from turmerictiller.core.state import TimerKind

if TYPE_CHECKING:
    from turmerictiller.core.state import Search, ServicePart, State

HedgeKey = tuple[int, str, int]

HEDGE_QUANTILE = 0.993
PROBE_QUANTILE = 0.75
MEDIAN_QUANTILE = 0.5
MIN_SAMPLES = 20
MAX_MISSING_SHARE = 0.3
RECHECK_LATENCY_SHARE = 0.5
# Below this reserve, tokens are spent only on calls older than the factor times the median latency.
TOKEN_RESERVE = 3.0
RESERVED_TOKEN_AGE_FACTOR = 4.0


def plan_hedge(state: State, search: Search, part: ServicePart) -> None:
    """Schedule the hedge of a part that was just sent.

    A test of a quarantined search is not hedged, because it may crash the second server too.
    """
    delay_ms = None if search.is_test else hedge_delay_ms(state, search, part)
    if delay_ms is not None:
        key = (search.call_id, part.service, part.attempt_ids[-1])
        state.timers.add(state.now + delay_ms, TimerKind.HEDGE, key)


def hedge_delay_ms(state: State, search: Search, part: ServicePart) -> float | None:
    """Return the hedge delay of a part in ms, or ``None`` if it should not be hedged.

    There is no hedge without enough latency samples, or if its answer would miss the deadline. A
    probe of an ejected server has a shorter delay, because the server is expected to be slow.
    """
    times = state.services_by_name[part.service].unqueued_times
    if times.weight < MIN_SAMPLES:
        return None
    quantile_rank = PROBE_QUANTILE if part.is_probe else HEDGE_QUANTILE
    latest_useful_ms = search.deadline_at - state.now - times.quantile(MEDIAN_QUANTILE)
    if latest_useful_ms <= 0:
        return None
    return min(times.quantile(quantile_rank), latest_useful_ms)


def on_hedge_due(state: State, key: HedgeKey) -> None:
    """Hedge a part if few parts of its search are missing and the hedge budget allows it.

    A probe is hedged without these conditions: its token was charged when the probe was chosen. No
    other part is hedged while parts are queued for its service.
    """
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
    if not _has_few_missing_parts(search) or _should_reserve_token(state, attempt_id):
        _schedule_recheck(state, key)
        return
    if charge_hedge_token(state, service) and not _send_hedge(state, search, part):
        refund_hedge_token(state, service)


def _send_hedge(state: State, search: Search, part: ServicePart) -> bool:
    if not start_attempt(state, search, part, is_hedge=True):
        return False
    state.counters["attempts.hedged"] += 1
    return True


def _should_reserve_token(state: State, attempt_id: int) -> bool:
    attempt = state.attempts_by_id[attempt_id]
    service = state.services_by_name[attempt.service]
    if service.hedge_tokens >= TOKEN_RESERVE:
        return False
    return (
        state.now - attempt.sent_at
        < RESERVED_TOKEN_AGE_FACTOR * service.unqueued_times.quantile(MEDIAN_QUANTILE)
    )


def _has_few_missing_parts(search: Search) -> bool:
    missing_count = sum(not part.resolved for part in search.parts_by_service.values())
    return missing_count <= max(1, MAX_MISSING_SHARE * len(search.parts_by_service))


def _schedule_recheck(state: State, key: HedgeKey) -> None:
    times = state.services_by_name[key[1]].unqueued_times
    wait_ms = RECHECK_LATENCY_SHARE * times.quantile(MEDIAN_QUANTILE)
    state.timers.add(state.now + wait_ms, TimerKind.HEDGE, key)
