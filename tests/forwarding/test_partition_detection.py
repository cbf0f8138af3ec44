"""Tests of the detection of network partitions."""

from __future__ import annotations

from tests.forwarding.driving import Driver, configuration, entry, gather_route
from turmerictiller.forwarding.effects import ProbeConnection
from turmerictiller.forwarding.events import (
    ConfigurationReceived,
    ConnectionProbed,
    FailureKind,
    ServersListed,
)

SHARDS = 4


def driver_with_servers(own_domain: int) -> Driver:
    """Return a driver with servers of all shards in two other domains.

    :param own_domain: number of shards that also have a server in the domain of the instance.
    """
    driver = Driver()
    driver.dispatch(ConfigurationReceived(driver.now, configuration(gather_route(SHARDS))))
    entries = [
        entry(f"s{index}-{place}", f"s{index}", domain=place)
        for index in range(SHARDS)
        for place in ("south", "west", *(["north"] if index < own_domain else []))
    ]
    driver.dispatch(ServersListed(driver.now, 1, tuple(entries)))
    run_requests(driver, unreachable_domains=(), seconds=1)
    return driver


def run_requests(driver: Driver, unreachable_domains: tuple[str, ...], seconds: float) -> None:
    """Send requests for some time; connections to unreachable domains are refused."""
    for _ in range(int(seconds * 20)):
        call_id = driver.request()
        answered = 0
        while answered < len(driver.sent(call_id)):
            sent = driver.sent(call_id)[answered]
            answered += 1
            if sent.server_id.partition("-")[2] in unreachable_domains:
                driver.fail(sent, FailureKind.REFUSED, may_have_run=False)
            else:
                driver.wait(1)
                driver.answer(sent)
        driver.wait(45)


def test_partitioned_instance_is_not_ready_until_a_probe_succeeds() -> None:
    """Guards against refusals by a partitioned instance while other instances could serve."""
    driver = driver_with_servers(own_domain=2)
    run_requests(driver, unreachable_domains=("south", "west"), seconds=2)
    assert driver.state.is_partitioned
    driver.wait(600)
    probes = driver.effects_of(ProbeConnection)
    assert probes
    driver.dispatch(ConnectionProbed(driver.now, probes[-1].server_id, FailureKind.CONNECT_TIMEOUT))
    assert driver.state.is_partitioned
    driver.dispatch(ConnectionProbed(driver.now, probes[-1].server_id))
    assert not driver.state.is_partitioned
    assert len(driver.logged("cut_off")) == len(driver.logged("reconnected")) == 1


def test_partitioned_instance_that_can_serve_all_routes_stays_ready() -> None:
    """Guards against instances that needlessly report themselves as not ready."""
    driver = driver_with_servers(own_domain=SHARDS)
    run_requests(driver, unreachable_domains=("south", "west"), seconds=2)
    assert not driver.state.is_partitioned


def test_failure_of_one_domain_is_not_taken_for_a_partition() -> None:
    """Guards against all instances that report themselves as not ready when servers crash."""
    driver = driver_with_servers(own_domain=2)
    run_requests(driver, unreachable_domains=("south",), seconds=3)
    assert not driver.state.is_partitioned
