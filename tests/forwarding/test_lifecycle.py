"""Tests of the shutdown of the process."""

from __future__ import annotations

import pytest

from tests.forwarding.driving import (
    Driver,
    configuration,
    gather_route,
    refusal_of,
    single_route,
)
from turmerictiller.errors import Ran, RefusalType
from turmerictiller.forwarding.effects import CloseListeners, ReplyRefusal, SendMergedAnswer, Stop
from turmerictiller.forwarding.events import CallersLeft, ShutdownRequested, Tick
from turmerictiller.forwarding.lifecycle import END_MARGIN_MS
from turmerictiller.phases import ProcessPhase


def draining_driver() -> Driver:
    """Return a driver that has just been requested to shut down."""
    driver = Driver().start(configuration(gather_route(), single_route(idempotent=False)))
    driver.dispatch(ShutdownRequested(driver.now))
    return driver


def test_requests_are_served_until_the_load_balancer_has_removed_the_instance() -> None:
    """Guards against requests that a shutdown leaves unfinished."""
    driver = draining_driver()
    assert driver.state.phase is ProcessPhase.DRAINING
    call_id = driver.request()
    for sent in driver.sent(call_id):
        driver.answer(sent)
    assert isinstance(driver.outcome(call_id), SendMergedAnswer)
    driver.wait(2_000)
    assert driver.effects_of(CloseListeners) == []
    driver.wait(1_000)
    assert len(driver.effects_of(CloseListeners)) == 1
    assert driver.effects_of(Stop) == []
    driver.dispatch(CallersLeft(driver.now))
    assert len(driver.effects_of(Stop)) == 1


def test_every_request_has_its_answer_before_the_kill() -> None:
    """Guards against requests without an answer when the process is killed."""
    driver = Driver().start(configuration(gather_route(), single_route(idempotent=False)))
    call_id = driver.request("/once/x", budget_ms=60_000)
    driver.dispatch(ShutdownRequested(driver.now))
    driver.wait(GRACE_S * 1_000 - 100)
    assert isinstance(driver.outcome(call_id), ReplyRefusal)
    assert len(driver.effects_of(Stop)) == 1


@pytest.mark.parametrize("path", ["/once/x", "/all/x"])
def test_request_in_flight_is_answered_at_the_limit_after_a_pause(path: str) -> None:
    """Guards against a connection that ends without an answer after a pause of the process."""
    driver = Driver().start(configuration(gather_route(), single_route(idempotent=False)))
    driver.dispatch(ShutdownRequested(driver.now))
    driver.wait(GRACE_S * 1_000 - 2_000)
    call_id = driver.request(path, budget_ms=60_000)
    # The deadline and the limit pass while the process does not run.
    driver.now = driver.state.ends_at + END_MARGIN_MS - 50
    effects = driver.dispatch(Tick(driver.now))
    outcome = driver.outcome(call_id)
    assert isinstance(outcome, ReplyRefusal)
    assert outcome.refusal.ran is Ran.MAYBE
    kinds = [type(effect) for effect in effects]
    assert kinds.index(ReplyRefusal) < kinds.index(Stop)


def test_non_idempotent_request_is_refused_shortly_before_the_end() -> None:
    """Guards against a non-idempotent request whose outcome stays unknown."""
    driver = draining_driver()
    driver.wait(4_500)
    outcome = driver.outcome(driver.request("/once/x"))
    assert isinstance(outcome, ReplyRefusal)
    assert outcome.refusal.type is RefusalType.SHUTTING_DOWN


@pytest.mark.parametrize("path", ["/once/x", "/all/x"])
def test_request_is_refused_when_the_time_left_is_shorter_than_its_target(path: str) -> None:
    """Guards against requests that are sent to servers although they will be cut short."""
    driver = Driver().start(
        configuration(gather_route(target_ms=400), single_route(idempotent=False))
    )
    driver.dispatch(ShutdownRequested(driver.now))
    driver.wait(driver.state.ends_at - driver.now - 390)
    call_id = driver.request(path)
    assert refusal_of(driver, call_id) == (RefusalType.SHUTTING_DOWN, Ran.NO)
    assert driver.sent(call_id) == []


def test_repeated_shutdown_request_has_no_effect() -> None:
    """Guards against a grace period that starts again."""
    driver = draining_driver()
    ends_at = driver.state.ends_at
    driver.wait(1_000)
    driver.dispatch(ShutdownRequested(driver.now))
    assert driver.state.ends_at == ends_at


GRACE_S = 6
