"""Entry instance with a probe: counts bytes of its sockets, or profiles its processor time.

``LOAD_COUNT=FILE`` counts; the counts are written to the file at each SIGUSR1. ``LOAD_PROFILE=FILE``
profiles with cProfile and writes the statistics at the end of the process.
"""

from __future__ import annotations

import cProfile
import json
import os
import signal
import socket
import time
from collections import Counter
from pathlib import Path
from typing import Any

from turmerictiller.cmd.main import main


def count_bytes(output: Path) -> None:
    """Count the payload that all sockets of this process send and receive."""
    counts: Counter[str] = Counter()

    def counted(name: str, key: str) -> Any:
        original = getattr(socket.socket, name)

        def call(self: socket.socket, *arguments: Any) -> Any:
            result = original(self, *arguments)
            counts[key] += result if isinstance(result, int) else len(result)
            counts[f"{key}_calls"] += 1
            return result

        return call

    for name, key in (("send", "sent"), ("recv", "received"), ("recv_into", "received")):
        setattr(socket.socket, name, counted(name, key))

    def write(*_: Any) -> None:
        partial = output.with_suffix(".part")
        partial.write_text(json.dumps(counts))
        partial.replace(output)

    signal.signal(signal.SIGUSR1, write)


def run_profiled(output: Path) -> None:
    """Run the command line and write where its processor time went."""
    profile = cProfile.Profile(time.process_time)
    try:
        profile.runcall(main)
    finally:
        profile.dump_stats(output)


if __name__ == "__main__":
    if "LOAD_COUNT" in os.environ:
        count_bytes(Path(os.environ["LOAD_COUNT"]))
    if "LOAD_PROFILE" in os.environ:
        run_profiled(Path(os.environ["LOAD_PROFILE"]))
    else:
        main()
