"""Tests of pauses of the process while requests are in flight."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hypothesis import given
from hypothesis import strategies as st

from tests.forwarding.driving import refusal_of, sharded_driver
from turmerictiller.errors import Ran, RefusalType
from turmerictiller.forwarding.effects import SendMergedAnswer
from turmerictiller.forwarding.events import Tick
from turmerictiller.forwarding.pauses import CATCH_UP_MS, PAUSE_THRESHOLD_MS
from turmerictiller.forwarding.server_selection import current_slowness

if TYPE_CHECKING:
    from tests.forwarding.driving import Driver

BUDGET_MS = 900.0


def resume_after(driver: Driver, pause_ms: float) -> None:
    """Deliver the tick of the next timer late by the length of a pause."""
    due_at = driver.state.wake_at
    assert due_at is not None
    driver.now = due_at + pause_ms
    driver.dispatch(Tick(driver.now))


@given(pause_ms=st.floats(PAUSE_THRESHOLD_MS + 1, 700))
def test_answers_that_arrived_during_a_pause_are_merged(pause_ms: float) -> None:
    """Guards against hedges and missing parts because timers ran before answers were read."""
    driver = sharded_driver()
    call_id = driver.request(budget_ms=BUDGET_MS)
    sent = driver.sent(call_id)
    driver.wait(2)
    resume_after(driver, pause_ms)
    for item in sent:
        driver.answer(item)
    outcome = driver.outcome(call_id)
    assert isinstance(outcome, SendMergedAnswer)
    assert outcome.missing == 0
    assert driver.sent(call_id) == sent


def test_pause_does_not_count_as_answer_time_of_a_server() -> None:
    """Guards against servers that appear slow or overdue because this process was paused."""
    driver = sharded_driver()
    call_id = driver.request()
    sent = driver.sent(call_id)
    driver.wait(2)
    resume_after(driver, 400)
    for item in sent:
        driver.answer(item)
        server = driver.state.servers_by_id[item.server_id]
        assert current_slowness(driver.state, server) < 2
        assert not server.limit
    assert driver.logged("process_paused")[-1].fields["ms"] == 400


def test_deadline_that_passed_during_a_pause_ends_a_request_after_sockets_were_read() -> None:
    """Guards against requests that are held beyond their deadline, or refused though answered."""
    driver = sharded_driver()
    answered, unanswered = driver.request(budget_ms=BUDGET_MS), driver.request(budget_ms=BUDGET_MS)
    resume_after(driver, 2 * BUDGET_MS)
    assert driver.outcome(unanswered) is None
    for item in driver.sent(answered):
        driver.answer(item)
    assert isinstance(driver.outcome(answered), SendMergedAnswer)
    driver.wait(CATCH_UP_MS)
    assert refusal_of(driver, unanswered) == (RefusalType.DEADLINE_PASSED, Ran.MAYBE)


def test_part_without_an_answer_is_hedged_after_a_pause() -> None:
    """Guards against parts that are never hedged because a pause discarded their timer."""
    driver = sharded_driver()
    call_id = driver.request()
    first, *others = driver.sent(call_id)
    driver.wait(2)
    resume_after(driver, 300)
    for item in others:
        driver.answer(item)
    driver.wait(60)
    assert len(driver.sent(call_id)) == len(others) + 2
    assert driver.sent(call_id)[-1].server_id != first.server_id


def test_late_timers_of_a_busy_process_are_not_a_pause() -> None:
    """Guards against targets that are extended while a process under load still reads answers."""
    driver = sharded_driver()
    call_id = driver.request()
    target_at = driver.state.requests_by_call[call_id].target_at
    for _ in range(10):
        driver.now += PAUSE_THRESHOLD_MS / 4
        driver.answer(driver.sent(call_id)[0])
    assert driver.state.requests_by_call[call_id].target_at == target_at
    assert not driver.logged("process_paused")
