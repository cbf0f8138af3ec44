"""Tests of server selection."""

from __future__ import annotations

import zlib
from collections import Counter

from tests.forwarding.driving import Driver, configuration, entry, single_route
from tests.forwarding.simulation import Simulation
from turmerictiller.forwarding.events import FailureKind, ServerEntryReceived
from turmerictiller.forwarding.server_selection import (
    FAILURES_TO_EJECT,
    MIN_EJECTION_MS,
    PROBATION_MS,
)

PAUSE_MS = 200.0
PAUSE_EVERY_MS = 2_000.0


def warmed_up_driver(idempotent: bool = True, servers: int = 3) -> Driver:
    """Return a driver whose route has recorded answer times."""
    driver = Driver().start(configuration(single_route(idempotent)), servers)
    for _ in range(30):
        serve(driver, dict.fromkeys(("a-1", "a-2", "a-3"), 20.0))
    return driver


def serve(driver: Driver, ms_by_server: dict[str, float]) -> str:
    """Send one request, answer it after its server's answer time, and return the server's id."""
    path = "/one/x" if "/one/" in configured_prefixes(driver) else "/once/x"
    call_id = driver.request(path, budget_ms=2_000)
    sent = driver.sent(call_id)[0]
    driver.wait(ms_by_server[sent.server_id])
    driver.answer(sent)
    return sent.server_id


def configured_prefixes(driver: Driver) -> set[str]:
    """Return the route prefixes of the current configuration."""
    assert driver.state.configuration is not None
    return {
        prefix
        for by_prefix in driver.state.configuration.routes_by_host.values()
        for prefix in by_prefix
    }


def test_slow_server_gets_few_requests_and_recovers() -> None:
    """Guards against requests to a slow server, and against avoiding it after its recovery."""
    driver = warmed_up_driver()
    times = {"a-1": 160.0, "a-2": 20.0, "a-3": 20.0}
    counts = Counter(serve(driver, times) for _ in range(100))
    assert counts["a-1"] <= 10
    times["a-1"] = 20.0
    counts = Counter(serve(driver, times) for _ in range(300))
    assert counts["a-1"] >= 50


def test_unreachable_server_is_ejected_and_probed_with_idempotent_requests_only() -> None:
    """Guards against non-idempotent requests that are lost at a server that is down."""
    for idempotent in (True, False):
        driver = warmed_up_driver(idempotent)
        down = "a-1"
        path = "/one/x" if idempotent else "/once/x"
        for _ in range(40):
            call_id = driver.request(path)
            while driver.outcome(call_id) is None:
                sent = driver.sent(call_id)[-1]
                if sent.server_id == down:
                    driver.fail(sent, FailureKind.REFUSED, may_have_run=False)
                else:
                    driver.wait(20)
                    driver.answer(sent)
            driver.wait(500)
        failed = driver.state.servers_by_id[down]
        assert failed.consecutive_failures >= FAILURES_TO_EJECT
        failed.ejected_until = driver.now
        chosen = [driver.sent(driver.request(path))[0].server_id for _ in range(4)]
        assert (down in chosen) is idempotent


def test_ejected_server_gets_non_idempotent_requests_again_after_its_probation() -> None:
    """Guards against a service without servers after a few lost answers."""
    driver = warmed_up_driver(idempotent=False)
    for server in driver.state.servers_by_id.values():
        server.consecutive_failures = FAILURES_TO_EJECT
        server.ejected_until = driver.now + MIN_EJECTION_MS
    driver.wait(MIN_EJECTION_MS + PROBATION_MS)
    call_ids = [driver.request("/once/x") for _ in range(3)]
    assert {driver.sent(call_id)[0].server_id for call_id in call_ids} == {"a-1", "a-2", "a-3"}


def test_silent_server_gets_no_further_requests() -> None:
    """Guards against requests that accumulate at a server that has stopped answering."""
    driver = warmed_up_driver()
    silent = driver.sent(driver.request("/one/x"))[0].server_id
    driver.wait(260)
    chosen = {driver.sent(driver.request("/one/x"))[0].server_id for _ in range(4)}
    assert silent not in chosen


def test_connections_of_a_server_are_divided_among_the_instances() -> None:
    """Guards against more connections than a server accepts from all instances."""
    driver = Driver().start(configuration(single_route(), max_connections=40), 1)
    calls = [driver.request("/one/x") for _ in range(5)]
    assert [len(driver.sent(call_id)) for call_id in calls] == [1, 1, 1, 0, 0]


def test_own_failure_domain_is_preferred_among_equal_servers() -> None:
    """Guards against needless traffic between failure domains."""
    driver = warmed_up_driver(servers=2)
    driver.dispatch(ServerEntryReceived(driver.now, entry("a-1", "a", 2, domain="south")))
    counts = Counter(serve(driver, {"a-1": 20.0, "a-2": 20.0}) for _ in range(50))
    assert counts["a-2"] >= 40


def test_paused_server_gets_no_requests_before_its_answers_show_the_pause() -> None:
    """Guards against parts that queue at a server that has just stopped answering."""
    driver = warmed_up_driver()
    chosen = []
    for _ in range(6):
        sent = driver.sent(driver.request("/one/x", budget_ms=2_000))[0]
        chosen.append(sent.server_id)
        if sent.server_id != "a-1":
            driver.wait(20)
            driver.answer(sent)
        else:
            driver.wait(40)
    assert chosen.count("a-1") == 1


def test_searches_avoid_servers_that_pause() -> None:
    """Guards against late searches while servers pause, each now and then at its own time.

    A shard has two other servers during a pause, so nine of ten searches can be in time.
    """
    deployment = Simulation(
        instances=6,
        shards=10,
        target_ms=100.0,
        min_share=1.0,
        service_ms=service_ms_with_pauses,
    )
    deployment.run(per_second=150, seconds=8)
    start = min(deployment.arrived_at.values())
    assert deployment.share_in_time(start + 1_000, start + 8_000) >= 0.9


def service_ms_with_pauses(server_id: str, now: float) -> float:
    """Return the service time of a request that a server starts to run; it waits for a pause."""
    offset_ms = zlib.crc32(server_id.encode()) % PAUSE_EVERY_MS
    into_pause_ms = (now + offset_ms) % PAUSE_EVERY_MS
    return 15.0 + max(0.0, PAUSE_MS - into_pause_ms)
