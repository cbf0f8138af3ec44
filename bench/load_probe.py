"""Run an entry instance with a probe that counts socket bytes or profiles processor time.

``LOAD_COUNT=FILE`` counts bytes and writes the counters to the file at each SIGUSR1.
``LOAD_PROFILE=FILE`` samples the stack and writes the samples when the process exits.
"""

from __future__ import annotations

import json
import os
import signal
import socket
from collections import Counter
from pathlib import Path
from types import FrameType
from typing import Any

from turmerictiller.cmd.main import main

SAMPLE_S = 0.001  # of processor time


def count_bytes(output: Path) -> None:
    """Count the bytes that all sockets of this process send and receive."""
    counts: Counter[str] = Counter()

    def count_calls(name: str, key: str) -> Any:
        original = getattr(socket.socket, name)

        def call(self: socket.socket, *arguments: Any) -> Any:
            result = original(self, *arguments)
            counts[key] += result if isinstance(result, int) else len(result)
            counts[f"{key}_calls"] += 1
            return result

        return call

    for name, key in (("send", "sent"), ("recv", "received"), ("recv_into", "received")):
        setattr(socket.socket, name, count_calls(name, key))

    def write(*_: Any) -> None:
        partial = output.with_suffix(".part")
        partial.write_text(json.dumps(counts))
        partial.replace(output)

    signal.signal(signal.SIGUSR1, write)


def run_sampled(output: Path) -> None:
    """Run the command line under a sampling profiler and write samples by function.

    cProfile would overstate the cost of short Python functions several times.
    """
    self_samples: Counter[str] = Counter()
    inclusive_samples: Counter[str] = Counter()

    def sample(_: int, frame: FrameType | None) -> None:
        names = set()
        if frame is not None:
            self_samples[_name(frame)] += 1
        while frame is not None:
            names.add(_name(frame))
            frame = frame.f_back
        inclusive_samples.update(names)

    signal.signal(signal.SIGPROF, sample)
    signal.setitimer(signal.ITIMER_PROF, SAMPLE_S, SAMPLE_S)
    try:
        main()
    finally:
        signal.setitimer(signal.ITIMER_PROF, 0)
        output.write_text(json.dumps({"own": self_samples, "inclusive": inclusive_samples}))


def _name(frame: FrameType) -> str:
    code = frame.f_code
    return f"{Path(code.co_filename).name}:{code.co_qualname}"


if __name__ == "__main__":
    if "LOAD_COUNT" in os.environ:
        count_bytes(Path(os.environ["LOAD_COUNT"]))
    if "LOAD_PROFILE" in os.environ:
        run_sampled(Path(os.environ["LOAD_PROFILE"]))
    else:
        main()
