"""Processor time and resident memory of processes, from /proc."""

from __future__ import annotations

import os
from dataclasses import dataclass
from pathlib import Path

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
# Indexes of the fields after the process name in /proc/PID/stat.
RESIDENT_PAGES_INDEX = 21
USER_TICKS_INDEX = 11
SYSTEM_TICKS_INDEX = 12


@dataclass(frozen=True)
class Usage:
    """Processor time that a process has used in seconds, and its resident memory."""

    cpu_s: float
    resident_bytes: int


def usage_of(pid: int) -> Usage:
    """Return the usage of a process.

    :raises OSError: if it has ended.
    """
    return parse_stat(Path(f"/proc/{pid}/stat").read_text())


def parse_stat(text: str) -> Usage:
    """Return the usage from the text of /proc/PID/stat; the process name may contain brackets."""
    fields = text.rpartition(")")[2].split()
    ticks = int(fields[USER_TICKS_INDEX]) + int(fields[SYSTEM_TICKS_INDEX])
    return Usage(ticks / TICKS_PER_S, int(fields[RESIDENT_PAGES_INDEX]) * PAGE_BYTES)
