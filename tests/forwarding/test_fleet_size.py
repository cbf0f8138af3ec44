"""Tests of the number among which shares are divided."""

from __future__ import annotations

from tests.forwarding.exchanging import exchange_all, instance
from turmerictiller.forwarding.events import PeerHeard
from turmerictiller.forwarding.fleet_size import KEEP_NUMBER_MS, instances
from turmerictiller.forwarding.peers import LEAST_LIFE_MS, own_hello


def test_share_of_an_instance_that_is_cut_off_grows_late() -> None:
    """Guards against budgets that both sides of a partition use as if they were alone."""
    drivers = [instance(number) for number in range(1, 6)]
    exchange_all(drivers, 8)
    lonely = drivers[-1]
    exchange_all(drivers, int(LEAST_LIFE_MS / 1000) + 4, cut=("10.0.0.5:7000",))
    assert lonely.state.peers_by_id == {}
    assert instances(lonely.state) == 5
    exchange_all(drivers, int(KEEP_NUMBER_MS / 1000), cut=("10.0.0.5:7000",))
    assert instances(drivers[0].state) == 4


def test_all_are_known_though_an_exchange_tells_of_a_few() -> None:
    """Guards against shares that are too large because instances are forgotten between news."""
    drivers = [instance(number) for number in range(1, 61)]
    exchange_all(drivers, 12)
    for _ in range(40):
        exchange_all(drivers, 1)
        assert {instances(driver.state) for driver in drivers} == {60}


def test_instance_that_has_just_started_learns_the_number_at_once() -> None:
    """Guards against budgets that many restarted instances use as if they were few."""
    drivers = [instance(number) for number in range(1, 61)]
    exchange_all(drivers, 12)
    started = instance(61)
    started.give(PeerHeard(started.now, own_hello(drivers[0].state)))
    assert instances(started.state) >= 60
