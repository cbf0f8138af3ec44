"""Tests of the election of registry readers, and of the age of the data that others receive."""

from __future__ import annotations

from dataclasses import dataclass, field

import pytest

from tests.forwarding.driving import Driver
from tests.forwarding.gossip_simulation import instance, run_gossip
from turmerictiller.forwarding.events import RegistryRead
from turmerictiller.forwarding.peer_model import GossipMessage
from turmerictiller.forwarding.readers import (
    MAX_DIRECT_READERS,
    READERS_PER_DOMAIN,
    ReadPlan,
    is_reader,
    read_plan,
)

DOMAINS = ("d0", "d1", "d2", "d3", "d4")
BOUND_MS = 5_000.0  # as on the deployments of 68 to 90 instances


@dataclass
class Fleet:
    """Instances of which some read a registry that is at revision 7.

    :param reads: reads of the registry so far, by instance.
    :param partitioned_addresses: addresses that reach no other instance.
    :param stale_addresses: addresses whose reads of the registry return nothing.
    """

    size: int
    reads: dict[str, int] = field(default_factory=dict)
    partitioned_addresses: set[str] = field(default_factory=set)
    stale_addresses: set[str] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.drivers = [
            instance(index + 1, domain=DOMAINS[index % len(DOMAINS)], bound_ms=BOUND_MS)
            for index in range(self.size)
        ]

    def run(self, seconds: int) -> None:
        """Let instances read the registry according to their plan, and run gossip."""
        for _ in range(seconds):
            for driver in self.drivers:
                if plan(driver) is not ReadPlan.FOLLOWER:
                    self._read(driver)
            run_gossip(self.drivers, 1, self.partitioned_addresses, self._on_reply)

    def _read(self, driver: Driver) -> None:
        settings = driver.state.settings
        self.reads[settings.instance_id] = self.reads.get(settings.instance_id, 0) + 1
        if settings.peer_address not in self.stale_addresses:
            driver.dispatch(RegistryRead(driver.now, 7, driver.now))

    def _on_reply(self, driver: Driver, message: GossipMessage, reply: GossipMessage) -> None:
        if message.follows and reply.revision >= message.revision:
            read_at = driver.now - reply.read_age_ms
            driver.dispatch(RegistryRead(driver.now, reply.revision, read_at))

    def readers(self) -> list[Driver]:
        """Return the instances that are elected as readers."""
        return [driver for driver in self.drivers if is_reader(driver.state)]


def plan(driver: Driver) -> ReadPlan:
    """Return the current read plan of an instance."""
    return read_plan(driver.state, driver.now)


def test_every_instance_of_a_small_fleet_reads_directly() -> None:
    """Guards against small deployments whose instances needlessly depend on each other."""
    fleet = Fleet(MAX_DIRECT_READERS)
    fleet.run(8)
    assert {plan(driver) for driver in fleet.drivers} == {ReadPlan.DIRECT}


@pytest.mark.parametrize("size", [90, 195])
def test_number_of_reads_does_not_grow_with_a_large_fleet(size: int) -> None:
    """Guards against calls of the registry that grow with the number of instances."""
    fleet = Fleet(size)
    fleet.run(14)
    assert len(fleet.readers()) == READERS_PER_DOMAIN * len(DOMAINS)
    fleet.reads.clear()
    fleet.run(10)
    # Besides the readers, a few followers read once because they received stale gossip.
    assert sum(fleet.reads.values()) <= 1.5 * 10 * len(fleet.readers())


@pytest.mark.parametrize("fault", ["stale_addresses", "partitioned_addresses"])
def test_instances_read_directly_when_their_readers_fail(fault: str) -> None:
    """Guards against followers that miss changes because their readers are partitioned or stale."""
    fleet = Fleet(90)
    fleet.run(14)
    readers = {driver.state.settings.peer_address for driver in fleet.readers()}
    setattr(fleet, fault, readers)
    for _ in range(8):
        fleet.run(1)
        for driver in fleet.drivers:
            if driver.state.settings.peer_address not in readers:
                # Instances read once a second, and a read takes no simulated time.
                assert driver.now - driver.state.registry_read_at <= BOUND_MS


def test_read_plan_is_logged_when_it_changes() -> None:
    """Guards against stale data that no log line explains, and against a line each second."""
    fleet = Fleet(90)
    fleet.run(20)
    plans = [line.fields["plan"] for line in fleet.drivers[0].logged("registry_plan")]
    assert plans[0] == "alone"
    assert plans[-1] == plan(fleet.drivers[0]).value
    assert len(plans) <= 8


def test_gossip_keeps_the_age_of_the_registry_read() -> None:
    """Guards against stale data that instances propagate as if it were current."""
    fleet = Fleet(90)
    fleet.run(14)
    fleet.stale_addresses = {driver.state.settings.peer_address for driver in fleet.drivers}
    fleet.run(6)
    assert {plan(driver) for driver in fleet.drivers} == {ReadPlan.READER}


def test_instances_with_a_tight_bound_read_directly() -> None:
    """Guards against extra reads where changes must take effect within a short time."""
    drivers = [instance(index + 1, bound_ms=3_000.0) for index in range(40)]
    run_gossip(drivers, 10)
    assert {plan(driver) for driver in drivers} == {ReadPlan.DIRECT}
