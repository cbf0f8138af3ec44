"""Counts of things in a sliding window of time."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from turmerictiller.clock import Millis

BUCKETS = 20  # a window is counted in twentieths, so its end is off by 5% at most


@dataclass(slots=True)
class WindowCount:
    """Number of things in the last window, in buckets of equal length."""

    bucket_ms: float
    counts: list[int] = field(default_factory=lambda: [0] * (BUCKETS + 1))
    last: int = 0
    total: int = 0

    def add(self, now: Millis, number: int = 1) -> None:
        """Count things at this time."""
        self._advance(now)
        self.counts[self.last % len(self.counts)] += number
        self.total += number

    def value(self, now: Millis) -> int:
        """Return the number in the window that ends now."""
        self._advance(now)
        return self.total

    def _advance(self, now: Millis) -> None:
        current = int(now // self.bucket_ms)
        steps = current - self.last
        if steps <= 0:
            return
        length = len(self.counts)
        for index in range(self.last + 1, self.last + 1 + min(steps, length)):
            self.total -= self.counts[index % length]
            self.counts[index % length] = 0
        self.last = current
