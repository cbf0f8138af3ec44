"""Tests of outlier ejection and readmission."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from tests.core.servers.test_server_selection import SERVICE, choose_next, warm_service
from turmerictiller.core.servers.outliers import FAILURES_TO_EJECT
from turmerictiller.core.servers.server_selection import choose_server, observe_latency


@given(st.lists(st.sampled_from(["slow", "failing", "both"]), min_size=3, max_size=3))
def test_ejection_never_empties_a_service(faults: list[str]) -> None:
    """Guards against a service without servers while its servers still answer."""
    harness, servers = warm_service()
    for server, fault in zip(servers, faults, strict=True):
        server.fast_ms = 90.0 if fault in ("slow", "both") else 10.0
        server.failures_in_row = FAILURES_TO_EJECT if fault in ("failing", "both") else 0
    assert choose_server(harness.state, SERVICE, None) is not None
    assert all(server.ejected for server in servers)
    assert choose_server(harness.state, SERVICE, None) is not None


def test_failing_server_is_ejected_although_it_is_fast() -> None:
    """Guards against a server whose immediate failures make it appear fastest."""
    harness, servers = warm_service()
    servers[0].fast_ms = servers[0].slow_ms = 1.0
    servers[0].failures_in_row = FAILURES_TO_EJECT
    assert choose_next(harness) != servers[0].id


def test_ejected_server_is_readmitted_after_one_fast_probe() -> None:
    """Guards against a server that remains ejected after a short slowdown."""
    harness, servers = warm_service()
    servers[0].fast_ms = 90.0
    assert choose_next(harness) != servers[0].id
    assert servers[0].ejected
    harness.advance(250)
    assert choose_next(harness) == servers[0].id
    assert choose_next(harness) != servers[0].id
    observe_latency(harness.state, servers[0], 11.0)
    assert not servers[0].ejected
    assert servers[0].fast_ms == 11.0


def test_probe_interval_of_a_slow_server_backs_off() -> None:
    """Guards against probes at a constant high rate during a long slowdown."""
    harness, servers = warm_service()
    servers[0].fast_ms = 90.0
    choose_next(harness)
    probed_at = []
    for _ in range(200):
        harness.advance(10)
        if choose_next(harness) == servers[0].id:
            probed_at.append(harness.at)
            observe_latency(harness.state, servers[0], 100.0)
    assert servers[0].ejected
    intervals_ms = [
        later - earlier for earlier, later in zip(probed_at, probed_at[1:], strict=False)
    ]
    assert intervals_ms == sorted(intervals_ms)
    assert intervals_ms[-1] > intervals_ms[0]
