"""Tests of admission control."""

from __future__ import annotations

from tests.forwarding.driving import (
    Driver,
    configuration,
    gather_route,
    refusal_of,
)
from turmerictiller.errors import Ran, RefusalType
from turmerictiller.forwarding.effects import ReplyRefusal
from turmerictiller.forwarding.events import ServerEntryRemoved


def test_search_below_the_minimum_share_is_refused_without_being_sent() -> None:
    """Guards against searches that are sent though they must fail, and against a false ``ran``."""
    driver = Driver().start(configuration(gather_route()), 1)
    for server_id in ("s0-1", "s1-1"):
        driver.dispatch(ServerEntryRemoved(driver.now, server_id, 5))
    driver.wait(2_000)
    call_id = driver.request()
    assert driver.sent(call_id) == []
    assert refusal_of(driver, call_id) == (RefusalType.NO_SERVER, Ran.NO)
    outcome = driver.outcome(call_id)
    assert isinstance(outcome, ReplyRefusal)
    assert outcome.refusal.retry_after_ms is not None
    assert outcome.refusal.retry_after_ms > 0
