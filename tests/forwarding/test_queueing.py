"""Tests of the queue of parts without capacity."""

from __future__ import annotations

from dataclasses import replace

from tests.forwarding.driving import HOST, Driver, configuration, gather_route, single_route
from turmerictiller.errors import Ran
from turmerictiller.forwarding.effects import ReplyRefusal, SendMergedAnswer
from turmerictiller.forwarding.model import Configuration


def driver_without_capacity(shards: int = 2, servers: int = 1) -> tuple[Driver, list[int]]:
    """Return a driver whose servers have no capacity left, and the requests in flight."""
    config = configuration(gather_route(shards, 1.0), max_connections=27)
    driver = Driver().start(config, servers)
    return driver, [driver.request() for _ in range(2)]


def test_queued_part_is_sent_when_there_is_capacity() -> None:
    """Guards against refusals in short bursts."""
    driver, first = driver_without_capacity()
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


def test_queue_time_is_short_and_the_refusal_reports_not_run() -> None:
    """Guards against refusals that come too late for a retry of the caller."""
    driver, _ = driver_without_capacity()
    call_id = driver.request()
    driver.wait(19)
    assert driver.outcome(call_id) is None
    driver.wait(1)
    outcome = driver.outcome(call_id)
    assert isinstance(outcome, ReplyRefusal)
    assert outcome.refusal.ran is Ran.NO
    assert driver.sent(call_id) == []


def test_urgent_requests_are_dequeued_first() -> None:
    """Guards against urgent requests that are queued behind less urgent ones."""
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


def test_part_without_servers_is_not_queued() -> None:
    """Guards against parts that are queued though the service has no servers."""
    driver = Driver().start(configuration(gather_route(2, 1.0)), 0)
    assert isinstance(driver.outcome(driver.request()), ReplyRefusal)


def test_retry_time_is_when_capacity_is_expected() -> None:
    """Guards against callers that retry too early and are refused again."""
    driver, first = driver_without_capacity()
    driver.wait(90)
    for call_id in first:
        for sent in driver.sent(call_id):
            driver.answer(sent)
    for _ in range(2):
        driver.request()
    driver.wait(30)
    outcome = driver.outcome(driver.request())
    assert isinstance(outcome, ReplyRefusal)
    assert outcome.refusal.retry_after_ms is not None
    # Answers took 90 ms, and two servers have been busy for 30 ms.
    assert 45 <= outcome.refusal.retry_after_ms <= 75


def test_part_is_not_queued_for_servers_that_are_too_slow() -> None:
    """Guards against searches of which some parts are sent and others time out in the queue."""
    driver, first = driver_without_capacity()
    driver.wait(90)
    for call_id in first:
        for sent in driver.sent(call_id):
            driver.answer(sent)
    for _ in range(2):
        driver.request()
    call_id = driver.request()
    assert isinstance(driver.outcome(call_id), ReplyRefusal)
    assert driver.sent(call_id) == []
