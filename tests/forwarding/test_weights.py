"""Tests of the weighted round robin among services."""

from __future__ import annotations

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from tests.forwarding.driving import SETTINGS, single_route
from turmerictiller.forwarding.state import new_state
from turmerictiller.forwarding.weights import next_service


@given(st.lists(st.integers(1, 20), min_size=2, max_size=5), st.integers(1, 200))
def test_shares_follow_the_weights(weights: list[int], requests: int) -> None:
    """Guards against shares that deviate by more than the requests of one round."""
    route = single_route(**{f"s{index}": weight for index, weight in enumerate(weights)})
    state = new_state(SETTINGS)
    counts = Counter(next_service(state, route) for _ in range(requests))
    for name, weight in route.weights.items():
        assert abs(counts[name] - requests * weight / sum(weights)) <= len(weights)


def test_services_that_a_route_drops_get_no_requests() -> None:
    """Guards against requests to a service that the route no longer names."""
    state = new_state(SETTINGS)
    for _ in range(10):
        next_service(state, single_route(a=1, b=1))
    changed = single_route(b=1, c=3)
    counts = Counter(next_service(state, changed) for _ in range(40))
    assert set(counts) == {"b", "c"}
    assert 8 <= counts["b"] <= 12
