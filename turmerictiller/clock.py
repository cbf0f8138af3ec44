"""Monotonic clock in milliseconds."""

from __future__ import annotations

import time

Millis = float


class Clock:
    """Monotonic clock with an arbitrary origin."""

    def now_ms(self) -> Millis:
        """Return the current time in milliseconds."""
        return time.monotonic_ns() / 1_000_000
