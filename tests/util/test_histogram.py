"""Tests of the decaying histogram of times."""

from __future__ import annotations

import math

from hypothesis import given
from hypothesis import strategies as st

from turmerictiller.util.histogram import RecentTimes

BUCKET_RATIO = 2**0.25


@given(
    st.lists(st.floats(1.0, 5_000.0), min_size=1, max_size=200),
    st.sampled_from([0.5, 0.9, 0.99, 1.0]),
)
def test_quantile_is_within_one_bucket(times: list[float], share: float) -> None:
    """Guards against hedges that are delayed by another quantile than the requested one."""
    histogram = RecentTimes()
    for time in times:
        histogram.add(time)
    exact = sorted(times)[math.ceil(share * len(times)) - 1]
    assert exact <= histogram.quantile(share) * (1 + 1e-9)
    assert histogram.quantile(share) <= exact * BUCKET_RATIO * (1 + 1e-9)


def test_weight_of_old_times_decays() -> None:
    """Guards against a quantile that still reflects a past slowdown."""
    histogram = RecentTimes()
    for _ in range(1_000):
        histogram.add(100.0)
    for _ in range(800):
        histogram.add(10.0)
    assert histogram.quantile(0.5) < 15.0
