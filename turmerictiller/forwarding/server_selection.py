"""Choice of a server for an attempt, and what answers tell about servers."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from turmerictiller.forwarding.announcements import is_paused, is_returning
from turmerictiller.forwarding.effects import LogDecision
from turmerictiller.forwarding.limits import (
    adapt_limit,
    connection_limit,
    has_capacity,
    lower_limit,
)
from turmerictiller.forwarding.servers import is_last_resort
from turmerictiller.forwarding.shared_slowness import combined_slowness, observe_slowness
from turmerictiller.forwarding.state import service_state

if TYPE_CHECKING:
    from collections.abc import Container

    from turmerictiller.forwarding.state import RouteTimes, ServerState, ServiceState, State

SLOWNESS_WEIGHT = 0.3
FAILURE_RATE_WEIGHT = 0.3
# Observations lose half of their weight in this time, so that a server that was slow or failing
# is tried again within seconds. Servers are slow for some hundred milliseconds at a time.
HALF_LIFE_MS = 600.0
# What is assumed of a server that was not observed for long: less than the usual time, so that it is
# preferred to servers that are known to be as fast as usual.
UNKNOWN_SLOWNESS = 0.75
FAILURE_RATE_COST = 6.0
OTHER_DOMAIN_COST = 0.1  # the way to another failure domain and back costs 1.4 ms more
WARMUP_COST = 0.6  # a server that has just started works up to 1.6 times as long
TIE_COST = 0.1
# Servers stand still for 150 ms now and then; one that stays silent for longer has another fault.
STUCK_MS = 250.0
STUCK_FACTOR = 6.0
FAILURES_TO_EJECT = 2
MIN_EJECTION_MS = 250.0
MAX_EJECTION_MS = 2_000.0
# Requests that must not be lost wait so much longer before they go to a server that failed.
PROBATION_MS = 1_000.0
_NO_RANK = 99


def choose_server(
    state: State,
    service: ServiceState,
    times: RouteTimes,
    exclude: Container[str],
    may_test: bool,
    beyond_limit: bool = False,
) -> ServerState | None:
    """Return the server with the least expected cost, or ``None`` if none may get the request.

    Servers that fail or are slow are better than none; those that can not be reached are not.

    :param may_test: whether to test a server whose ejection is over.
    :param beyond_limit: use all connections of this instance, not only those that the limit of the
        server allows.
    """
    now = state.now
    limit = connection_limit(state, service)
    stuck_ms = max(STUCK_MS, STUCK_FACTOR * times.median_ms)
    best: ServerState | None = None
    best_rank = (_NO_RANK, 0.0)
    for server in service.servers_by_id.values():
        beyond = beyond_limit and not is_returning(state, server)
        if server.entry.id in exclude or not has_capacity(server, limit, beyond):
            continue
        resort = is_last_resort(state, server)
        if resort is None or (server.announcement is not None and is_paused(state, server)):
            continue
        rank = 2 if resort else 0
        if now < server.ejected_until:
            if server.unreachable:
                continue
            rank += 4
        if server.outstanding:
            oldest_at = next(iter(server.outstanding.values()))
            if now - oldest_at > stuck_ms:
                rank += 1
        if server.consecutive_failures >= FAILURES_TO_EJECT:
            if may_test and not resort and not server.outstanding:
                _extend_ejection(state, server)
                return server
            if now < server.ejected_until + PROBATION_MS:
                rank += 1
        # What others saw steers the choice only. Whether an answer can be in time is judged by own
        # answers, so that no request is given up because of news that may be out of date.
        cost = expected_cost(state, server) * _told_factor(state, server)
        if (rank, cost) < best_rank:
            best, best_rank = server, (rank, cost)
    return best


def is_usable(state: State, server: ServerState) -> bool:
    """Return whether a server may get requests when it has room."""
    is_out = state.now < server.ejected_until and server.unreachable
    return not is_out and not is_paused(state, server) and is_last_resort(state, server) is not None


def expected_cost(state: State, server: ServerState) -> float:
    """Return the expected time of one more attempt, in multiples of the usual one."""
    entry = server.entry
    load = 1 + len(server.outstanding) / max(1, entry.slots)
    failure_rate = server.failure_rate * _decay(state, server)
    cost = current_slowness(state, server) * load + FAILURE_RATE_COST * failure_rate
    if entry.domain != state.settings.failure_domain:
        cost += OTHER_DOMAIN_COST
    if entry.warmup_ms and state.now - server.added_at < entry.warmup_ms:
        cost += WARMUP_COST
    return cost + TIE_COST * state.rng.random()


def expected_ms(state: State, server: ServerState, times: RouteTimes) -> float:
    """Return the expected time of one more attempt; 0 while no times are known."""
    return expected_cost(state, server) * times.median_ms


def _told_factor(state: State, server: ServerState) -> float:
    if not server.shared_slow_weight:
        return 1.0
    own = current_slowness(state, server)
    return combined_slowness(state, server, own) / own


def current_slowness(state: State, server: ServerState) -> float:
    """Return the answer times of a server as multiples of the usual ones, by age of what is known."""
    return UNKNOWN_SLOWNESS + (server.slowness - UNKNOWN_SLOWNESS) * _decay(state, server)


def _decay(state: State, server: ServerState) -> float:
    return math.pow(0.5, (state.now - server.observed_at) / HALF_LIFE_MS)


def _age_observations(state: State, server: ServerState) -> None:
    """Give earlier observations the weight that their age leaves them."""
    server.slowness = current_slowness(state, server)
    server.failure_rate *= _decay(state, server)
    server.observed_at = state.now


def observe_answer(state: State, server: ServerState, ms: float, times: RouteTimes) -> None:
    """Take one answered attempt into the estimates of a server."""
    if server.consecutive_failures >= FAILURES_TO_EJECT:
        state.out.append(LogDecision("server_readmitted", {"server": server.entry.id}, urgent=True))
    server.consecutive_failures = 0
    server.unreachable = False
    server.answered_at = state.now
    server.ejected_until = 0.0
    server.backoff_ms = 0.0
    adapt_limit(state, server, service_state(state, server.entry.service), ms, times)
    _age_observations(state, server)
    server.failure_rate *= 1 - FAILURE_RATE_WEIGHT
    if times.median_ms > 0:
        observe_slowness(state, server, ms / times.median_ms)
        server.slowness += SLOWNESS_WEIGHT * (ms / times.median_ms - server.slowness)


def observe_no_answer(state: State, server: ServerState, ms: float, times: RouteTimes) -> None:
    """Take the age of an unanswered attempt as a lower bound of the server's answer times."""
    _age_observations(state, server)
    if times.median_ms > 0 and ms / times.median_ms > server.slowness:
        server.slowness += SLOWNESS_WEIGHT * (ms / times.median_ms - server.slowness)


