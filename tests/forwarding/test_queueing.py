"""Tests of parts that wait for room."""

from __future__ import annotations

from dataclasses import replace

from tests.forwarding.driving import HOST, Driver, configuration, gather_route, single_route
from turmerictiller.errors import Ran
from turmerictiller.forwarding.effects import Refuse, SendMergedAnswer
from turmerictiller.forwarding.model import Configuration


def full(shards: int = 2, servers: int = 1) -> tuple[Driver, list[int]]:
    """Return a driver whose servers have no room left, and the requests that took it."""
    config = configuration(gather_route(shards, 1.0), max_connections=27)
    driver = Driver().start(config, servers)
    return driver, [driver.request() for _ in range(2)]


def test_part_is_sent_when_there_is_room() -> None:
    """Guards against refusals in bursts that are over in a moment."""
    driver, first = full()
    call_id = driver.request()
    assert driver.sent(call_id) == []
    assert driver.outcome(call_id) is None
    driver.wait(5)
    for sent in driver.sent(first[0]):
        driver.answer(sent)
    assert len(driver.sent(call_id)) == 2
    for sent in driver.sent(call_id):
        driver.answer(sent)
    assert isinstance(driver.outcome(call_id), SendMergedAnswer)


def test_wait_is_short_and_the_refusal_true() -> None:
    """Guards against callers that are told too late to come back."""
    driver, _ = full()
    call_id = driver.request()
    driver.wait(19)
    assert driver.outcome(call_id) is None
    driver.wait(1)
    outcome = driver.outcome(call_id)
    assert isinstance(outcome, Refuse)
    assert outcome.refusal.ran is Ran.NO
    assert driver.sent(call_id) == []


def test_urgent_requests_get_room_first() -> None:
    """Guards against urgent requests behind less urgent ones."""
    low = replace(single_route(), name="low", prefix="/low/", priority=3)
    high = replace(single_route(), name="high", prefix="/high/", priority=1)
    services = configuration(low, max_connections=27).services_by_name
    config = Configuration(1, {HOST: {route.prefix: route for route in (low, high)}}, services)
    driver = Driver().start(config, 1)
    first = [driver.request("/low/x") for _ in range(2)]
    later, urgent = driver.request("/low/x"), driver.request("/high/x")
    driver.answer(driver.sent(first[0])[0])
    assert (len(driver.sent(urgent)), len(driver.sent(later))) == (1, 0)
    driver.answer(driver.sent(first[1])[0])
    assert len(driver.sent(later)) == 1


def test_nothing_waits_where_no_server_could_take_it() -> None:
    """Guards against waiting for servers that are gone."""
    driver = Driver().start(configuration(gather_route(2, 1.0)), 0)
    assert isinstance(driver.outcome(driver.request()), Refuse)


def test_time_to_come_back_is_when_there_is_room() -> None:
    """Guards against callers that come back too early and are refused again."""
    driver, first = full()
    driver.wait(90)
    for call_id in first:
        for sent in driver.sent(call_id):
            driver.answer(sent)
    for _ in range(2):
        driver.request()
    driver.wait(30)
    outcome = driver.outcome(driver.request())
    assert isinstance(outcome, Refuse)
    assert outcome.refusal.retry_after_ms is not None
    # The servers took 90 ms, and two of them are at work for 30 ms.
    assert 45 <= outcome.refusal.retry_after_ms <= 75


def test_nothing_waits_for_servers_that_take_too_long() -> None:
    """Guards against searches that are sent in part and fail for the rest."""
    driver, first = full()
    driver.wait(90)
    for call_id in first:
        for sent in driver.sent(call_id):
            driver.answer(sent)
    for _ in range(2):
        driver.request()
    call_id = driver.request()
    assert isinstance(driver.outcome(call_id), Refuse)
    assert driver.sent(call_id) == []
