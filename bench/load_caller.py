"""Open-loop load generator that distributes scheduled searches like a balancer that polls /health.

It runs as a separate process, reads a ``Plan`` as JSON from its argument and writes its result as
JSON to the plan's output file. Latency is measured from the scheduled time, which avoids
coordinated omission: a stalled instance cannot hide the searches that would have arrived
meanwhile.
"""

from __future__ import annotations

import asyncio
import random
import sys
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import orjson
from hdrh.histogram import HdrHistogram

from bench.load_http import Target, request

HEALTH_INTERVAL_S = 0.25
DRAIN_TIMEOUT_S = 5.0
MAX_SEARCHES = 200_000
MAX_IN_FLIGHT = 1_000
MAX_US = 60_000_000
QUERIES = ("velvet", "damask", "hem", "rail", "blackout", "pleat")


@dataclass(frozen=True)
class Plan:
    """What to send.

    :param rate: searches per second.
    :param output: file for the result.
    """

    addresses: list[str]
    front: str
    rate: float
    seconds: float
    seed: int
    deadline_ms: float
    output: str


@dataclass
class Result:
    """Measurements at the callers; latency and lag in microseconds, coverage in thousandths.

    :param lag: time from the scheduled time to the start of a search.
    :param by_address: answers by address of the instance.
    """

    latency: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, MAX_US, 3))
    lag: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, MAX_US, 3))
    coverage: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, 1_000, 3))
    coverage_sum: float = 0.0
    counts: Counter[str] = field(default_factory=Counter)
    by_address: Counter[str] = field(default_factory=Counter)


def schedule(rate: float, seconds: float, seed: int) -> list[float]:
    """Return the arrival times of a Poisson process in seconds, at most ``MAX_SEARCHES``."""
    rng = random.Random(seed)
    times: list[float] = []
    at = rng.expovariate(rate)
    while at < seconds and len(times) < MAX_SEARCHES:
        times.append(at)
        at += rng.expovariate(rate)
    return times


def record_answer(result: Result, latency_s: float, status: int, body: bytes) -> None:
    """Record one answer; refusals are counted by type and their latency is not recorded."""
    answer = orjson.loads(body)
    if status != 200:
        result.counts[f"refused.{answer.get('error', status)}"] += 1
        return
    coverage = answer["coverage"]
    share = coverage["merged"] / coverage["total"]
    result.counts["answered"] += 1
    result.counts["partial"] += share < 1
    result.latency.record_value(min(max(int(latency_s * 1e6), 1), MAX_US))
    result.coverage.record_value(max(int(share * 1_000), 1))
    result.coverage_sum += share


async def generate(plan: Plan) -> Result:
    """Send the searches of the plan and wait up to ``DRAIN_TIMEOUT_S`` for the last answers."""
    result = Result()
    targets = [Target(address) for address in plan.addresses]
    await asyncio.gather(*(target.check_health() for target in targets))
    health_poller = asyncio.create_task(_poll_health(targets))
    tasks: set[asyncio.Task[None]] = set()
    loop = asyncio.get_running_loop()
    start = loop.time() + 0.1
    for number, at in enumerate(schedule(plan.rate, plan.seconds, plan.seed)):
        if (wait_s := start + at - loop.time()) > 0:
            await asyncio.sleep(wait_s)
        result.counts["scheduled"] += 1
        ready = [target for target in targets if target.is_ready]
        if not ready or len(tasks) >= MAX_IN_FLIGHT:
            result.counts["not_sent"] += 1
            continue
        result.lag.record_value(min(max(int((loop.time() - start - at) * 1e6), 1), MAX_US))
        target = ready[number % len(ready)]
        task = asyncio.create_task(_search(plan, result, target, number, start + at))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    if tasks:
        _, unfinished = await asyncio.wait(tasks, timeout=DRAIN_TIMEOUT_S)
        result.counts["unanswered"] += len(unfinished)
    health_poller.cancel()
    return result


async def _search(plan: Plan, result: Result, target: Target, number: int, due_at: float) -> None:
    query = f"{QUERIES[number % len(QUERIES)]} {number}"
    body = orjson.dumps({"query": query, "k": 5, "deadline_ms": plan.deadline_ms})
    raw = request("POST", f"/v1/fronts/{plan.front}/search", target.address, body)
    try:
        status, answer = await target.call(raw)
    except OSError:
        result.counts["lost"] += 1
        return
    result.by_address[target.address] += 1
    record_answer(result, asyncio.get_running_loop().time() - due_at, status, answer)


async def _poll_health(targets: list[Target]) -> None:
    while True:
        await asyncio.sleep(HEALTH_INTERVAL_S)
        await asyncio.gather(*(target.check_health() for target in targets))


def summary(result: Result, cpu_s: float, wall_s: float) -> dict[str, Any]:
    """Return the result as JSON data; times in milliseconds."""
    percentiles = (50, 99, 99.9, 100)
    answered = result.counts["answered"]
    return {
        "counts": dict(result.counts),
        "by_address": dict(result.by_address),
        "latency_ms": {
            f"p{percent:g}": result.latency.get_value_at_percentile(percent) / 1000
            for percent in percentiles
        },
        "generator_lag_p99_ms": result.lag.get_value_at_percentile(99) / 1000,
        "coverage_mean": result.coverage_sum / answered if answered else 0.0,
        "coverage_p1": result.coverage.get_value_at_percentile(1) / 1000,
        "coverage_min": result.coverage.get_min_value() / 1000 if answered else 0.0,
        "generator_cpu_share": cpu_s / wall_s,
    }


def main() -> None:
    """Run the plan given as an argument."""
    plan = Plan(**orjson.loads(sys.argv[1]))
    cpu_s, wall_s = time.process_time(), time.monotonic()
    result = asyncio.run(generate(plan))
    measured = summary(result, time.process_time() - cpu_s, time.monotonic() - wall_s)
    Path(plan.output).write_bytes(orjson.dumps(measured))


if __name__ == "__main__":
    main()
