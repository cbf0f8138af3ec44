"""Processor time and resident memory of processes, from /proc."""

from __future__ import annotations

import os
from dataclasses import dataclass
from pathlib import Path

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
RESIDENT_PAGES = 21  # index after the name in /proc/PID/stat
USER_TICKS = 11
SYSTEM_TICKS = 12


@dataclass(frozen=True)
class Usage:
    """What a process has used so far; processor time in seconds."""

    cpu_s: float
    resident_bytes: int


def usage_of(pid: int) -> Usage:
    """Return the usage of a process.

    :raises OSError: if it has ended.
    """
    return parse_stat(Path(f"/proc/{pid}/stat").read_text())


def parse_stat(text: str) -> Usage:
    """Return the usage in the text of /proc/PID/stat; the name in it may hold any character."""
    fields = text.rpartition(")")[2].split()
    ticks = int(fields[USER_TICKS]) + int(fields[SYSTEM_TICKS])
    return Usage(ticks / TICKS_PER_S, int(fields[RESIDENT_PAGES]) * PAGE_BYTES)
