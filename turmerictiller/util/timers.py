"""Priority queue of timers."""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable
    from enum import Enum

    from turmerictiller.clock import Millis


@dataclass(slots=True)
class Timers:
    """Priority queue of timers; a timer whose call has ended is ignored when it fires.

    :param clean_at: number of timers at which those of ended calls are removed.
    """

    _heap: list[tuple[float, int, Any, Any]] = field(default_factory=list)
    _sequence: int = 0
    clean_at: int = 256

    def add(self, at: Millis, kind: Enum, key: Any = None) -> None:
        """Add a timer that is due at a time."""
        self._sequence += 1
        heapq.heappush(self._heap, (at, self._sequence, kind, key))

    def pop_due(self, now: Millis) -> tuple[Any, Any] | None:
        """Remove the earliest timer if it is due, and return its kind and key."""
        if not self._heap or self._heap[0][0] > now:
            return None
        _, _, kind, key = heapq.heappop(self._heap)
        return kind, key

    def next_at(self) -> Millis | None:
        """Return the time of the earliest timer, or ``None`` if there is none."""
        return self._heap[0][0] if self._heap else None

    def retain(self, is_wanted: Callable[[Any, Any], bool]) -> None:
        """Remove all timers whose kind and key do not satisfy a predicate."""
        self._heap = [item for item in self._heap if is_wanted(item[2], item[3])]
        heapq.heapify(self._heap)

    def reschedule(self, new_time: Callable[[Millis, Any], Millis]) -> None:
        """Move every timer to the time that a function returns for its time and kind."""
        self._heap = [
            (new_time(at, kind), sequence, kind, key) for at, sequence, kind, key in self._heap
        ]
        heapq.heapify(self._heap)

    def __len__(self) -> int:
        return len(self._heap)
