"""Processes that the soak test starts, signals and ends by their ids."""

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
class ManagedProcess:
    """One process, which may be restarted, and its output.

    :param output_by_start: lines of standard output, one list for each start.
    :param errors: lines of standard error.
    :param signalled_at: wall times of signals that end, pause or resume it.
    """

    name: str
    arguments: Sequence[str]
    environment: dict[str, str] = field(default_factory=dict)
    output_by_start: list[list[str]] = field(default_factory=list)
    errors: list[str] = field(default_factory=list)
    paused: bool = False
    signalled_at: list[float] = field(default_factory=list)
    process: asyncio.subprocess.Process | None = None
    reader_tasks: list[asyncio.Task[None]] = field(default_factory=list)
    start_lock: asyncio.Lock = field(default_factory=asyncio.Lock)

    async def start(self) -> None:
        """Start the process unless it runs; two faults may start it concurrently."""
        async with self.start_lock:
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
        self.output_by_start.append(lines)
        assert self.process.stdout is not None
        assert self.process.stderr is not None
        self.reader_tasks += [
            asyncio.create_task(_collect_lines(self.process.stdout, lines)),
            asyncio.create_task(_collect_lines(self.process.stderr, self.errors)),
        ]

    @property
    def is_running(self) -> bool:
        """Return whether the process was started and has not exited."""
        return self.process is not None and self.process.returncode is None

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self.is_running:
            assert self.process is not None
            self.process.send_signal(number)
            if number != signal.SIGHUP:
                self.signalled_at.append(time.time())
            if number in (signal.SIGSTOP, signal.SIGCONT):
                self.paused = number == signal.SIGSTOP

    async def wait(self, seconds: float) -> bool:
        """Wait for the process to exit; return whether it did so in time."""
        assert self.process is not None
        try:
            await asyncio.wait_for(self.process.wait(), seconds)
        except TimeoutError:
            return False
        return True

    async def end(self) -> None:
        """Kill the process and collect the rest of its output."""
        if self.is_running:
            self.send(signal.SIGKILL)
            await self.wait(5)
        await asyncio.gather(*self.reader_tasks)

    def usage(self) -> tuple[int, int]:
        """Return resident kilobytes and open descriptors; zeros if the process has exited."""
        if not self.is_running or self.process is None:
            return 0, 0
        folder = Path(f"/proc/{self.process.pid}")
        try:
            pages = int((folder / "statm").read_text().split()[1])
            return pages * os.sysconf("SC_PAGESIZE") // 1024, len(os.listdir(folder / "fd"))
        except OSError:
            return 0, 0


async def _collect_lines(stream: asyncio.StreamReader, lines: list[str]) -> None:
    async for line in stream:
        lines.append(line.decode("utf-8", "replace").rstrip())
