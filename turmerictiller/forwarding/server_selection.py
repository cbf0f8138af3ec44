"""Selection of a server for an attempt, and the estimates of servers that it uses."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from turmerictiller.forwarding.announcements import is_paused
from turmerictiller.forwarding.effects import WriteLog
from turmerictiller.forwarding.limits import (
    adapt_limit,
    connection_share,
    has_capacity,
    lower_limit,
)
from turmerictiller.forwarding.servers import is_last_resort
from turmerictiller.forwarding.shared_slowness import combined_slowness, observe_slowness
from turmerictiller.forwarding.state import route_times, service_state

if TYPE_CHECKING:
    from collections.abc import Container

    from turmerictiller.forwarding.state import RouteTimes, ServerState, ServiceState, State

SLOWNESS_WEIGHT = 0.3
FAILURE_RATE_WEIGHT = 0.3
# Half-life of observations. It lets a server that was slow or failing be retried within seconds;
# servers are slow for some hundred milliseconds at a time.
HALF_LIFE_MS = 600.0
# Slowness of a server without recent observations. It is below 1, so that such a server is
# preferred to servers that were observed at the median.
DEFAULT_SLOWNESS = 0.75
FAILURE_RATE_COST = 6.0
OTHER_DOMAIN_COST = 0.1  # a round trip to another failure domain takes 1.4 ms more
WARMUP_COST = 0.6  # a server that has just started takes up to 1.6 times as long
MAX_TIE_BREAK_COST = 0.1
# Servers occasionally pause for 150 ms; an attempt that is overdue indicates another fault.
MIN_OVERDUE_MS = 250.0
OVERDUE_LATENCY_FACTOR = 6.0
FAILURES_TO_EJECT = 2
MIN_EJECTION_MS = 250.0
MAX_EJECTION_MS = 2_000.0
# Time after an ejection in which requests that must not probe a server still avoid it.
PROBATION_MS = 1_000.0
_WORST_RANK = 99


def choose_server(
    state: State,
    service: ServiceState,
    times: RouteTimes,
    exclude: Container[str],
    may_probe: bool,
) -> ServerState | None:
    """Return the server with the lowest expected cost, or ``None`` if there is no usable one.

    Failing and slow servers are used if there is no other; unreachable ones are not.

    :param exclude: ids of servers that may not be chosen.
    :param may_probe: whether to probe a server whose ejection is over with this attempt.
    """
    now = state.now
    limit = connection_share(state, service)
    overdue_ms = max(MIN_OVERDUE_MS, OVERDUE_LATENCY_FACTOR * times.median_ms)
    best: ServerState | None = None
    best_rank = (_WORST_RANK, 0.0)
    for server in service.servers_by_id.values():
        if server.entry.id in exclude or not has_capacity(server, limit):
            continue
        last_resort = is_last_resort(state, server)
        if last_resort is None or (server.announcement is not None and is_paused(state, server)):
            continue
        rank = 2 if last_resort else 0
        if now < server.ejected_until:
            if server.unreachable:
                continue
            rank += 4
        if oldest_attempt_ms(state, server) > overdue_ms:
            rank += 1
        if server.consecutive_failures >= FAILURES_TO_EJECT:
            if may_probe and not last_resort and not server.sent_at_by_attempt:
                return server
            if now < server.ejected_until + PROBATION_MS:
                rank += 1
        # Gossip influences only the choice of a server. Whether an answer can be in time is
        # estimated from own observations, so that outdated gossip causes no refusal.
        cost = expected_cost(state, server, times) * _shared_slowness_factor(state, server)
        if (rank, cost) < best_rank:
            best, best_rank = server, (rank, cost)
    return best


def oldest_attempt_ms(state: State, server: ServerState) -> float:
    """Return the age of the oldest attempt that a server has in flight; 0 without one."""
    if not server.sent_at_by_attempt:
        return 0.0
    return state.now - next(iter(server.sent_at_by_attempt.values()))


def on_probe_sent(state: State, server: ServerState) -> None:
    """Extend the ejection of a server that gets a probe, so that others wait for its result."""
    if server.consecutive_failures >= FAILURES_TO_EJECT and not server.sent_at_by_attempt:
        _extend_ejection(state, server)


def is_usable(state: State, server: ServerState) -> bool:
    """Return whether a server may get requests when it has capacity."""
    is_unreachable = state.now < server.ejected_until and server.unreachable
    return (
        not is_unreachable
        and not is_paused(state, server)
        and is_last_resort(state, server) is not None
    )


def expected_cost(state: State, server: ServerState, times: RouteTimes) -> float:
    """Return the expected time of one more attempt, as a multiple of the median."""
    entry = server.entry
    load = 1 + len(server.sent_at_by_attempt) / max(1, entry.slots)
    failure_rate = server.failure_rate * _decay(state, server)
    cost = max(current_slowness(state, server) * load, _backlog(state, server, times))
    cost += FAILURE_RATE_COST * failure_rate
    if entry.domain != state.settings.failure_domain:
        cost += OTHER_DOMAIN_COST
    if entry.warmup_ms and state.now - server.added_at < entry.warmup_ms:
        cost += WARMUP_COST
    return cost + MAX_TIE_BREAK_COST * state.rng.random()


def expected_ms(state: State, server: ServerState, times: RouteTimes) -> float:
    """Return the expected time of one more attempt; 0 until answer times were recorded."""
    return expected_cost(state, server, times) * times.median_ms


def _backlog(state: State, server: ServerState, times: RouteTimes) -> float:
    """Return the least time of one more attempt that the attempts in flight indicate.

    Answer times show a pause or a queue of a server only when it is over. Until then, the age of
    its oldest attempt does: a new one waits at least as long, and then takes its own time.

    :returns: a multiple of the median of the route of the oldest attempt.
    """
    oldest_id = next(iter(server.sent_at_by_attempt), None)
    oldest = state.attempts_by_id.get(oldest_id) if oldest_id is not None else None
    if oldest is None:
        return 0.0
    median_ms = route_times(state, oldest.route).median_ms or times.median_ms
    return 1 + (state.now - oldest.sent_at) / median_ms if median_ms else 0.0


def _shared_slowness_factor(state: State, server: ServerState) -> float:
    if not server.shared_slow_weight:
        return 1.0
    own_slowness = current_slowness(state, server)
    return combined_slowness(state, server, own_slowness) / own_slowness


def current_slowness(state: State, server: ServerState) -> float:
    """Return the slowness of a server, decayed towards the default by the observations' age."""
    return DEFAULT_SLOWNESS + (server.slowness - DEFAULT_SLOWNESS) * _decay(state, server)