def observe_not_run(state: State, server: ServerState) -> None:
    """Note that a server turned an attempt away."""
    lower_limit(state, server, connection_limit(state, service_state(state, server.entry.service)))
    _raise_failure_rate(state, server)


def observe_failure(
    state: State, server: ServerState, failure: str, unreachable: bool = False
) -> None:
    """Note that an attempt failed, and eject a server after several failures in a row."""
    _raise_failure_rate(state, server)
    server.consecutive_failures += 1
    server.unreachable = unreachable
    server.failed_at = state.now
    if server.consecutive_failures < FAILURES_TO_EJECT:
        return
    _extend_ejection(state, server)
    if server.consecutive_failures == FAILURES_TO_EJECT:
        state.counters["servers.ejected"] += 1
        fields = {"server": server.entry.id, "failure": failure, "ms": server.backoff_ms}
        state.out.append(LogDecision("server_ejected", fields, urgent=True))


def _raise_failure_rate(state: State, server: ServerState) -> None:
    _age_observations(state, server)
    server.failure_rate += FAILURE_RATE_WEIGHT * (1 - server.failure_rate)


def _extend_ejection(state: State, server: ServerState) -> None:
    server.backoff_ms = min(MAX_EJECTION_MS, max(MIN_EJECTION_MS, 2 * server.backoff_ms))
    server.ejected_until = state.now + server.backoff_ms
