"""Tests of attempts on their way."""

from __future__ import annotations

from tests.forwarding.driving import (
    running,
    searching,
)
from turmerictiller.forwarding.effects import AbortAttempt


def test_servers_get_less_time_than_the_caller_has_left() -> None:
    """Guards against servers that work for a caller who has given up."""
    driver = searching(servers=2)
    call_id = driver.request(budget_ms=500)
    driver.wait(60)
    budgets = [item.budget_ms for item in driver.sent(call_id)]
    assert all(budget <= 500 for budget in budgets)
    assert len(budgets) == 8
    assert all(budget <= 490 for budget in budgets[4:])


def test_silent_server_does_not_keep_a_request_for_ever() -> None:
    """Guards against attempts that pile up on a server which answers nothing any more."""
    driver = running(idempotent=False)
    call_id = driver.request("/once/x", budget_ms=700)
    driver.wait(701)
    assert len(driver.state.attempts_by_id) == 1
    driver.wait(500)
    assert driver.state.attempts_by_id == {}
    assert [effect.attempt_id for effect in driver.effects_of(AbortAttempt)] == [
        driver.sent(call_id)[0].attempt_id
    ]
