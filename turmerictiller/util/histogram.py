"""A small histogram of recent times, for quantiles that decisions depend on."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

BUCKETS = 64
LOWEST_MS = 0.25
BUCKETS_PER_DOUBLING = 4
MAX_WEIGHT = 1_000.0


@dataclass(slots=True)
class RecentTimes:
    """Counts of times in buckets that grow by a quarter of a doubling.

    All counts are halved when they reach ``MAX_WEIGHT``, so that old times lose their weight.
    """

    counts: list[float] = field(default_factory=lambda: [0.0] * BUCKETS)
    weight: float = 0.0

    def add(self, ms: float) -> None:
        """Count one time."""
        self.counts[_bucket(ms)] += 1
        self.weight += 1
        if self.weight >= MAX_WEIGHT:
            self.counts = [count / 2 for count in self.counts]
            self.weight = sum(self.counts)

    def quantile(self, share: float) -> float:
        """Return the upper bound of the bucket that holds the quantile; 0 if nothing is counted."""
        if self.weight == 0:
            return 0.0
        wanted = share * self.weight
        seen = 0.0
        for index, count in enumerate(self.counts):
            seen += count
            if seen >= wanted and count:
                return _upper_bound(index)
        return _upper_bound(BUCKETS - 1)


def _bucket(ms: float) -> int:
    if ms <= LOWEST_MS:
        return 0
    return min(BUCKETS - 1, math.ceil(BUCKETS_PER_DOUBLING * math.log2(ms / LOWEST_MS)))


def _upper_bound(index: int) -> float:
    return float(LOWEST_MS * 2 ** (index / BUCKETS_PER_DOUBLING))
