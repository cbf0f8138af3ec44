"""Ejection of servers that are much slower than their service or fail, and their return."""

from __future__ import annotations

from typing import TYPE_CHECKING

from turmerictiller.core.servers.budgets import take_hedge_token

if TYPE_CHECKING:
    from collections.abc import Sequence

    from turmerictiller.core.state import ServerState, State

OUTLIER_FACTOR = 3.0
FAILURES_TO_EJECT = 3
MIN_SAMPLES = 20
FIRST_PROBE_MS = 200.0
MAX_PROBE_MS = 1_600.0


def review(state: State, server: ServerState) -> None:
    """Eject a server whose own observations are far worse than those of its service."""
    if server.ejected or not _is_outlier(state, server):
        return
    server.ejected = True
    server.probe_ms = FIRST_PROBE_MS
    server.ejected_until = state.now + server.probe_ms
    state.counters["servers.ejected"] += 1


def _is_outlier(state: State, server: ServerState) -> bool:
    if server.failures_in_row >= FAILURES_TO_EJECT:
        return True
    times = state.services_by_name[server.service].times
    if times.weight < MIN_SAMPLES:
        return False
    return server.fast_ms > OUTLIER_FACTOR * times.quantile(0.5)


def in_use(servers: Sequence[ServerState]) -> Sequence[ServerState]:
    """Return the servers that are not ejected; all of them if there would be none."""
    kept = [server for server in servers if not server.ejected]
    return kept or servers


def take_probe(state: State, servers: Sequence[ServerState]) -> ServerState | None:
    """Return an ejected server that is due for one real search, and set its next time.

    The hedge of that search is paid for at once, so that it is sure to be sent.
    """
    for server in servers:
        if not server.ejected or state.now < server.ejected_until or server.attempt_ids:
            continue
        if take_hedge_token(state, server.service):
            server.probe_ms = min(2 * server.probe_ms, MAX_PROBE_MS)
            server.ejected_until = state.now + server.probe_ms
            state.counters["servers.probed"] += 1
            return server
    return None


def readmit(state: State, server: ServerState, latency_ms: float) -> None:
    """Take an ejected server back if it answered a probe as fast as its service does."""
    typical = state.services_by_name[server.service].times.quantile(0.5)
    if not server.ejected or latency_ms > OUTLIER_FACTOR * typical:
        return
    server.ejected = False
    server.fast_ms = server.slow_ms = latency_ms
    state.counters["servers.readmitted"] += 1
