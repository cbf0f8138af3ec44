"""Tests of server selection."""

from __future__ import annotations

from tests.harness import Harness
from turmerictiller.core.events import HealthReported, UpstreamStatus
from turmerictiller.core.servers.server_selection import (
    choose_probe,
    choose_server,
    expected_ms,
    latency_ms,
    observe_cancelled,
    observe_latency,
)
from turmerictiller.core.state import ServerState

SERVICE = "jobs-0"


def warm_service(servers: int = 3) -> tuple[Harness, list[ServerState]]:
    """Return an instance whose servers of one service have each answered 20 calls in 10 ms."""
    harness = Harness()
    harness.start(services=1, servers=servers)
    states = [harness.state.servers_by_id[f"{SERVICE}-s{n}"] for n in range(servers)]
    harness.state.services_by_name[SERVICE].hedge_tokens = 10.0
    for server in states:
        for _ in range(20):
            observe_latency(harness.state, server, 10.0)
    return harness, states


def choose_next(harness: Harness) -> str:
    """Return the id of the server that the next call would be sent to."""
    probe = choose_probe(harness.state, SERVICE, None)
    server = probe or choose_server(harness.state, SERVICE, None)
    assert server is not None
    return server.id


def test_stalled_server_is_avoided_before_its_next_answer() -> None:
    """Guards against calls to a stalled server because its past answers were the fastest."""
    harness, servers = warm_service()
    for _ in range(20):
        observe_latency(harness.state, servers[0], 6.0)
    assert choose_next(harness) == servers[0].id
    servers[0].attempt_ids[900] = harness.state.now
    harness.advance(200)
    # The other servers have as many calls outstanding, but none of them is old.
    for server in servers[1:]:
        server.attempt_ids[901] = harness.state.now
    assert expected_ms(harness.state, servers[0]) > 200
    assert choose_next(harness) != servers[0].id


def test_new_server_does_not_receive_all_calls() -> None:
    """Guards against overload of a cold server without latency samples."""
    harness, servers = warm_service()
    servers[0].samples = 0
    servers[0].fast_ms = servers[0].slow_ms = 0.0
    servers[0].started_at = harness.state.now
    assert latency_ms(harness.state, servers[0]) >= 10.0
    assert expected_ms(harness.state, servers[0]) > 2 * expected_ms(harness.state, servers[1])
    assert choose_next(harness) != servers[0].id
    harness.advance(2_000)
    for server in servers[1:]:
        server.attempt_ids[901] = harness.state.now
    assert choose_next(harness) == servers[0].id


def test_cancelled_call_raises_the_estimate_but_never_lowers_it() -> None:
    """Guards against a slow server that appears fast because its slow calls are cancelled."""
    _, servers = warm_service()
    observe_cancelled(servers[0], 100.0)
    assert servers[0].fast_ms > 50
    observe_cancelled(servers[1], 1.0)
    assert servers[1].fast_ms == 10.0


def test_estimate_follows_a_change_within_a_few_calls() -> None:
    """Guards against a slow average that hides a latency change for seconds."""
    harness, servers = warm_service()
    observe_latency(harness.state, servers[0], 12.0)
    assert latency_ms(harness.state, servers[0]) == servers[0].slow_ms
    for _ in range(3):
        observe_latency(harness.state, servers[0], 60.0)
    assert latency_ms(harness.state, servers[0]) > 40


def test_stale_load_report_is_ignored() -> None:
    """Guards against avoiding a server because of a load report that is over a second old."""
    harness, servers = warm_service()
    servers[0].reported_load = 1.0
    servers[0].reported_load_at = harness.state.now
    idle = expected_ms(harness.state, servers[1])
    assert expected_ms(harness.state, servers[0]) > idle
    harness.advance(1_500)
    assert expected_ms(harness.state, servers[0]) == idle


def test_large_service_does_not_send_every_call_to_one_server() -> None:
    """Guards against instances that all choose the same best server of a large service."""
    harness, servers = warm_service(servers=9)
    observe_latency(harness.state, servers[0], 9.0)
    assert len({choose_next(harness) for _ in range(50)}) > 3


def test_estimates_are_reset_when_a_server_restarts() -> None:
    """Guards against a cold server that is rated by the latency of its previous incarnation."""
    harness, servers = warm_service()
    servers[0].ejected = True
    harness.advance(100)
    status = UpstreamStatus("another", False, servers[0].snapshots)
    harness.send(HealthReported(harness.at, servers[0].id, status))
    assert (servers[0].samples, servers[0].ejected) == (0, False)
    assert servers[0].started_at == harness.at
    assert choose_next(harness) != servers[0].id
