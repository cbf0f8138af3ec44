"""Tests of answers and failures of attempts."""

from __future__ import annotations

import pytest

from tests.forwarding.driving import (
    NOT_RUN,
    good_answer,
    refusal_of,
    sharded_driver,
    single_service_driver,
)
from turmerictiller.errors import Ran, RefusalType
from turmerictiller.forwarding.effects import RelayAnswer, SendMergedAnswer
from turmerictiller.forwarding.events import FailureKind, UpstreamAnswer


def test_search_is_sent_to_every_shard_once_and_merged() -> None:
    """Guards against missing or duplicate parts of an answer."""
    driver = sharded_driver()
    call_id = driver.request()
    sent = driver.sent(call_id)
    assert sorted(item.server_id.partition("-")[0] for item in sent) == ["s0", "s1", "s2", "s3"]
    for index, item in enumerate(sent):
        assert driver.outcome(call_id) is None
        driver.answer(item, good_answer(bytes([index]) * 16, b"sig%d" % index))
    outcome = driver.outcome(call_id)
    assert isinstance(outcome, SendMergedAnswer)
    assert outcome.missing == 0
    assert sorted(outcome.signatures) == [b"sig0", b"sig1", b"sig2", b"sig3"]
    assert outcome.records == b"".join(bytes([index]) * 16 for index in (3, 2, 1))


def test_non_idempotent_request_is_never_sent_twice_after_a_loss() -> None:
    """Guards against a non-idempotent request that runs twice."""
    for failure in (FailureKind.RESET, FailureKind.CLOSED, FailureKind.BAD_ANSWER):
        driver = single_service_driver(idempotent=False)
        call_id = driver.request("/once/x")
        driver.wait(400)
        assert len(driver.sent(call_id)) == 1
        driver.fail(driver.sent(call_id)[0], failure)
        assert len(driver.sent(call_id)) == 1
        assert refusal_of(driver, call_id) == (RefusalType.UPSTREAM_FAILED, Ran.MAYBE)


def test_non_idempotent_request_is_retried_after_servers_that_did_not_run_it() -> None:
    """Guards against refusals of requests that another server could have run."""
    driver = single_service_driver(idempotent=False)
    call_id = driver.request("/once/x")
    driver.fail(driver.sent(call_id)[0], FailureKind.REFUSED, may_have_run=False)
    driver.answer(driver.sent(call_id)[1], NOT_RUN)
    assert len({item.server_id for item in driver.sent(call_id)}) == 3
    driver.answer(driver.sent(call_id)[2])
    assert isinstance(driver.outcome(call_id), RelayAnswer)


def test_refusal_reports_not_run_only_if_no_server_may_have_run_it() -> None:
    """Guards against callers that retry a request that has run."""
    driver = single_service_driver(idempotent=False, servers=2)
    call_id = driver.request("/once/x")
    driver.answer(driver.sent(call_id)[0], NOT_RUN)
    driver.answer(driver.sent(call_id)[1], NOT_RUN)
    assert refusal_of(driver, call_id) == (RefusalType.NO_SERVER, Ran.NO)
    call_id = driver.request("/once/x")
    driver.answer(driver.sent(call_id)[0], NOT_RUN)
    driver.fail(driver.sent(call_id)[1], FailureKind.RESET)
    assert refusal_of(driver, call_id) == (RefusalType.UPSTREAM_FAILED, Ran.MAYBE)


def test_error_answer_is_relayed_unchanged_if_the_request_may_not_be_retried() -> None:
    """Guards against a status other than that of the server."""
    driver = single_service_driver(idempotent=False)
    call_id = driver.request("/once/x")
    failure = good_answer(b"no", b"sig", 500)
    driver.answer(driver.sent(call_id)[0], failure)
    outcome = driver.outcome(call_id)
    assert isinstance(outcome, RelayAnswer)
    assert outcome.answer is failure


@pytest.mark.parametrize("idempotent", [True, False])
@pytest.mark.parametrize("status", [408, 429, 503])
def test_unconfirmed_refusal_of_a_server_is_not_relayed(idempotent: bool, status: int) -> None:
    """Guards against a status that tells the caller of a request that has run that it has not."""
    driver = single_service_driver(idempotent=idempotent)
    call_id = driver.request("/one/x" if idempotent else "/once/x")
    unconfirmed = UpstreamAnswer(status, b"sig", b"no", unconfirmed_refusal=True)
    attempts = 2 if idempotent else 1
    for number in range(attempts):
        assert len(driver.sent(call_id)) == number + 1
        driver.answer(driver.sent(call_id)[number], unconfirmed)
    assert len(driver.sent(call_id)) == attempts
    assert refusal_of(driver, call_id) == (RefusalType.UPSTREAM_FAILED, Ran.MAYBE)


@pytest.mark.parametrize(
    "failure",
    [good_answer(b"no", b"sig", 500), UpstreamAnswer(429, b"sig", b"", unconfirmed_refusal=True)],
)
def test_idempotent_request_is_retried_after_a_failure(failure: UpstreamAnswer) -> None:
    """Guards against failures of one server that reach callers."""
    driver = single_service_driver(idempotent=True)
    call_id = driver.request("/one/x")
    driver.answer(driver.sent(call_id)[0], failure)
    driver.answer(driver.sent(call_id)[1])
    outcome = driver.outcome(call_id)
    assert isinstance(outcome, RelayAnswer)
    assert outcome.answer.status == 200


def test_request_runs_on_no_more_servers_than_its_route_allows() -> None:
    """Guards against a request that runs on more servers than its route allows."""
    driver = single_service_driver(idempotent=True)
    call_id = driver.request("/one/x")
    driver.wait(300)
    assert len(driver.sent(call_id)) == 2
    for sent in driver.sent(call_id):
        driver.fail(sent)
    assert len(driver.sent(call_id)) == 2
    assert refusal_of(driver, call_id) == (RefusalType.UPSTREAM_FAILED, Ran.MAYBE)
