"""Processes of a demonstration or load run; all are ended by id, also after an error."""

from __future__ import annotations

import os
import random
import signal
import socket
import subprocess
import sys
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path

STOP_TIMEOUT_S = 10.0
CANDIDATE_PORTS = range(10_000, 20_000)  # Linux takes ports for connections from 32768 on


@dataclass
class Processes:
    """Child processes by name.

    :param log_folder: where each writes its standard error.
    """

    log_folder: Path
    by_name: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)

    def start(
        self,
        name: str,
        module: str,
        *arguments: str,
        folder: Path | None = None,
        environment: dict[str, str] | None = None,
    ) -> None:
        """Start ``python -m module``.

        :param folder: where the module is looked up; this checkout if not given.
        :param environment: variables in addition to those of this process.
        """
        self.log_folder.mkdir(parents=True, exist_ok=True)
        with (self.log_folder / f"{name}.log").open("wb") as log:
            self.by_name[name] = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdin=subprocess.DEVNULL,
                stderr=log,
                cwd=folder,
                env={**os.environ, **(environment or {})},
            )

    def kill(self, name: str) -> None:
        """End a process at once."""
        process = self.by_name.pop(name)
        process.kill()
        process.wait()

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal, such as SIGSTOP."""
        self.by_name[name].send_signal(number)

    def ended(self) -> list[str]:
        """Return the processes that have ended by themselves."""
        return [name for name, process in self.by_name.items() if process.poll() is not None]

    def stop(self, names: list[str]) -> dict[str, int]:
        """Ask processes to stop and return their exit statuses."""
        for name in names:
            self.by_name[name].send_signal(signal.SIGTERM)
        return {name: self._wait(name) for name in names}

    def _wait(self, name: str) -> int:
        process = self.by_name.pop(name)
        try:
            return process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            process.kill()
            return process.wait()

    def kill_all(self) -> None:
        """End whatever still runs."""
        for name in list(self.by_name):
            self.kill(name)


def free_addresses(count: int) -> list[str]:
    """Return loopback addresses on which nobody listens.

    Their ports are below the range from which the system takes ports, so that no connection gets one
    of them before the process that is to listen there.
    """
    found: list[str] = []
    for port in random.sample(CANDIDATE_PORTS, len(CANDIDATE_PORTS)):
        with socket.socket() as probe, suppress(OSError):
            probe.bind(("127.0.0.1", port))
            found.append(f"127.0.0.1:{port}")
        if len(found) == count:
            return found
    raise OSError(f"there are no {count} free ports")
