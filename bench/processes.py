"""Child processes of a demonstration or load run; all are ended by id, also after an error."""

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
CANDIDATE_PORTS = range(10_000, 20_000)  # Linux assigns ephemeral ports from 32768 on


@dataclass
class Processes:
    """Child processes by name.

    :param log_folder: folder for the standard error of each process.
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

        :param folder: checkout whose module is run; the current folder by default.
        :param environment: variables that are added to those of this process.
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
        """Kill a process and wait for it."""
        process = self.by_name.pop(name)
        process.kill()
        process.wait()

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal, such as SIGSTOP."""
        self.by_name[name].send_signal(number)

    def ended(self) -> list[str]:
        """Return the names of processes that exited without being stopped."""
        return [name for name, process in self.by_name.items() if process.poll() is not None]

    def stop(self, names: list[str]) -> dict[str, int]:
        """Stop processes by SIGTERM and return their exit statuses.

        A process that still runs after ``STOP_TIMEOUT_S`` is killed.
        """
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
        """Kill all processes that have not been stopped."""
        for name in list(self.by_name):
            self.kill(name)


def free_addresses(count: int) -> list[str]:
    """Return loopback addresses with free ports.

    The ports are below the range of ephemeral ports, so that no outgoing connection takes one of
    them before the process that listens there.

    :raises OSError: if there are not enough free ports.
    """
    addresses: list[str] = []
    for port in random.sample(CANDIDATE_PORTS, len(CANDIDATE_PORTS)):
        with socket.socket() as probe, suppress(OSError):
            probe.bind(("127.0.0.1", port))
            addresses.append(f"127.0.0.1:{port}")
        if len(addresses) == count:
            return addresses
    raise OSError(f"fewer than {count} ports are free")
