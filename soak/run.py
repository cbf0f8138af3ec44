"""Run the soak test: ``python -m soak.run --seed 1 --seconds 20``.

The real programs run as separate processes. Faults are injected from outside, one after another and
overlapping, as chosen by the seed. The guarantees are checked against the results of callers, the
request logs of servers, and the logs of instances.
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
from soak.faults import FAULTS

CALLERS = 8
RECOVERY_S = 7.0
RECOVERY_CHECK_S = 3.0
Fault = Callable[[Deployment], Awaitable[None]]


async def run_faults(run: Deployment, faults: Sequence[Fault], seconds: float) -> None:
    """Inject overlapping faults for some seconds, then check that service recovers."""
    await asyncio.sleep(2)
    checkers = [
        Checker(
            number,
            run.caller_addresses,
            run.server_models_by_id,
            (SHARDS - 1, SHARDS),
            run.results,
            random.Random(run.seed * 1_000 + number),
        )
        for number in range(CALLERS)
    ]
    tasks = [asyncio.create_task(checker.run()) for checker in checkers]
    end = time.monotonic() + seconds
    running: set[asyncio.Future[None]] = set()
    while time.monotonic() < end:
        fault = run.rng.choice(faults)
        run.fault_names.append(fault.__name__)
        running.add(asyncio.ensure_future(fault(run)))
        check_usage(run)
        await asyncio.sleep(run.rng.uniform(0.1, 1.2))
    await asyncio.gather(*running)
    for server_id in list(run.drained_at_by_id):
        await run.publish(server_id)
    await asyncio.sleep(RECOVERY_S)
    before = run.results.statuses.copy()
    await asyncio.sleep(RECOVERY_CHECK_S)
    check_recovery(run, run.results.statuses - before)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def soak(seed: int, seconds: float, faults: Sequence[Fault] = FAULTS) -> Deployment:
    """Run one seed and return the deployment with the results of all checks."""
    with tempfile.TemporaryDirectory() as folder:
        run = Deployment(seed, Path(folder), random.Random(seed))
        try:
            await run.start()
            await run_faults(run, faults, seconds)
        finally:
            await run.end()
        check_runs(run)
        check_announcements(run)
        check_logs(run)
        return run


def main() -> int:
    """Run seeds one after the other; return 1 if a guarantee was violated."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--seed", type=int, default=None, help="first seed; random if omitted")
    parser.add_argument("--seeds", type=int, default=1, help="number of consecutive seeds")
    parser.add_argument(
        "--seconds", type=float, default=15.0, help="duration of fault injection per seed"
    )
    options = parser.parse_args()
    first = random.randrange(10**6) if options.seed is None else options.seed
    broken = 0
    for seed in range(first, first + options.seeds):
        run = asyncio.run(soak(seed, options.seconds))
        statuses = dict(sorted(run.results.statuses.items()))
        print(f"seed {seed}: {len(run.fault_names)} faults, {statuses}", flush=True)
        for problem in run.results.problems:
            print(f"  broken: {problem}", flush=True)
        broken += bool(run.results.problems)
    print(f"{options.seeds} seeds, {broken} with violated guarantees")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
