"""Time in milliseconds."""

from __future__ import annotations

import time

Millis = float


class Clock:
    """Read monotonic time in milliseconds."""

    def now_ms(self) -> Millis:
        return time.monotonic_ns() / 1_000_000
