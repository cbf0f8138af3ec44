"""Exponentially decaying histogram of latencies, for quantiles that decisions depend on."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

BUCKETS = 64
LOWEST_MS = 0.25
BUCKETS_PER_DOUBLING = 4
MAX_WEIGHT = 1_000.0


@dataclass(slots=True)
class RecentTimes:
    """Histogram of times with four buckets per doubling.

    All counts are halved when their sum reaches ``MAX_WEIGHT``, so that the weight of old times
    decays.
    """

    counts: list[float] = field(default_factory=lambda: [0.0] * BUCKETS)
    weight: float = 0.0

    def add(self, ms: float) -> None:
        """Record one time in milliseconds."""
        self.counts[_bucket(ms)] += 1
        self.weight += 1
        if self.weight >= MAX_WEIGHT:
            self.counts = [count / 2 for count in self.counts]
            self.weight = sum(self.counts)

    def quantile(self, share: float) -> float:
        """Return the upper bound of the bucket of a quantile in milliseconds; 0 without values."""
        if self.weight == 0:
            return 0.0
        target_rank = share * self.weight
        cumulative_count = 0.0
        for index, count in enumerate(self.counts):
            cumulative_count += count
            if cumulative_count >= target_rank and count:
                return _upper_bound(index)
        return _upper_bound(BUCKETS - 1)


def _bucket(ms: float) -> int:
    if ms <= LOWEST_MS:
        return 0
    return min(BUCKETS - 1, math.ceil(BUCKETS_PER_DOUBLING * math.log2(ms / LOWEST_MS)))


def _upper_bound(index: int) -> float:
    return float(LOWEST_MS * 2 ** (index / BUCKETS_PER_DOUBLING))
