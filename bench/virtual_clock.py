"""Virtual clock of the simulation."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable


class VirtualClock:
    """Runs scheduled functions in order of time, without waiting; times in milliseconds."""

    def __init__(self) -> None:
        self.now = 0.0
        self._heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._sequence = 0

    def at(self, time: float, run: Callable[..., None], *args: Any) -> None:
        """Schedule a function at a time, or now if the time has passed."""
        self._sequence += 1
        heapq.heappush(self._heap, (max(time, self.now), self._sequence, run, args))

    def after(self, ms: float, run: Callable[..., None], *args: Any) -> None:
        """Schedule a function after a delay."""
        self.at(self.now + ms, run, *args)

    def run_until(self, end: float) -> None:
        """Run all functions that are due up to ``end``, which is included."""
        while self._heap and self._heap[0][0] <= end:
            self.now, _, run, args = heapq.heappop(self._heap)
            run(*args)
