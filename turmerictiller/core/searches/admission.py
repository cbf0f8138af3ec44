"""Admission control of searches: per-service queues, predicted wait and load shedding."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

from turmerictiller.core.fronts import OverloadPolicy, Priority
from turmerictiller.core.searches.fairness import exceeds_fair_share
from turmerictiller.core.servers.limits import live_instances
from turmerictiller.core.servers.server_selection import eligible_servers
from turmerictiller.errors import Ran, Refusal, RefusalType

if TYPE_CHECKING:
    from turmerictiller.core.state import QueueEntry, Search, ServicePart, ServiceState, State

MAX_WAIT_SHARE_BY_PRIORITY = {Priority.INTERACTIVE: 0.15, Priority.BATCH: 0.075}
RANK_BY_PRIORITY = {Priority.INTERACTIVE: 0, Priority.BATCH: 1}
# Beyond this share of its wait limit, a search over its fair share has this share as its limit.
CONTENDED_WAIT_SHARE = 0.5
RATE_WINDOW_MS = 500.0
PRIOR_COMPLETIONS = 8.0  # weight of the assumed rate, in completions
MIN_RETRY_AFTER_MS = 50.0
RETRY_JITTER_SHARE = 0.5


def refuse_early(state: State, search: Search) -> Refusal | None:
    """Return a refusal if the predicted wait at a service exceeds the limit of the search.

    A front with the degrade policy drops the parts of such services instead, as long as the
    coverage stays at or above its floor.
    """
    late_parts = _late_parts(state, search)
    if not late_parts:
        return None
    if search.front.overload is OverloadPolicy.DEGRADE and _meets_coverage_floor(
        search, late_parts
    ):
        for part in late_parts:
            part.resolved = True
            part.missing_reason = "no_capacity"
        state.counters["searches.degraded"] += 1
        return None
    return Refusal(
        RefusalType.OVERLOADED,
        f"service {late_parts[0].service} has no capacity in time",
        Ran.NO,
        _retry_after_ms(state, search, late_parts),
    )


def _late_parts(state: State, search: Search) -> list[ServicePart]:
    max_wait_ms = _max_wait_ms(search)
    waits = [
        (predicted_wait_ms(state, part.service, search.priority), part)
        for part in search.parts_by_service.values()
    ]
    if max((wait for wait, _ in waits), default=0.0) > CONTENDED_WAIT_SHARE * max_wait_ms and (
        exceeds_fair_share(state, search)
    ):
        max_wait_ms *= CONTENDED_WAIT_SHARE
    return [part for wait, part in waits if wait > max_wait_ms]


def _max_wait_ms(search: Search) -> float:
    budget_ms = search.deadline_at - search.arrived_at
    return MAX_WAIT_SHARE_BY_PRIORITY[search.priority] * budget_ms


def _meets_coverage_floor(search: Search, late_parts: list[ServicePart]) -> bool:
    total = sum(len(part.shards) for part in search.parts_by_service.values())
    dropped = sum(len(part.shards) for part in late_parts)
    return dropped < total and (total - dropped) / total >= search.front.coverage_floor


def _retry_after_ms(state: State, search: Search, late_parts: list[ServicePart]) -> int:
    wait_ms = max(predicted_wait_ms(state, part.service, search.priority) for part in late_parts)
    jitter = 1 + RETRY_JITTER_SHARE * state.rng.random()
    return int(max(MIN_RETRY_AFTER_MS, wait_ms) * jitter)


def predicted_wait_ms(state: State, service: str, priority: Priority) -> float:
    """Return the predicted queueing delay of one more part in ms.

    It is the number of queued parts of the same or a higher priority divided by this instance's
    completion rate.
    """
    service_state = state.services_by_name.get(service)
    if service_state is None or peek_queued_part(state, service_state) is None:
        return 0.0
    rank = RANK_BY_PRIORITY[priority]
    ahead = sum(entry[0] <= rank for entry in service_state.waiting)
    return ahead / _completions_per_ms(state, service_state)


def _completions_per_ms(state: State, service: ServiceState) -> float:
    """Return the completion rate since the queue formed, over at most ``RATE_WINDOW_MS``.

    The estimate starts from an equal share of the servers' slots, which weighs as much as
    ``PRIOR_COMPLETIONS`` completions.
    """
    since = max(service.waiting_since, state.now - RATE_WINDOW_MS)
    completions = sum(at >= since for at in service.completed_at)
    prior_ms = PRIOR_COMPLETIONS / _capacity_share_per_ms(state, service)
    return (completions + PRIOR_COMPLETIONS) / (state.now - since + prior_ms)


def _capacity_share_per_ms(state: State, service: ServiceState) -> float:
    slots_per_server = 1
    if state.note is not None:
        slots_per_server = state.note.configuration.services_by_name[service.name].slots
    servers = max(1, len(eligible_servers(state, service.name, None)))
    median_ms = max(1.0, service.times.quantile(0.5))
    return slots_per_server * servers / median_ms / live_instances(state)


def enqueue_part(state: State, search: Search, part: ServicePart) -> bool:
    """Queue a part until a server has capacity; return whether the queue had space."""
    service = state.services_by_name.get(part.service)
    if service is None:
        return False
    if len(service.waiting) >= state.settings.max_queue_per_service:
        _remove_ended_parts(state, service)
    if len(service.waiting) >= state.settings.max_queue_per_service:
        return False
    if not service.waiting:
        service.waiting_since = state.now
    entry = (RANK_BY_PRIORITY[search.priority], search.deadline_at, search.call_id)
    heapq.heappush(service.waiting, entry)
    return True


def peek_queued_part(state: State, service: ServiceState) -> tuple[Search, ServicePart] | None:
    """Return the next queued part without removing it; remove ended parts before it."""
    while service.waiting:
        queued_part = _find_queued_part(state, service, service.waiting[0])
        if queued_part is not None:
            return queued_part
        heapq.heappop(service.waiting)
    return None


def pop_queued_part(service: ServiceState) -> None:
    """Remove the part that ``peek_queued_part`` returned from the queue."""
    heapq.heappop(service.waiting)


def _find_queued_part(
    state: State, service: ServiceState, entry: QueueEntry
) -> tuple[Search, ServicePart] | None:
    search = state.searches_by_id.get(entry[2])
    part = search.parts_by_service.get(service.name) if search else None
    if search is None or part is None or part.resolved or part.attempt_ids:
        return None
    return search, part


def _remove_ended_parts(state: State, service: ServiceState) -> None:
    service.waiting = [
        entry for entry in service.waiting if _find_queued_part(state, service, entry)
    ]
    heapq.heapify(service.waiting)
