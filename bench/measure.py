"""Simulation benchmark: the real reducer in virtual time with simulated servers and network.

Run it as ``make measure ARGS="--only slowed --seeds 3"``. The same seeds give the same numbers.
"""

from __future__ import annotations

import math
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Annotated, Any

import orjson
import typer

from bench.aims import check_aims
from bench.deployments import DEADLINE_MS, DEPLOYMENTS, Deployment
from bench.policies import POLICIES, Policy
from bench.report import Sample, figures, table
from bench.scenarios import SCENARIOS, WARM_UP_MS, Scenario
from bench.simulation import SearchRecord, Simulation

OUTPUT = Path("build/measure.json")

Job = tuple[str, str, str, int]


def run_once(
    deployment: Deployment, scenario: Scenario, policy: Policy, seed: int
) -> dict[str, Sample]:
    """Return the samples of one run by window name; the name of the whole run is empty."""
    simulation = Simulation(deployment, seed, scenario.demand, policy.settings)
    with policy.applied(simulation):
        simulation.start()
        scenario.script(simulation)
        simulation.clock.run_until(WARM_UP_MS)
        before = _counters(simulation)
        simulation.clock.run_until(scenario.length_ms)
        after = _counters(simulation)
        simulation.clock.run_until(scenario.length_ms + 2 * DEADLINE_MS)
    after.subtract(before)
    windows = {"": (WARM_UP_MS, scenario.length_ms), **scenario.windows}
    return {
        name: Sample(
            _select_records(simulation, start, end, name in scenario.inside), after, end - start
        )
        for name, (start, end) in windows.items()
    }


def _select_records(
    simulation: Simulation, start: float, end: float, cut_domain_only: bool
) -> list[SearchRecord]:
    front = simulation.deployment.fronts[0].name
    return [
        item
        for item in simulation.records
        if item.front == front
        and start <= item.sent_at < end
        and (not cut_domain_only or item.domain == simulation.network.cut_domain)
    ]


def _counters(simulation: Simulation) -> Counter[str]:
    counters = Counter({name: simulation.sum_counter(name) for name in ("sent", "merged")})
    counters["needed"] = simulation.parts_sent()
    counters.update(simulation.counters)
    return counters


def _run_job(job: Job) -> dict[str, Sample]:
    deployment, scenario, policy, seed = job
    return run_once(
        next(item for item in DEPLOYMENTS if item.name == deployment),
        next(item for item in SCENARIOS if item.name == scenario),
        next(item for item in POLICIES if item.name == policy),
        seed,
    )


def _run_all(jobs: list[Job], workers: int) -> list[dict[str, Sample]]:
    if workers == 1:
        return [_run_job(job) for job in jobs]
    with ProcessPoolExecutor(workers) as pool:
        return list(pool.map(_run_job, jobs))


def build_rows(jobs: list[Job], results: list[dict[str, Sample]]) -> list[dict[str, Any]]:
    """Return one row of figures per deployment, scenario, window and policy."""
    samples: dict[tuple[str, str], Sample] = {}
    for (deployment, scenario, policy, _), result in zip(jobs, results, strict=True):
        for window, sample in result.items():
            name = "/".join(part for part in (deployment, scenario, window) if part)
            samples.setdefault((name, policy), Sample()).add(sample)
    return [
        {"run": name, "policy": policy, **figures(sample)}
        for (name, policy), sample in samples.items()
    ]


def main(
    only: Annotated[
        str, typer.Option(help="Run those with this text in DEPLOYMENT/SCENARIO.")
    ] = "",
    seeds: Annotated[int, typer.Option(help="Number of seeds, counted from 1.", min=1)] = 1,
    policy: Annotated[str, typer.Option(help="Policies, comma-separated; all if empty.")] = "",
    workers: Annotated[int, typer.Option(help="Worker processes.", min=1)] = 2,
) -> None:
    """Measure policies in simulated scenarios."""
    names = [item for item in policy.split(",") if item] or [item.name for item in POLICIES]
    jobs = [
        (deployment.name, scenario.name, name, seed)
        for deployment in DEPLOYMENTS
        for scenario in SCENARIOS
        if only in f"{deployment.name}/{scenario.name}"
        for name in names
        for seed in range(1, seeds + 1)
    ]
    rows = build_rows(jobs, _run_all(jobs, workers))
    aims = check_aims(rows)
    typer.echo(table(rows))
    typer.echo("\n".join(aims))
    OUTPUT.parent.mkdir(exist_ok=True)
    document = {"seeds": seeds, "rows": [_replace_nan(row) for row in rows], "aims": aims}
    OUTPUT.write_bytes(orjson.dumps(document, option=orjson.OPT_INDENT_2))


def _replace_nan(row: dict[str, Any]) -> dict[str, Any]:
    return {
        name: None if isinstance(value, float) and math.isnan(value) else value
        for name, value in row.items()
    }


if __name__ == "__main__":
    cli = typer.Typer(pretty_exceptions_enable=False)
    cli.command()(main)
    cli()
