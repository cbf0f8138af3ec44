"""Outlier ejection of slow or failing servers, and their readmission after a probe."""

from __future__ import annotations

from typing import TYPE_CHECKING

from turmerictiller.core.servers.budgets import charge_hedge_token

if TYPE_CHECKING:
    from collections.abc import Sequence

    from turmerictiller.core.state import ServerState, State

OUTLIER_FACTOR = 3.0
FAILURES_TO_EJECT = 3
MIN_SAMPLES = 20
FIRST_PROBE_MS = 200.0
MAX_PROBE_MS = 1_600.0


def eject_if_outlier(state: State, server: ServerState) -> None:
    """Eject a server that fails repeatedly or is much slower than the median of its service."""
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


def exclude_ejected(servers: Sequence[ServerState]) -> Sequence[ServerState]:
    """Return the servers that are not ejected, or all servers if every one is ejected."""
    active_servers = [server for server in servers if not server.ejected]
    return active_servers or servers


def choose_due_probe(state: State, servers: Sequence[ServerState]) -> ServerState | None:
    """Return an ejected server that is due for a probe, and schedule its next probe.

    A probe is a real search. The token of its hedge is charged here, so that the hedge can always
    be sent.
    """
    for server in servers:
        if not server.ejected or state.now < server.ejected_until or server.attempt_ids:
            continue
        if charge_hedge_token(state, server.service):
            server.probe_ms = min(2 * server.probe_ms, MAX_PROBE_MS)
            server.ejected_until = state.now + server.probe_ms
            state.counters["servers.probed"] += 1
            return server
    return None


def readmit_if_recovered(state: State, server: ServerState, latency_ms: float) -> None:
    """Readmit an ejected server whose answer was not much slower than its service's median."""
    median_ms = state.services_by_name[server.service].times.quantile(0.5)
    if not server.ejected or latency_ms > OUTLIER_FACTOR * median_ms:
        return
    server.ejected = False
    server.fast_ms = server.slow_ms = latency_ms
    state.counters["servers.readmitted"] += 1
