"""Tests of how a request ends."""

from __future__ import annotations

from tests.forwarding.driving import (
    refusal_of,
    running,
    searching,
)
from turmerictiller.errors import Ran, RefusalType
from turmerictiller.forwarding.effects import AbortAttempt, SendMergedAnswer
from turmerictiller.forwarding.events import CallerDisconnected
from turmerictiller.forwarding.overload import ANSWER_MARGIN_MS


def test_answer_with_enough_shards_goes_out_before_the_target() -> None:
    """Guards against callers that wait past the target for the last shard."""
    driver = searching()
    call_id = driver.request()
    for sent in driver.sent(call_id)[:3]:
        driver.answer(sent)
    driver.wait(80)
    assert driver.outcome(call_id) is None
    driver.wait(10)
    outcome = driver.outcome(call_id)
    assert isinstance(outcome, SendMergedAnswer)
    assert (len(outcome.signatures), outcome.missing) == (3, 1)


def test_time_that_a_caller_spent_on_connecting_counts_against_the_target() -> None:
    """Guards against answers that are late by the time it took the caller to open a connection."""
    driver = searching()
    spent_ms = 7.0
    call_id = driver.request(budget_ms=1_000.0 - spent_ms)
    for sent in driver.sent(call_id)[:3]:
        driver.answer(sent)
    driver.wait(100 - ANSWER_MARGIN_MS - spent_ms - 1)
    assert driver.outcome(call_id) is None
    driver.wait(2)
    assert isinstance(driver.outcome(call_id), SendMergedAnswer)


def test_caller_that_waits_less_than_the_route_is_answered_by_the_target() -> None:
    """Guards against parts that are left out because a caller's own patience is short."""
    driver = searching()
    call_id = driver.request(budget_ms=600.0)
    for sent in driver.sent(call_id)[:3]:
        driver.answer(sent)
    driver.wait(100 - ANSWER_MARGIN_MS - 1)
    assert driver.outcome(call_id) is None


def test_too_few_shards_wait_past_the_target() -> None:
    """Guards against answers below the least share, and against giving up while time is left."""
    driver = searching()
    call_id = driver.request()
    sent = driver.sent(call_id)
    driver.answer(sent[0])
    driver.answer(sent[1])
    driver.wait(300)
    assert driver.outcome(call_id) is None
    driver.answer(sent[2])
    outcome = driver.outcome(call_id)
    assert isinstance(outcome, SendMergedAnswer)
    assert outcome.missing == 1


def test_deadline_ends_a_request() -> None:
    """Guards against requests that are held past the time of their route."""
    driver = running(idempotent=False)
    call_id = driver.request("/once/x", budget_ms=700)
    driver.wait(687)
    assert driver.outcome(call_id) is None
    driver.wait(2)
    assert refusal_of(driver, call_id) == (RefusalType.DEADLINE_PASSED, Ran.MAYBE)


def test_caller_that_left_frees_the_servers_and_is_not_sent_again() -> None:
    """Guards against servers that work for nobody, and against new work for a caller that left."""
    driver = searching()
    call_id = driver.request()
    driver.dispatch(CallerDisconnected(driver.now, call_id))
    driver.wait(201)
    assert len(driver.sent(call_id)) == 4
    assert len(driver.effects_of(AbortAttempt)) == 4
    assert driver.outcome(call_id) is None
    assert driver.state.requests_by_call == {}


def test_non_idempotent_request_of_a_caller_that_left_runs_to_its_end() -> None:
    """Guards against a connection that is cut while its server runs what must not be repeated."""
    driver = running(idempotent=False)
    call_id = driver.request("/once/x")
    driver.dispatch(CallerDisconnected(driver.now, call_id))
    driver.wait(1_000)
    assert driver.effects_of(AbortAttempt) == []
    driver.answer(driver.sent(call_id)[0])
    assert driver.outcome(call_id) is None
    assert driver.state.attempts_by_id == {}
