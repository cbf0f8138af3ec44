"""Structured logging with eliot, one message type per part, limited in rate and size."""

from __future__ import annotations

import os
import re
import select
import sys
import time
from collections import OrderedDict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import eliot
import orjson

if TYPE_CHECKING:
    from collections.abc import Callable

    from turmerictiller.config import Settings

PREFIX = "tiller"
WINDOW_S = 10.0
MAX_KEYS = 256
MAX_TEXT_CHARS = 300
MAX_LINE_BYTES = 4_096  # PIPE_BUF: a pipe that polls as writable accepts this much without blocking


@dataclass
class LogLimiter:
    """Rate limit on log lines per ten seconds, for equal messages and in total.

    Messages that differ only in their numbers count as equal. The oldest keys are evicted.

    :param max_equal: maximum number of equal lines per window.
    :param max_lines: maximum number of lines per window.
    :param suppressed: number of lines dropped since the last line that was written.
    """

    max_equal: int = 10
    max_lines: int = 200
    now_s: Callable[[], float] = time.monotonic
    window_started_at: float = float("-inf")
    lines: int = 0
    suppressed: int = 0
    lines_by_key: OrderedDict[tuple[str, str], int] = field(default_factory=OrderedDict)

    def admits(self, part: str, message: str) -> bool:
        """Count a message and return whether it is within the limits."""
        now = self.now_s()
        if now - self.window_started_at >= WINDOW_S:
            self.window_started_at = now
            self.lines = 0
            self.lines_by_key.clear()
        key = (part, re.sub(r"\d+", "0", message[:MAX_TEXT_CHARS]))
        equal = self.lines_by_key.get(key, 0)
        if self.lines >= self.max_lines or equal >= self.max_equal:
            self.suppressed += 1
            return False
        self.lines += 1
        self.lines_by_key[key] = equal + 1
        if len(self.lines_by_key) > MAX_KEYS:
            self.lines_by_key.popitem(last=False)
        return True

    def reset_suppressed(self) -> int:
        """Return the number of dropped lines and reset it."""
        dropped, self.suppressed = self.suppressed, 0
        return dropped


_limiter = LogLimiter()


def configure_logging(settings: Settings) -> None:
    """Configure logging to standard error, with one JSON object per line."""
    _limiter.max_equal = settings.max_equal_logs
    _limiter.max_lines = settings.max_logs
    eliot.add_global_fields(instance=settings.instance_id)
    eliot.add_destinations(_write)


def part_logger(part: str, limiter: LogLimiter = _limiter) -> Callable[..., None]:
    """Return a function that logs messages of a part."""

    def log(message: str, **fields: Any) -> None:
        if not limiter.admits(part, message):
            return
        if suppressed := limiter.reset_suppressed():
            fields["suppressed"] = suppressed
        truncated_fields = {name: _truncate(value) for name, value in fields.items()}
        eliot.log_message(
            message_type=f"{PREFIX}.{part}", message=_truncate(message), **truncated_fields
        )

    return log


def _truncate(value: Any) -> Any:
    if isinstance(value, int | float) or value is None:
        return value
    text = value if isinstance(value, str) else repr(value)
    text = text.encode("utf-8", "replace").decode()
    return text if len(text) <= MAX_TEXT_CHARS else f"{text[:MAX_TEXT_CHARS]}..."


def _write(message: dict[str, Any]) -> None:
    """Write one line, or drop it if standard error is not writable."""
    line = orjson.dumps(message, default=repr) + b"\n"
    if len(line) > MAX_LINE_BYTES:
        kept_fields = ("timestamp", "instance", "message_type", "message")
        line = orjson.dumps({name: message.get(name) for name in kept_fields}, default=repr) + b"\n"
    try:
        descriptor = sys.stderr.fileno()
        if _is_writable(descriptor):
            os.write(descriptor, line)
            return
    except OSError:
        pass  # the reader has closed standard error
    _limiter.suppressed += 1


def _is_writable(descriptor: int) -> bool:
    poll = select.poll()
    poll.register(descriptor, select.POLLOUT)
    return bool(poll.poll(0))
