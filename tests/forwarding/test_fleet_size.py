"""Tests of the instance count by which shared budgets are divided."""

from __future__ import annotations

from tests.forwarding.gossip_simulation import instance, run_gossip
from turmerictiller.forwarding.events import GossipReceived
from turmerictiller.forwarding.fleet_size import PEAK_HOLD_MS, instance_count
from turmerictiller.forwarding.peers import MIN_PEER_TTL_MS, build_gossip


def test_share_of_a_partitioned_instance_grows_only_after_the_peak_hold() -> None:
    """Guards against full budgets on both sides of a partition."""
    drivers = [instance(number) for number in range(1, 6)]
    run_gossip(drivers, 8)
    partitioned = drivers[-1]
    run_gossip(drivers, int(MIN_PEER_TTL_MS / 1000) + 4, partitioned_addresses=("10.0.0.5:7000",))
    assert partitioned.state.peers_by_id == {}
    assert instance_count(partitioned.state) == 5
    run_gossip(drivers, int(PEAK_HOLD_MS / 1000), partitioned_addresses=("10.0.0.5:7000",))
    assert instance_count(drivers[0].state) == 4


def test_instance_count_is_complete_though_messages_cover_a_sample() -> None:
    """Guards against shares that are too large because peers are evicted between updates."""
    drivers = [instance(number) for number in range(1, 61)]
    run_gossip(drivers, 12)
    for _ in range(40):
        run_gossip(drivers, 1)
        assert {instance_count(driver.state) for driver in drivers} == {60}


def test_new_instance_adopts_the_reported_count_at_once() -> None:
    """Guards against excessive budgets after many instances have restarted."""
    drivers = [instance(number) for number in range(1, 61)]
    run_gossip(drivers, 12)
    started = instance(61)
    started.dispatch(GossipReceived(started.now, build_gossip(drivers[0].state)))
    assert instance_count(started.state) >= 60
