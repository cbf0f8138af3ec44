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
        self._sequence += 1
        heapq.heappush(self._heap, (at, self._sequence, kind, key))

    def pop_due(self, now: Millis) -> tuple[Any, Any] | None:
        if not self._heap or self._heap[0][0] > now:
            return None
        _, _, kind, key = heapq.heappop(self._heap)
        return kind, key

    def next_at(self) -> Millis | None:
        return self._heap[0][0] if self._heap else None

    def retain(self, is_wanted: Callable[[Any, Any], bool]) -> None:
        self._heap = [item for item in self._heap if is_wanted(item[2], item[3])]
        heapq.heapify(self._heap)

    def __len__(self) -> int:
        return len(self._heap)
