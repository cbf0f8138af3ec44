"""Budget of attempts beyond the first of each request, per service."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from turmerictiller.clock import Millis
    from turmerictiller.forwarding.state import ServiceState, State

BUCKETS = 20  # a window is counted in twentieths, so its end is off by 5% at most
# Instances that share the fixed part of the budget while their number is unknown: today's largest
# deployment has 9 and may add 3.
ASSUMED_INSTANCES = 12
# The part that grows with requests is not used up, because instances count their windows at
# different times.
RATIO_IN_USE = 0.85


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


def take_extra(state: State, service: ServiceState) -> bool:
    """Charge one attempt beyond the first; return whether the budget of the service allows it.

    Instances can not ask each other, so each uses a share that is safe whatever the others do.
    """
    settings = state.settings
    allowed = (
        RATIO_IN_USE * settings.extra_ratio * service.first_attempts.value(state.now)
        + settings.extra_slack / ASSUMED_INSTANCES
    )
    if service.extra_attempts.value(state.now) + 1 > allowed:
        return False
    service.extra_attempts.add(state.now)
    return True


def return_extra(state: State, service: ServiceState) -> None:
    """Take back the charge of an attempt that was not sent."""
    service.extra_attempts.add(state.now, -1)
