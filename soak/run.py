"""Run the soak: ``python -m soak.run --seed 1 --seconds 20``.

The real programs run as separate processes; faults come from outside them, in series and overlapping,
chosen by the seed. The promises are checked from what callers and servers see, and from the logs.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path

from soak.announcements import check_announcements
from soak.callers import Checker
from soak.checks import check_logs, check_recovery, check_runs, check_usage
from soak.deployment import SHARDS, Deployment
from soak.faults import KINDS

CALLERS = 8
RECOVERY_S = 7.0
LAST_S = 3.0
Fault = Callable[[Deployment], Awaitable[None]]


async def play(run: Deployment, kinds: Sequence[Fault], seconds: float) -> None:
    """Let faults overlap for some seconds, then look whether service returns."""
    await asyncio.sleep(2)
    checkers = [
        Checker(
            number,
            run.caller_addresses,
            run.models_by_id,
            (SHARDS - 1, SHARDS),
            run.book,
            random.Random(run.seed * 1_000 + number),
        )
        for number in range(CALLERS)
    ]
    tasks = [asyncio.create_task(checker.run()) for checker in checkers]
    end = time.monotonic() + seconds
    running: set[asyncio.Future[None]] = set()
    while time.monotonic() < end:
        kind = run.rng.choice(kinds)
        run.faults.append(kind.__name__)
        running.add(asyncio.ensure_future(kind(run)))
        check_usage(run)
        await asyncio.sleep(run.rng.uniform(0.1, 1.2))
    await asyncio.gather(*running)
    for server_id in list(run.drained_at_by_id):
        await run.publish(server_id)
    await asyncio.sleep(RECOVERY_S)
    before = run.book.statuses.copy()
    await asyncio.sleep(LAST_S)
    check_recovery(run, run.book.statuses - before)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def soak(seed: int, seconds: float, kinds: Sequence[Fault] = KINDS) -> Deployment:
    """Play one seed and return what was seen."""
    with tempfile.TemporaryDirectory() as folder:
        run = Deployment(seed, Path(folder), random.Random(seed))
        try:
            await run.start()
            await play(run, kinds, seconds)
        finally:
            await run.end()
        check_runs(run)
        check_announcements(run)
        check_logs(run)
        return run


def main() -> int:
    """Play seeds one after the other; return 1 if a promise was broken."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--seed", type=int, default=None, help="one seed; drawn if left out")
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds, counted up")
    parser.add_argument("--seconds", type=float, default=15.0, help="time of faults per seed")
    options = parser.parse_args()
    first = random.randrange(10**6) if options.seed is None else options.seed
    broken = 0
    for seed in range(first, first + options.seeds):
        played = asyncio.run(soak(seed, options.seconds))
        statuses = dict(sorted(played.book.statuses.items()))
        print(f"seed {seed}: {len(played.faults)} faults, {statuses}", flush=True)
        for problem in played.book.problems:
            print(f"  broken: {problem}", flush=True)
        broken += bool(played.book.problems)
    print(f"{options.seeds} seeds, {broken} with broken promises")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
