"""Tests of the retry and hedge budgets."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from turmerictiller.forwarding.budgets import charge_extra_attempt
from turmerictiller.forwarding.fleet_size import DEFAULT_INSTANCES
from turmerictiller.forwarding.settings import ForwardingSettings
from turmerictiller.forwarding.state import new_state, service_state
from turmerictiller.util.sliding_window_counter import SlidingWindowCounter

SLACK = 60.0
SETTINGS = ForwardingSettings("e1", "north", extra_ratio=0.2, extra_slack=SLACK)
WINDOW_MS = SETTINGS.extra_window_ms


@given(st.lists(st.tuples(st.floats(0, 400), st.booleans()), max_size=400))
def test_extra_attempts_stay_within_the_budget_in_any_window(
    steps: list[tuple[float, bool]],
) -> None:
    """Guards against more retries than the share of the instance, for any window."""
    state = new_state(SETTINGS)
    service = service_state(state, "a")
    firsts: list[float] = []
    extras: list[float] = []
    for gap_ms, is_first in steps:
        state.now += gap_ms
        if is_first:
            service.first_attempts.add(state.now)
            firsts.append(state.now)
        elif charge_extra_attempt(state, service):
            extras.append(state.now)
    for end in extras:
        in_window = sum(end - WINDOW_MS < at <= end for at in extras)
        # Bucket boundaries may include requests of one bucket more than the window.
        requests = sum(end - 1.1 * WINDOW_MS < at <= end for at in firsts)
        assert in_window <= SETTINGS.extra_ratio * requests + SLACK / DEFAULT_INSTANCES


@given(st.lists(st.floats(0, 3_000), max_size=100))
def test_window_count_is_exact_up_to_one_bucket(gaps: list[float]) -> None:
    """Guards against counts that drift after pauses longer than the window."""
    count = SlidingWindowCounter(500.0)
    now = 0.0
    times: list[float] = []
    for gap in gaps:
        now += gap
        count.add(now)
        times.append(now)
        least = sum(now - at < 10_000 for at in times)
        most = sum(now - at <= 10_500 for at in times)
        assert least <= count.value(now) <= most


def test_restarted_instances_use_the_fixed_budget_once_in_a_window() -> None:
    """Guards against restarts that each grant an instance its share of the budget again."""
    now, used_at = 0.0, []
    state = new_state(SETTINGS)
    while now < 3 * WINDOW_MS:
        state.now = now
        if charge_extra_attempt(state, service_state(state, "a")):
            used_at.append(now)
        now += 100.0
        if now % 2_000 == 0 and now < WINDOW_MS:
            state = new_state(SETTINGS)
    assert used_at[-1] > WINDOW_MS
    for end in used_at:
        in_window = sum(end - WINDOW_MS < at <= end for at in used_at)
        assert in_window <= SLACK / DEFAULT_INSTANCES


def test_instances_together_stay_within_the_fixed_budget() -> None:
    """Guards against instances that each use the whole fixed part of the budget."""
    allowed = 0
    for _ in range(DEFAULT_INSTANCES):
        state = new_state(SETTINGS)
        while charge_extra_attempt(state, service_state(state, "a")):
            allowed += 1
    assert 0 < allowed <= SLACK
