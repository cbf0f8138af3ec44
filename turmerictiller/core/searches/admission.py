"""Admission of searches: queues of parts per service, predicted wait, early refusal."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

from turmerictiller.core.fronts import OverloadPolicy, Priority
from turmerictiller.core.searches.fairness import exceeds_fair_share
from turmerictiller.core.servers.limits import live_instances
from turmerictiller.core.servers.routing import servers_with
from turmerictiller.errors import Ran, Refusal, RefusalType

if TYPE_CHECKING:
    from turmerictiller.core.state import Search, ServicePart, ServiceState, State, Waiting

WAIT_SHARE_BY_PRIORITY = {Priority.INTERACTIVE: 0.15, Priority.BATCH: 0.075}
RANK_BY_PRIORITY = {Priority.INTERACTIVE: 0, Priority.BATCH: 1}
PRESSURE_SHARE = 0.5
RATE_WINDOW_MS = 500.0
PRIOR_COMPLETIONS = 8.0
MIN_RETRY_AFTER_MS = 50.0
RETRY_JITTER = 0.5


def refuse_early(state: State, search: Search) -> Refusal | None:
    """Return a refusal if a service of the search would not answer in time.

    A front whose policy is to degrade gives up the parts of such services first, down to its floor.
    """
    late = _late_parts(state, search)
    if not late:
        return None
    if search.front.overload is OverloadPolicy.DEGRADE and _keeps_floor(search, late):
        for part in late:
            part.resolved = True
            part.missing_reason = "no_capacity"
        state.counters["searches.degraded"] += 1
        return None
    return Refusal(
        RefusalType.OVERLOADED,
        f"service {late[0].service} has no capacity in time",
        Ran.NO,
        _retry_after_ms(state, search, late),
    )


def _late_parts(state: State, search: Search) -> list[ServicePart]:
    allowed_ms = _allowed_wait_ms(search)
    waits = [
        (predicted_wait_ms(state, part.service, search.priority), part)
        for part in search.parts_by_service.values()
    ]
    if max((wait for wait, _ in waits), default=0.0) > PRESSURE_SHARE * allowed_ms and (
        exceeds_fair_share(state, search)
    ):
        allowed_ms *= PRESSURE_SHARE
    return [part for wait, part in waits if wait > allowed_ms]


def _allowed_wait_ms(search: Search) -> float:
    budget_ms = search.deadline_at - search.arrived_at
    return WAIT_SHARE_BY_PRIORITY[search.priority] * budget_ms


def _keeps_floor(search: Search, late: list[ServicePart]) -> bool:
    total = sum(len(part.shards) for part in search.parts_by_service.values())
    lost = sum(len(part.shards) for part in late)
    return lost < total and (total - lost) / total >= search.front.coverage_floor


def _retry_after_ms(state: State, search: Search, late: list[ServicePart]) -> int:
    wait_ms = max(predicted_wait_ms(state, part.service, search.priority) for part in late)
    jitter = 1 + RETRY_JITTER * state.rng.random()
    return int(max(MIN_RETRY_AFTER_MS, wait_ms) * jitter)


def predicted_wait_ms(state: State, service: str, priority: Priority) -> float:
    """Return how long one more part would wait for a server, from the own completion rate."""
    service_state = state.services_by_name.get(service)
    if service_state is None or next_waiting(state, service_state) is None:
        return 0.0
    rank = RANK_BY_PRIORITY[priority]
    ahead = sum(entry[0] <= rank for entry in service_state.waiting)
    return ahead / _completions_per_ms(state, service_state)


def _completions_per_ms(state: State, service: ServiceState) -> float:
    """Return the rate since the queue formed, at most over ``RATE_WINDOW_MS``.

    Until there are enough completions, an equal share of the servers' slots is assumed.
    """
    since = max(service.waiting_since, state.now - RATE_WINDOW_MS)
    completions = sum(at >= since for at in service.completed_at)
    prior_ms = PRIOR_COMPLETIONS / _share_per_ms(state, service)
    return (completions + PRIOR_COMPLETIONS) / (state.now - since + prior_ms)


def _share_per_ms(state: State, service: ServiceState) -> float:
    slots = 1
    if state.note is not None:
        slots = state.note.configuration.services_by_name[service.name].slots
    servers = max(1, len(servers_with(state, service.name, None)))
    typical_ms = max(1.0, service.times.quantile(0.5))
    return slots * servers / typical_ms / live_instances(state)


def enqueue(state: State, search: Search, part: ServicePart) -> bool:
    """Let a part wait for a server; return whether the queue had room."""
    service = state.services_by_name.get(part.service)
    if service is None:
        return False
    if len(service.waiting) >= state.settings.max_queue_per_service:
        _drop_dead(state, service)
    if len(service.waiting) >= state.settings.max_queue_per_service:
        return False
    if not service.waiting:
        service.waiting_since = state.now
    entry = (RANK_BY_PRIORITY[search.priority], search.deadline_at, search.call_id)
    heapq.heappush(service.waiting, entry)
    return True


def next_waiting(state: State, service: ServiceState) -> tuple[Search, ServicePart] | None:
    """Return the part that is served next, without removing it; drop those that ended."""
    while service.waiting:
        found = _find(state, service, service.waiting[0])
        if found is not None:
            return found
        heapq.heappop(service.waiting)
    return None


def remove_next(service: ServiceState) -> None:
    """Remove the part that ``next_waiting`` returned."""
    heapq.heappop(service.waiting)


def _find(state: State, service: ServiceState, entry: Waiting) -> tuple[Search, ServicePart] | None:
    search = state.searches_by_id.get(entry[2])
    part = search.parts_by_service.get(service.name) if search else None
    if search is None or part is None or part.resolved or part.attempt_ids:
        return None
    return search, part


def _drop_dead(state: State, service: ServiceState) -> None:
    service.waiting = [entry for entry in service.waiting if _find(state, service, entry)]
    heapq.heapify(service.waiting)
