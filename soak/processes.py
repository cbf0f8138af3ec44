"""Processes that the soak starts, and ends by their ids."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

ROOT = Path(__file__).parents[1]


@dataclass
class Child:
    """One process and what it prints.

    :param lines_by_life: lines of standard output, for each start.
    :param stopped_at: wall times of signals that end, freeze or wake it.
    """

    name: str
    arguments: Sequence[str]
    environment: dict[str, str] = field(default_factory=dict)
    lines_by_life: list[list[str]] = field(default_factory=list)
    errors: list[str] = field(default_factory=list)
    paused: bool = False
    stopped_at: list[float] = field(default_factory=list)
    process: asyncio.subprocess.Process | None = None
    readers: list[asyncio.Task[None]] = field(default_factory=list)
    starting: asyncio.Lock = field(default_factory=asyncio.Lock)

    async def start(self) -> None:
        """Start the process unless it runs; two faults may want that at the same time."""
        async with self.starting:
            if not self.is_running:
                await self._start()

    async def _start(self) -> None:
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            *self.arguments,
            cwd=ROOT,
            env={**os.environ, **self.environment},
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
            limit=1_048_576,
        )
        self.paused = False
        lines: list[str] = []
        self.lines_by_life.append(lines)
        assert self.process.stdout is not None
        assert self.process.stderr is not None
        self.readers += [
            asyncio.create_task(_collect(self.process.stdout, lines)),
            asyncio.create_task(_collect(self.process.stderr, self.errors)),
        ]

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self.process is not None and self.process.returncode is None

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.is_running:
            assert self.process is not None
            self.process.send_signal(number)
            if number != signal.SIGHUP:
                self.stopped_at.append(time.time())
            if number in (signal.SIGSTOP, signal.SIGCONT):
                self.paused = number == signal.SIGSTOP

    async def wait(self, seconds: float) -> bool:
        """Wait for the end of the process; return whether it came in time."""
        assert self.process is not None
        try:
            await asyncio.wait_for(self.process.wait(), seconds)
        except TimeoutError:
            return False
        return True

    async def end(self) -> None:
        """Kill the process and collect what it has printed."""
        if self.is_running:
            self.send(signal.SIGKILL)
            await self.wait(5)
        await asyncio.gather(*self.readers)

    def usage(self) -> tuple[int, int]:
        """Return resident kilobytes and open descriptors; zeros for an ended process."""
        if not self.is_running or self.process is None:
            return 0, 0
        folder = Path(f"/proc/{self.process.pid}")
        try:
            pages = int((folder / "statm").read_text().split()[1])
            return pages * os.sysconf("SC_PAGESIZE") // 1024, len(os.listdir(folder / "fd"))
        except OSError:
            return 0, 0


async def _collect(stream: asyncio.StreamReader, lines: list[str]) -> None:
    async for line in stream:
        lines.append(line.decode("utf-8", "replace").rstrip())
