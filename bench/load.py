"""Load test of real processes over loopback; run it with ``make load ARGS='--rate 60'``.

Starts stand-ins for the platform and for upstreams, several entry instances, and a load generator
in a separate process. Prints a table and writes build/load.json. With ``--baseline DIR`` every
second instance runs from another checkout, so that one run compares two versions under the same
load.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import signal
import subprocess
import time
from collections import Counter
from pathlib import Path
from typing import Any

import aiohttp
import orjson

from bench.load_caller import MAX_SEARCHES, Plan
from bench.load_fleet import Fleet, plan_fleet, publish, read_states, slow_down, start
from bench.load_usage import Usage, usage_of
from bench.processes import Processes

FOLDER = Path("build/load")
OUTPUT = Path("build/load.json")
MAX_SECONDS = 300.0
MAX_INSTANCES = 12
MAX_SERVICES = 40
WARM_UP_S = 3.0
IDLE_S = 5.0
END_TIMEOUT_S = 20.0
DEADLINE_MS = 2_000.0
PROFILE_LINES = 45
COVERAGE = ("mean", "p1", "min")

Usages = dict[str, Usage]


def read_usages(fleet: Fleet) -> Usages:
    """Return the resource usage of all processes by name."""
    return {name: usage_of(child.pid) for name, child in fleet.processes.by_name.items()}


def cpu_between(before: Usages, after: Usages, prefix: str) -> float:
    """Return the processor seconds of the processes whose names have a prefix."""
    return sum(after[name].cpu_s - before[name].cpu_s for name in after if name.startswith(prefix))


async def run(arguments: argparse.Namespace) -> dict[str, Any]:
    """Run the load test and return its measurements; all processes are stopped."""
    processes = Processes(FOLDER)
    try:
        async with aiohttp.ClientSession() as session:
            fleet = plan_fleet(processes, session, arguments.instances, arguments.services)
            fleet.probe_by_instance = _probe_environments(fleet, arguments.profile)
            start(fleet, arguments.baseline)
            await publish(fleet)
            idle = await _measure_idle(fleet)
            await _run_generator(fleet, arguments, WARM_UP_S, "warm-up")
            slowed = await slow_down(fleet, arguments.slowed, arguments.seed)
            measured = await _measure_load(fleet, arguments)
            if ended := processes.ended():
                raise RuntimeError(f"processes exited unexpectedly: {', '.join(ended)}")
            processes.stop([instance.name for instance in fleet.instances])
    finally:
        processes.kill_all()
    return {"arguments": _argument_values(arguments, slowed), "idle": idle, **measured}


def _probe_environments(fleet: Fleet, profile: bool) -> dict[str, dict[str, str]]:
    probes = {fleet.idle.name: {"LOAD_COUNT": str(fleet.probe_folder / "idle.json")}}
    if profile:
        output = fleet.probe_folder / "entry-1.prof"
        probes[fleet.instances[0].name] = {"LOAD_PROFILE": str(output)}
    return probes


async def _measure_idle(fleet: Fleet) -> dict[str, float]:
    """Measure an instance that receives no searches, only gossip, health polls and watches."""
    name = fleet.idle.name
    pid = fleet.processes.by_name[name].pid
    before, counts = usage_of(pid), await _read_counts(fleet)
    started_at = time.monotonic()
    await asyncio.sleep(IDLE_S)
    elapsed_s = time.monotonic() - started_at
    after, counts_after = usage_of(pid), await _read_counts(fleet)
    rates = {key: (counts_after[key] - counts.get(key, 0)) / elapsed_s for key in counts_after}
    return {
        "cpu_share": (after.cpu_s - before.cpu_s) / elapsed_s,
        "resident_mb": after.resident_bytes / 1e6,
        "sent_bytes_per_s": rates["sent"],
        "received_bytes_per_s": rates["received"],
        "sends_per_s": rates["sent_calls"],
        "receives_per_s": rates["received_calls"],
    }


async def _read_counts(fleet: Fleet) -> dict[str, int]:
    output = fleet.probe_folder / "idle.json"
    output.unlink(missing_ok=True)
    os.kill(fleet.processes.by_name[fleet.idle.name].pid, signal.SIGUSR1)
    async with asyncio.timeout(END_TIMEOUT_S):
        while not output.exists():
            await asyncio.sleep(0.01)
    counts: dict[str, int] = orjson.loads(output.read_bytes())
    return counts


async def _run_generator(
    fleet: Fleet, arguments: argparse.Namespace, seconds: float, name: str
) -> dict[str, Any]:
    output = fleet.probe_folder / f"{name}.json"
    output.unlink(missing_ok=True)
    plan = Plan(
        addresses=[instance.caller_address for instance in fleet.instances],
        front="booking",
        rate=arguments.rate,
        seconds=seconds,
        seed=arguments.seed,
        deadline_ms=DEADLINE_MS,
        output=str(output),
    )
    fleet.processes.start(name, "bench.load_caller", orjson.dumps(vars(plan)).decode())
    child = fleet.processes.by_name.pop(name)
    try:
        await asyncio.to_thread(child.wait, seconds + END_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        child.kill()
        raise
    result: dict[str, Any] = orjson.loads(output.read_bytes())
    return result


async def _measure_load(fleet: Fleet, arguments: argparse.Namespace) -> dict[str, Any]:
    states, before, started_at = await read_states(fleet), read_usages(fleet), time.monotonic()
    callers = await _run_generator(fleet, arguments, arguments.seconds, "callers")
    elapsed_s, after = time.monotonic() - started_at, read_usages(fleet)
    states_after = await read_states(fleet)
    by_instance = {}
    for number, instance in enumerate(fleet.instances):
        name = instance.name
        sent = [dump[name]["counters"].get("attempts.sent", 0) for dump in (states, states_after)]
        cpu_s = after[name].cpu_s - before[name].cpu_s
        searches = callers["by_address"].get(instance.caller_address, 0)
        by_instance[name] = {
            "version": "baseline" if arguments.baseline and number % 2 else "this",
            "cpu_s": cpu_s,
            "cpu_share": cpu_s / elapsed_s,
            "resident_mb": after[name].resident_bytes / 1e6,
            "searches": searches,
            "sub_requests": sent[1] - sent[0],
        }
    return {
        "callers": callers,
        "by_instance": by_instance,
        "by_version": _costs_by_version(by_instance),
        "upstreams_cpu_share": cpu_between(before, after, "upstreams") / elapsed_s,
        "upstreams_resident_mb": sum(
            item.resident_bytes for name, item in after.items() if name.startswith("upstreams")
        )
        / 1e6,
        "platform_cpu_share": cpu_between(before, after, "platform") / elapsed_s,
        "machine_load": os.getloadavg()[0],
        "processors": os.cpu_count(),
    }


def _costs_by_version(by_instance: dict[str, dict[str, Any]]) -> dict[str, dict[str, float]]:
    """Return the costs per search and per sub-request of each version."""
    costs_by_version = {}
    for version in sorted({row["version"] for row in by_instance.values()}, reverse=True):
        rows = [row for row in by_instance.values() if row["version"] == version]
        cpu_s, searches, sub_requests, resident_mb = (
            sum(row[key] for row in rows)
            for key in ("cpu_s", "searches", "sub_requests", "resident_mb")
        )
        costs_by_version[version] = {
            "searches": searches,
            "sub_requests_per_search": sub_requests / max(searches, 1),
            "cpu_ms_per_search": cpu_s * 1e3 / max(searches, 1),
            "cpu_us_per_sub_request": cpu_s * 1e6 / max(sub_requests, 1),
            "resident_mb_per_instance": resident_mb / len(rows),
        }
    return costs_by_version


def _argument_values(arguments: argparse.Namespace, slowed: int) -> dict[str, Any]:
    names = ("rate", "seconds", "instances", "services", "slowed", "seed")
    values = {name: getattr(arguments, name) for name in names}
    return {**values, "slowed_servers": slowed, "servers": 3 * arguments.services}


def table(result: dict[str, Any]) -> str:
    """Return the result as text."""
    callers, idle = result["callers"], result["idle"]
    rows = [(name, f"{value:g}") for name, value in result["arguments"].items()]
    rows += [(f"latency {name}", f"{ms:.2f} ms") for name, ms in callers["latency_ms"].items()]
    rows += [(f"callers: {name}", str(count)) for name, count in sorted(callers["counts"].items())]
    rows += [(f"coverage {name}", f"{callers[f'coverage_{name}']:.4f}") for name in COVERAGE]
    rows += [
        ("generator: share of a core", f"{callers['generator_cpu_share']:.3f}"),
        ("generator: lag p99", f"{callers['generator_lag_p99_ms']:.2f} ms"),
        ("upstreams: cores", f"{result['upstreams_cpu_share']:.2f}"),
        ("machine load, 1 minute", f"{result['machine_load']:.1f} on {result['processors']}"),
    ]
    rows += [(f"idle instance: {name}", f"{value:.4g}") for name, value in idle.items()]
    for version, costs in result["by_version"].items():
        rows += [(f"{version}: {name}", f"{value:.4g}") for name, value in costs.items()]
    return "\n".join(f"{name:<44}{value}" for name, value in rows)


def _parse() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rate", type=float, default=60.0, help="searches per second")
    parser.add_argument("--seconds", type=float, default=20.0, help=f"at most {MAX_SECONDS:g}")
    parser.add_argument("--instances", type=int, default=4, help=f"at most {MAX_INSTANCES}")
    parser.add_argument("--services", type=int, default=10, help=f"at most {MAX_SERVICES}")
    parser.add_argument(
        "--slowed", type=float, default=0.0, help="share of servers that are slowed"
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--baseline", type=Path, help="checkout that every second instance runs from"
    )
    parser.add_argument("--profile", action="store_true", help="profile the first instance")
    arguments = parser.parse_args()
    if not 0 < arguments.seconds <= MAX_SECONDS or arguments.rate <= 0:
        parser.error(f"--rate must be positive and --seconds from 0 to {MAX_SECONDS:g}")
    if arguments.rate * arguments.seconds > MAX_SEARCHES:
        parser.error(f"at most {MAX_SEARCHES} searches")
    if not (1 <= arguments.instances <= MAX_INSTANCES and 1 <= arguments.services <= MAX_SERVICES):
        parser.error(f"1 to {MAX_INSTANCES} instances, 1 to {MAX_SERVICES} services")
    if not 0 <= arguments.slowed <= 1:
        parser.error("--slowed must be from 0 to 1")
    return arguments


def main() -> None:
    """Run the load test, print the table and write the JSON file."""
    arguments = _parse()
    result = asyncio.run(run(arguments))
    OUTPUT.write_bytes(orjson.dumps(result, option=orjson.OPT_INDENT_2))
    print(table(result))
    if arguments.profile:
        _print_profile(orjson.loads((FOLDER / "entry-1.prof").read_bytes()))


def _print_profile(samples_by_kind: dict[str, dict[str, int]]) -> None:
    total = sum(samples_by_kind["own"].values())
    for kind, samples in samples_by_kind.items():
        print(f"\n{kind} share of {total} samples of processor time, including startup")
        for name, count in Counter(samples).most_common(PROFILE_LINES):
            print(f"{count / total:7.1%}  {name}")


if __name__ == "__main__":
    main()
