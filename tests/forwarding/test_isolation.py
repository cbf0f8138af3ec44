"""Tests of instances that are cut off from other failure domains."""

from __future__ import annotations

from tests.forwarding.driving import Driver, configuration, entry, gather_route
from turmerictiller.forwarding.effects import ProbeConnection
from turmerictiller.forwarding.events import (
    ConfigurationReceived,
    ConnectionProbed,
    Failure,
    ServersListed,
)

SHARDS = 4


def started(own_domain: int) -> Driver:
    """Return a driver with servers of all shards elsewhere, and of the first shards here as well."""
    driver = Driver()
    driver.dispatch(ConfigurationReceived(driver.now, configuration(gather_route(SHARDS))))
    entries = [
        entry(f"s{index}-{place}", f"s{index}", domain=place)
        for index in range(SHARDS)
        for place in ("south", "west", *(["north"] if index < own_domain else []))
    ]
    driver.dispatch(ServersListed(driver.now, 1, tuple(entries)))
    play(driver, cut=(), seconds=1)
    return driver


def play(driver: Driver, cut: tuple[str, ...], seconds: float) -> None:
    """Send requests while servers of these domains can not be reached."""
    for _ in range(int(seconds * 20)):
        call_id = driver.request()
        done = 0
        while done < len(driver.sent(call_id)):
            sent = driver.sent(call_id)[done]
            done += 1
            if sent.server_id.partition("-")[2] in cut:
                driver.fail(sent, Failure.REFUSED, may_have_run=False)
            else:
                driver.wait(1)
                driver.answer(sent)
        driver.wait(45)


def test_instance_that_can_not_serve_alone_is_not_ready_until_it_reaches_others() -> None:
    """Guards against callers that are refused though other instances could serve them."""
    driver = started(own_domain=2)
    play(driver, cut=("south", "west"), seconds=2)
    assert driver.state.is_partitioned
    driver.wait(600)
    tested = driver.effects_of(ProbeConnection)
    assert tested
    driver.dispatch(ConnectionProbed(driver.now, tested[-1].server_id, Failure.CONNECT_TIMEOUT))
    assert driver.state.is_partitioned
    driver.dispatch(ConnectionProbed(driver.now, tested[-1].server_id))
    assert not driver.state.is_partitioned
    assert len(driver.logged("cut_off")) == len(driver.logged("reconnected")) == 1


def test_instance_that_can_serve_alone_stays_ready() -> None:
    """Guards against a failure domain that sends its callers away needlessly."""
    driver = started(own_domain=SHARDS)
    play(driver, cut=("south", "west"), seconds=2)
    assert not driver.state.is_partitioned


def test_loss_of_some_servers_is_no_partition() -> None:
    """Guards against all instances that report themselves not ready when servers crash."""
    driver = started(own_domain=2)
    play(driver, cut=("south",), seconds=3)
    assert not driver.state.is_partitioned
