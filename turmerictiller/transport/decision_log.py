"""Structured lines on standard output, bounded in number and never waited for.

Lines are written by orjson and not by eliot: in one run a line cost 5.5 us against 17.5 us, and eliot's
import adds to every start and to the memory of every instance (docs/decisions.md).
"""

from __future__ import annotations

import asyncio
import os
import select
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import orjson

if TYPE_CHECKING:
    from turmerictiller.clock import Clock, Millis

FLUSH_MS = 50.0
# A request that is served as usual is one line; a hundred such lines a second are enough to see
# what an instance does, and cost 1% of a small core.
MAX_LINES_PER_S = 100
MAX_URGENT_LINES_PER_S = 400
MAX_BUFFER_BYTES = 262_144
PIECE_BYTES = 4_096  # a pipe that is ready takes at least this much without blocking
STANDARD_OUTPUT = 1


@dataclass
class DecisionLog:
    """Lines that wait to be written.

    Lines about served requests are dropped first: from a quarter of the allowed number and half of
    the buffer on. Dropped lines are counted, and the count is itself a line.
    """

    clock: Clock
    instance_id: str
    descriptor: int = STANDARD_OUTPUT
    dropped: int = 0
    dropped_total: int = 0
    _buffer: bytearray = field(default_factory=bytearray)
    _second: int = 0
    _lines: int = 0
    _flush: asyncio.TimerHandle | None = None

    def write(self, event: str, fields: dict[str, Any], urgent: bool = False) -> None:
        """Add one line, or count it as dropped."""
        now = self.clock.now_ms()
        if not self._admits(now, urgent):
            self.dropped += 1
            self.dropped_total += 1
            return
        if self.dropped:
            self._add(now, "lines_dropped", {"lines": self.dropped})
            self.dropped = 0
        self._add(now, event, fields)
        if self._flush is None:
            loop = asyncio.get_running_loop()
            self._flush = loop.call_later(FLUSH_MS / 1000, self.flush)

    def _admits(self, now: Millis, urgent: bool) -> bool:
        second = int(now // 1000)
        if second != self._second:
            self._second = second
            self._lines = 0
        limit = MAX_URGENT_LINES_PER_S if urgent else MAX_LINES_PER_S
        room = MAX_BUFFER_BYTES if urgent else MAX_BUFFER_BYTES // 2
        if self._lines >= limit or len(self._buffer) >= room:
            return False
        self._lines += 1
        return True

    def _add(self, now: Millis, event: str, fields: dict[str, Any]) -> None:
        line = {
            "time": round(time.time(), 3),
            "at_ms": round(now, 1),
            "instance": self.instance_id,
            "event": event,
            **fields,
        }
        self._buffer += orjson.dumps(line, default=repr)
        self._buffer += b"\n"

    def flush(self) -> None:
        """Write what the reader takes now, and try the rest later."""
        self._flush = None
        try:
            while self._buffer and self._is_writable():
                written = os.write(self.descriptor, self._buffer[:PIECE_BYTES])
                del self._buffer[:written]
        except OSError:
            # Nobody reads standard output any more.
            self.dropped_total += self._buffer.count(b"\n")
            self._buffer.clear()
        if self._buffer:
            loop = asyncio.get_running_loop()
            self._flush = loop.call_later(FLUSH_MS / 1000, self.flush)

    def _is_writable(self) -> bool:
        poll = select.poll()
        poll.register(self.descriptor, select.POLLOUT)
        return bool(poll.poll(0))
