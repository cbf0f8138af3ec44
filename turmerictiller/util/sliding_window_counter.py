"""Sliding-window counter."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from turmerictiller.clock import Millis

BUCKETS = 20  # per window, so that its end is off by 5% at most


@dataclass(slots=True)
class SlidingWindowCounter:
    """Number of occurrences in the last window, counted in buckets of equal length.

    :param latest_bucket: number of the latest bucket since time 0.
    """

    bucket_ms: float
    counts: list[int] = field(default_factory=lambda: [0] * (BUCKETS + 1))
    latest_bucket: int = 0
    total: int = 0

    def add(self, now: Millis, number: int = 1) -> None:
        """Count occurrences at this time."""
        self._advance(now)
        self.counts[self.latest_bucket % len(self.counts)] += number
        self.total += number

    def value(self, now: Millis) -> int:
        """Return the number of occurrences in the window that ends now."""
        self._advance(now)
        return self.total

    def _advance(self, now: Millis) -> None:
        current = int(now // self.bucket_ms)
        steps = current - self.latest_bucket
        if steps <= 0:
            return
        length = len(self.counts)
        for index in range(self.latest_bucket + 1, self.latest_bucket + 1 + min(steps, length)):
            self.total -= self.counts[index % length]
            self.counts[index % length] = 0
        self.latest_bucket = current
