"""Tests of the dispatch of searches when shards have no capacity."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hypothesis import given
from hypothesis import strategies as st

from tests.forwarding.driving import (
    Driver,
    configuration,
    gather_route,
    refusal_of,
    sharded_driver,
)
from tests.forwarding.simulation import Simulation
from turmerictiller.errors import Ran, RefusalType
from turmerictiller.forwarding.effects import SendMergedAnswer
from turmerictiller.forwarding.server_selection import FAILURES_TO_EJECT

if TYPE_CHECKING:
    from turmerictiller.forwarding.effects import SendAttempt

SHARDS = 5
MAX_CONNECTIONS = 27  # a single instance may have two attempts at a server
CAPACITY = 2


def driver_without_capacity_at(*services: str) -> tuple[Driver, dict[str, list[SendAttempt]]]:
    """Return a driver with one server a shard, and the attempts that occupy some shards."""
    route = gather_route(SHARDS, 0.8)
    driver = Driver().start(configuration(route, max_connections=MAX_CONNECTIONS), 1)
    occupying: dict[str, list[SendAttempt]] = {service: [] for service in services}
    call_ids = [driver.request() for _ in range(CAPACITY)]
    driver.wait(10)
    for sent in [item for call_id in call_ids for item in driver.sent(call_id)]:
        service = sent.server_id.partition("-")[0]
        if service in occupying:
            occupying[service].append(sent)
        else:
            driver.answer(sent)
    return driver, occupying


def test_search_that_can_miss_a_part_is_sent_without_it() -> None:
    """Guards against searches that wait for a shard which they can do without."""
    driver, _ = driver_without_capacity_at("s0")
    call_id = driver.request()
    assert len(driver.sent(call_id)) == SHARDS - 1


def test_search_is_sent_as_a_whole_when_its_scarce_shards_have_capacity() -> None:
    """Guards against work at other shards for a search that no scarce shard serves."""
    driver, occupying = driver_without_capacity_at("s0", "s1")
    call_id = driver.request()
    assert driver.sent(call_id) == []
    driver.wait(10)
    driver.answer(occupying["s1"][0])
    assert len(driver.sent(call_id)) == SHARDS - 1
    driver.answer(occupying["s0"][0])
    assert len(driver.sent(call_id)) == SHARDS
    for sent in driver.sent(call_id):
        driver.answer(sent)
    outcome = driver.outcome(call_id)
    assert isinstance(outcome, SendMergedAnswer)
    assert outcome.missing == 0


def test_held_search_does_not_delay_the_probe_of_an_ejected_server() -> None:
    """Guards against servers that stay ejected because probes were chosen but never sent."""
    driver, _ = driver_without_capacity_at("s0", "s1")
    ejected = driver.state.servers_by_id["s2-1"]
    ejected.consecutive_failures = FAILURES_TO_EJECT
    ejected.unreachable = True
    ejected.ejected_until = driver.now
    call_id = driver.request()
    driver.wait(30)
    assert driver.sent(call_id) == []
    assert ejected.ejected_until <= driver.now


def test_search_that_was_held_beyond_the_hedge_delay_is_still_hedged() -> None:
    """Guards against late parts that are not hedged because they were sent after the hedge timer."""
    driver = sharded_driver(min_share=1.0, target_ms=200.0)
    for server in driver.state.services_by_name["s0"].servers_by_id.values():
        server.limit = 1.0
    blocking = [driver.request() for _ in range(3)]
    call_id = driver.request()
    assert driver.sent(call_id) == []
    driver.wait(driver.state.times_by_route["all"].hedge_delay_ms + 5)
    for sent in [item for blocked in blocking for item in driver.sent(blocked)]:
        driver.answer(sent)
    first = driver.sent(call_id)
    assert len(first) == 4
    for sent in first[:-1]:
        driver.answer(sent)
    driver.wait(60)
    assert len(driver.sent(call_id)) == 5


def test_search_without_capacity_is_refused_as_not_run() -> None:
    """Guards against "may have run" for searches that never had a chance."""
    driver, _ = driver_without_capacity_at("s0", "s1")
    call_id = driver.request()
    driver.wait(30)
    assert driver.sent(call_id) == []
    assert refusal_of(driver, call_id) == (RefusalType.NO_SERVER, Ran.NO)


@given(freed=st.lists(st.sampled_from(["s0", "s1", "s2"]), max_size=6))
def test_held_search_is_never_sent_in_part(freed: list[str]) -> None:
    """Guards against searches of which fewer parts are sent than an answer needs."""
    driver, occupying = driver_without_capacity_at("s0", "s1", "s2")
    call_ids = [driver.request() for _ in range(3)]
    for service in freed:
        driver.wait(3)
        if occupying[service]:
            driver.answer(occupying[service].pop())
    driver.wait(30)
    for call_id in call_ids:
        sent = driver.sent(call_id)
        assert not sent or len(sent) >= SHARDS - 1
        if not sent:
            assert refusal_of(driver, call_id) == (RefusalType.NO_SERVER, Ran.NO)


def test_crest_at_two_shards_with_one_server_wastes_no_work() -> None:
    """Guards against refused searches that occupied servers at the crest of demand."""
    deployment = Simulation(
        instances=4,
        shards=SHARDS,
        target_ms=150.0,
        min_share=0.8,
        service_ms=lambda server_id, now: 30.0,
        removed_servers=("s0-1", "s0-2", "s1-1", "s1-2"),
    )
    deployment.run(per_second=400, seconds=4)
    assert len(deployment.refused_calls) > 100
    assert not deployment.refused_calls & deployment.sent_calls