def _decay(state: State, server: ServerState) -> float:
    return math.pow(0.5, (state.now - server.observed_at) / HALF_LIFE_MS)


def _decay_estimates(state: State, server: ServerState) -> None:
    """Decay the estimates of a server to the current time."""
    server.slowness = current_slowness(state, server)
    server.failure_rate *= _decay(state, server)
    server.observed_at = state.now


def observe_answer(state: State, server: ServerState, ms: float, times: RouteTimes) -> None:
    """Update the estimates of a server with an answer, and end its ejection."""
    if server.consecutive_failures >= FAILURES_TO_EJECT:
        state.out.append(WriteLog("server_readmitted", {"server": server.entry.id}, urgent=True))
    server.consecutive_failures = 0
    server.unreachable = False
    server.answered_at = state.now
    server.ejected_until = 0.0
    server.ejection_ms = 0.0
    adapt_limit(state, server, service_state(state, server.entry.service), ms, times)
    _decay_estimates(state, server)
    server.failure_rate *= 1 - FAILURE_RATE_WEIGHT
    if times.median_ms > 0:
        observe_slowness(state, server, ms / times.median_ms)
        server.slowness += SLOWNESS_WEIGHT * (ms / times.median_ms - server.slowness)


def observe_no_answer(state: State, server: ServerState, ms: float, times: RouteTimes) -> None:
    """Update the slowness of a server with the age of an attempt that is still unanswered.

    The age is a lower bound of the answer time.
    """
    _decay_estimates(state, server)
    if times.median_ms > 0 and ms / times.median_ms > server.slowness:
        server.slowness += SLOWNESS_WEIGHT * (ms / times.median_ms - server.slowness)


def observe_not_run(state: State, server: ServerState) -> None:
    """Lower the limit and raise the failure rate of a server that rejected an attempt."""
    lower_limit(state, server, connection_share(state, service_state(state, server.entry.service)))
    _raise_failure_rate(state, server)


def observe_failure(
    state: State, server: ServerState, failure: str, unreachable: bool = False
) -> None:
    """Record a failed attempt, and eject the server after several consecutive failures."""
    _raise_failure_rate(state, server)
    server.consecutive_failures += 1
    server.unreachable = unreachable
    server.failed_at = state.now
    if server.consecutive_failures < FAILURES_TO_EJECT:
        return
    _extend_ejection(state, server)
    if server.consecutive_failures == FAILURES_TO_EJECT:
        state.counters["servers.ejected"] += 1
        fields = {"server": server.entry.id, "failure": failure, "ms": server.ejection_ms}
        state.out.append(WriteLog("server_ejected", fields, urgent=True))


def _raise_failure_rate(state: State, server: ServerState) -> None:
    _decay_estimates(state, server)
    server.failure_rate += FAILURE_RATE_WEIGHT * (1 - server.failure_rate)


def _extend_ejection(state: State, server: ServerState) -> None:
    server.ejection_ms = min(MAX_EJECTION_MS, max(MIN_EJECTION_MS, 2 * server.ejection_ms))
    server.ejected_until = state.now + server.ejection_ms
