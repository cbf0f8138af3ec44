"""Tests of hedged requests."""

from __future__ import annotations

from tests.forwarding.driving import (
    sharded_driver,
)
from turmerictiller.forwarding.effects import CancelAttempt, SendMergedAnswer
from turmerictiller.forwarding.server_selection import FAILURES_TO_EJECT


def test_slow_part_is_hedged_on_another_server() -> None:
    """Guards against searches that are late because one server pauses."""
    driver = sharded_driver()
    call_id = driver.request()
    first = driver.sent(call_id)
    for sent in first[1:]:
        driver.answer(sent)
    driver.wait(50)
    hedge = driver.sent(call_id)[4:]
    assert [item.server_id.partition("-")[0] for item in hedge] == ["s0"]
    assert hedge[0].server_id != first[0].server_id
    driver.answer(hedge[0])
    assert isinstance(driver.outcome(call_id), SendMergedAnswer)
    assert len(driver.logged("hedged")) == 1


def test_late_answer_of_a_hedged_attempt_has_no_effect() -> None:
    """Guards against a part that is merged twice."""
    driver = sharded_driver()
    call_id = driver.request()
    first = driver.sent(call_id)
    driver.wait(50)
    for sent in first:
        driver.answer(sent)
    for sent in driver.sent(call_id)[4:]:
        driver.answer(sent)
    assert isinstance(driver.outcome(call_id), SendMergedAnswer)
    assert driver.state.attempts_by_id == {}


def test_attempt_is_cancelled_after_its_request_has_ended() -> None:
    """Guards against connections that stay busy after a server has stopped answering."""
    driver = sharded_driver()
    call_id = driver.request()
    first = driver.sent(call_id)
    for sent in first[1:]:
        driver.answer(sent)
    driver.wait(100)
    assert driver.outcome(call_id) is not None
    driver.wait(500)
    cancelled = {effect.attempt_id for effect in driver.effects_of(CancelAttempt)}
    assert first[0].attempt_id in cancelled
    assert driver.state.attempts_by_id == {}
    assert all(not server.sent_at_by_attempt for server in driver.state.servers_by_id.values())


def test_hedge_does_not_probe_an_ejected_server() -> None:
    """Guards against hedges that are sent to a server that has failed."""
    driver = sharded_driver()
    call_id = driver.request()
    first = driver.sent(call_id)[0].server_id
    failing, healthy = (
        server
        for server in driver.state.services_by_name["s0"].servers_by_id.values()
        if server.entry.id != first
    )
    failing.consecutive_failures, failing.ejected_until = FAILURES_TO_EJECT, driver.now
    driver.wait(60)
    hedges = [sent.server_id for sent in driver.sent(call_id)[4:]]
    assert healthy.entry.id in hedges
    assert failing.entry.id not in hedges
