"""Tests of the completion of requests."""

from __future__ import annotations

import pytest

from tests.forwarding.driving import (
    refusal_of,
    sharded_driver,
    single_service_driver,
)
from turmerictiller.errors import Ran, RefusalType
from turmerictiller.forwarding.effects import CancelAttempt, SendMergedAnswer
from turmerictiller.forwarding.events import CallerDisconnected, ShutdownRequested, Tick
from turmerictiller.forwarding.lifecycle import END_MARGIN_MS
from turmerictiller.forwarding.overload import ANSWER_MARGIN_MS


def test_search_with_enough_shards_is_answered_before_the_target() -> None:
    """Guards against callers that wait past the target for the last shard."""
    driver = sharded_driver()
    call_id = driver.request()
    for sent in driver.sent(call_id)[:3]:
        driver.answer(sent)
    driver.wait(80)
    assert driver.outcome(call_id) is None
    driver.wait(10)
    outcome = driver.outcome(call_id)
    assert isinstance(outcome, SendMergedAnswer)
    assert (len(outcome.signatures), outcome.missing) == (3, 1)


def test_connect_time_of_a_caller_counts_against_the_target() -> None:
    """Guards against answers that are late by the time it took the caller to open a connection."""
    driver = sharded_driver()
    spent_ms = 7.0
    call_id = driver.request(budget_ms=1_000.0 - spent_ms)
    for sent in driver.sent(call_id)[:3]:
        driver.answer(sent)
    driver.wait(100 - ANSWER_MARGIN_MS - spent_ms - 1)
    assert driver.outcome(call_id) is None
    driver.wait(2)
    assert isinstance(driver.outcome(call_id), SendMergedAnswer)


def test_short_budget_of_a_caller_is_not_taken_for_connect_time() -> None:
    """Guards against parts that are omitted early because the timeout of the caller is short."""
    driver = sharded_driver()
    call_id = driver.request(budget_ms=600.0)
    for sent in driver.sent(call_id)[:3]:
        driver.answer(sent)
    driver.wait(100 - ANSWER_MARGIN_MS - 1)
    assert driver.outcome(call_id) is None


def test_search_with_too_few_shards_waits_past_the_target() -> None:
    """Guards against answers below the minimum share, and against refusals before the deadline."""
    driver = sharded_driver()
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
    """Guards against requests that stay open past their deadline."""
    driver = single_service_driver(idempotent=False)
    call_id = driver.request("/once/x", budget_ms=700)
    driver.wait(687)
    assert driver.outcome(call_id) is None
    driver.wait(2)
    assert refusal_of(driver, call_id) == (RefusalType.DEADLINE_PASSED, Ran.MAYBE)


@pytest.mark.parametrize("is_stopping", [False, True])
def test_parts_received_by_a_deadline_before_the_target_are_sent(is_stopping: bool) -> None:
    """Guards against a refusal although enough parts are there, because the target is later."""
    driver = sharded_driver()
    call_id = driver.request(budget_ms=60)
    for sent in driver.sent(call_id)[:3]:
        driver.answer(sent)
    assert driver.outcome(call_id) is None
    if is_stopping:
        driver.dispatch(ShutdownRequested(driver.now))
        driver.now = driver.state.ends_at + END_MARGIN_MS
        driver.dispatch(Tick(driver.now))
    else:
        driver.wait(80)
    outcome = driver.outcome(call_id)
    assert isinstance(outcome, SendMergedAnswer)
    assert outcome.missing == 1


def test_attempts_of_a_disconnected_caller_are_cancelled_and_not_retried() -> None:
    """Guards against servers that run requests of disconnected callers."""
    driver = sharded_driver()
    call_id = driver.request()
    driver.dispatch(CallerDisconnected(driver.now, call_id))
    driver.wait(201)
    assert len(driver.sent(call_id)) == 4
    assert len(driver.effects_of(CancelAttempt)) == 4
    assert driver.outcome(call_id) is None
    assert driver.state.requests_by_call == {}


def test_non_idempotent_request_of_a_disconnected_caller_is_not_cancelled() -> None:
    """Guards against cancelling a non-idempotent request while its server may be running it."""
    driver = single_service_driver(idempotent=False)
    call_id = driver.request("/once/x")
    driver.dispatch(CallerDisconnected(driver.now, call_id))
    driver.wait(1_000)
    assert driver.effects_of(CancelAttempt) == []
    driver.answer(driver.sent(call_id)[0])
    assert driver.outcome(call_id) is None
    assert driver.state.attempts_by_id == {}
