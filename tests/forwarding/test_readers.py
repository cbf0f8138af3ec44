"""Tests of which instances read the registry, and of how old the others' knowledge gets."""

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
    :param cut: addresses that reach no other instance.
    :param deaf: addresses whose reads of the registry tell nothing.
    """

    number: int
    reads: dict[str, int] = field(default_factory=dict)
    cut: set[str] = field(default_factory=set)
    deaf: set[str] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.drivers = [
            instance(index + 1, domain=DOMAINS[index % len(DOMAINS)], bound_ms=BOUND_MS)
            for index in range(self.number)
        ]

    def run(self, seconds: int) -> None:
        """Let instances read, where that is their plan, and tell each other."""
        for _ in range(seconds):
            for driver in self.drivers:
                if plan(driver) is not ReadPlan.FOLLOWER:
                    self._read(driver)
            run_gossip(self.drivers, 1, self.cut, self._on_answer)

    def _read(self, driver: Driver) -> None:
        settings = driver.state.settings
        self.reads[settings.instance_id] = self.reads.get(settings.instance_id, 0) + 1
        if settings.peer_address not in self.deaf:
            driver.dispatch(RegistryRead(driver.now, 7, driver.now))

    def _on_answer(self, driver: Driver, question: GossipMessage, answer: GossipMessage) -> None:
        if question.follows and answer.revision >= question.revision:
            read_at = driver.now - answer.read_age_ms
            driver.dispatch(RegistryRead(driver.now, answer.revision, read_at))

    def readers(self) -> list[Driver]:
        """Return the instances that read for others."""
        return [driver for driver in self.drivers if is_reader(driver.state)]


def plan(driver: Driver) -> ReadPlan:
    """Return how an instance learns what the registry holds now."""
    return read_plan(driver.state, driver.now)


def test_every_instance_of_a_small_fleet_reads() -> None:
    """Guards against small deployments whose instances depend on each other for no gain."""
    fleet = Fleet(MAX_DIRECT_READERS)
    fleet.run(8)
    assert {plan(driver) for driver in fleet.drivers} == {ReadPlan.DIRECT}


@pytest.mark.parametrize("number", [90, 195])
def test_reads_of_a_large_fleet_do_not_grow_with_it(number: int) -> None:
    """Guards against calls of the registry that grow with the number of instances."""
    fleet = Fleet(number)
    fleet.run(14)
    assert len(fleet.readers()) == READERS_PER_DOMAIN * len(DOMAINS)
    fleet.reads.clear()
    fleet.run(10)
    # Beside the readers, a few read once because they asked others that had heard nothing new.
    assert sum(fleet.reads.values()) <= 1.5 * 10 * len(fleet.readers())


@pytest.mark.parametrize("trouble", ["deaf", "cut"])
def test_instances_read_for_themselves_when_their_readers_tell_nothing_new(trouble: str) -> None:
    """Guards against instances that miss changes with readers that are cut off or hear nothing."""
    fleet = Fleet(90)
    fleet.run(14)
    readers = {driver.state.settings.peer_address for driver in fleet.readers()}
    setattr(fleet, trouble, readers)
    for _ in range(8):
        fleet.run(1)
        for driver in fleet.drivers:
            if driver.state.settings.peer_address not in readers:
                # A second passes before each reading, and a reading itself takes none here.
                assert driver.now - driver.state.registry_read_at <= BOUND_MS


def test_log_tells_how_an_instance_reads_and_what_decided_it() -> None:
    """Guards against old knowledge that no line explains, and against a line each second."""
    fleet = Fleet(90)
    fleet.run(20)
    plans = [line.fields["plan"] for line in fleet.drivers[0].logged("registry_plan")]
    assert plans[0] == "alone"
    assert plans[-1] == plan(fleet.drivers[0]).value
    assert len(plans) <= 8


def test_knowledge_is_as_old_as_the_read_that_it_comes_from() -> None:
    """Guards against knowledge that instances tell each other for ever as if it were new."""
    fleet = Fleet(90)
    fleet.run(14)
    fleet.deaf = {driver.state.settings.peer_address for driver in fleet.drivers}
    fleet.run(6)
    assert {plan(driver) for driver in fleet.drivers} == {ReadPlan.READER}


def test_instances_that_must_know_changes_at_once_read_for_themselves() -> None:
    """Guards against more calls than before where the platform allows little time."""
    drivers = [instance(index + 1, bound_ms=3_000.0) for index in range(40)]
    run_gossip(drivers, 10)
    assert {plan(driver) for driver in drivers} == {ReadPlan.DIRECT}
