"""Tests of attempts in flight."""

from __future__ import annotations

from tests.forwarding.driving import (
    sharded_driver,
    single_service_driver,
)
from turmerictiller.forwarding.effects import CancelAttempt


def test_budget_of_an_attempt_is_below_the_remaining_time_of_the_caller() -> None:
    """Guards against servers that work for a caller whose request has timed out."""
    driver = sharded_driver(servers=2)
    call_id = driver.request(budget_ms=500)
    driver.wait(60)
    budgets = [item.budget_ms for item in driver.sent(call_id)]
    assert all(budget <= 500 for budget in budgets)
    assert len(budgets) == 8
    assert all(budget <= 490 for budget in budgets[4:])


def test_attempt_at_a_silent_server_is_cancelled_after_the_deadline() -> None:
    """Guards against attempts that accumulate at a server that has stopped answering."""
    driver = single_service_driver(idempotent=False)
    call_id = driver.request("/once/x", budget_ms=700)
    driver.wait(701)
    assert len(driver.state.attempts_by_id) == 1
    driver.wait(500)
    assert driver.state.attempts_by_id == {}
    assert [effect.attempt_id for effect in driver.effects_of(CancelAttempt)] == [
        driver.sent(call_id)[0].attempt_id
    ]
