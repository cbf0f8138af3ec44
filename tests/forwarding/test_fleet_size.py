"""Tests of the number among which shares are divided."""

from __future__ import annotations

from tests.forwarding.gossip_simulation import instance, run_gossip
from turmerictiller.forwarding.events import GossipReceived
from turmerictiller.forwarding.fleet_size import PEAK_HOLD_MS, instance_count
from turmerictiller.forwarding.peers import MIN_PEER_TTL_MS, build_gossip


def test_share_of_an_instance_that_is_cut_off_grows_late() -> None:
    """Guards against budgets that both sides of a partition use as if they were alone."""
    drivers = [instance(number) for number in range(1, 6)]
    run_gossip(drivers, 8)
    lonely = drivers[-1]
    run_gossip(drivers, int(MIN_PEER_TTL_MS / 1000) + 4, cut=("10.0.0.5:7000",))
    assert lonely.state.peers_by_id == {}
    assert instance_count(lonely.state) == 5
    run_gossip(drivers, int(PEAK_HOLD_MS / 1000), cut=("10.0.0.5:7000",))
    assert instance_count(drivers[0].state) == 4


def test_all_are_known_though_an_exchange_tells_of_a_few() -> None:
    """Guards against shares that are too large because instances are forgotten between news."""
    drivers = [instance(number) for number in range(1, 61)]
    run_gossip(drivers, 12)
    for _ in range(40):
        run_gossip(drivers, 1)
        assert {instance_count(driver.state) for driver in drivers} == {60}


def test_instance_that_has_just_started_learns_the_number_at_once() -> None:
    """Guards against budgets that many restarted instances use as if they were few."""
    drivers = [instance(number) for number in range(1, 61)]
    run_gossip(drivers, 12)
    started = instance(61)
    started.dispatch(GossipReceived(started.now, build_gossip(drivers[0].state)))
    assert instance_count(started.state) >= 60
