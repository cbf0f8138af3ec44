"""Performance targets under load, as ratios of figures from one run of the simulation benchmark."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from bench.deployments import DEADLINE_MS, DEPLOYMENTS, Deployment, reachable_share

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    Rows = dict[tuple[str, str], dict[str, Any]]


def check_aims(rows: Sequence[dict[str, Any]]) -> list[str]:
    """Return one line for each target whose rows were measured."""
    rows_by_run = {(row["run"], row["policy"]): row for row in rows}
    lines = []
    for deployment in DEPLOYMENTS:
        for name, value, is_met in _aims(rows_by_run, deployment):
            lines.append(f"{'met   ' if is_met else 'MISSED'}  {deployment.name}: {name}: {value}")
    return lines


def _aims(rows: Rows, deployment: Deployment) -> Iterator[tuple[str, str, bool]]:
    yield from _steady(rows, deployment)
    yield from _slowed(rows, deployment)
    yield from _crest(rows, deployment)
    yield from _cut(rows, deployment)


def _steady(rows: Rows, deployment: Deployment) -> Iterator[tuple[str, str, bool]]:
    product = rows.get((f"{deployment.name}/steady", "product"))
    if product is not None:
        extra_load = product["extra_load"]
        yield "steady: extra load at most 1%", f"{extra_load:.2%}", extra_load <= 0.01


def _slowed(rows: Rows, deployment: Deployment) -> Iterator[tuple[str, str, bool]]:
    run = f"{deployment.name}/slowed"
    product, oracle, random_policy = (
        rows.get((run, name)) for name in ("product", "oracle", "random")
    )
    if product is None or oracle is None or random_policy is None:
        return
    ratio = product["p99_ms"] / oracle["p99_ms"]
    yield "slowed: p99 at most 1.25 times the oracle's", f"{ratio:.2f}", ratio <= 1.25
    extra_load = product["extra_load"]
    yield "slowed: extra load at most 3%", f"{extra_load:.2%}", extra_load <= 0.03
    improvement = random_policy["p99_ms"] / product["p99_ms"]
    yield "slowed: p99 at least 5 times better than random", f"{improvement:.2f}", improvement >= 5


def _crest(rows: Rows, deployment: Deployment) -> Iterator[tuple[str, str, bool]]:
    crest = rows.get((f"{deployment.name}/swing/crest", "product"))
    capacity = rows.get((f"{deployment.name}/capacity", "product"))
    steady = rows.get((f"{deployment.name}/steady", "product"))
    after = rows.get((f"{deployment.name}/swing/after", "product"))
    if crest is None or capacity is None or steady is None or after is None:
        return
    share = crest["useful_per_s"] / deployment.fronts[0].capacity_per_s()
    yield "crest: at least 95% of the upstream capacity", f"{share:.2%}", share >= 0.95
    ratio = crest["useful_per_s"] / capacity["useful_per_s"]
    yield "crest: not less than at capacity", f"{ratio:.2f}", ratio >= 1
    p99 = crest["p99_ms"]
    yield "crest: p99 of answers within the deadline", f"{p99:.1f}", p99 <= DEADLINE_MS + 1e-6
    coverage = crest["coverage_mean"]
    yield "crest: coverage of answers over 99%", f"{coverage:.2%}", coverage > 0.99
    recovery = after["p99_ms"] / steady["p99_ms"]
    yield "swing: p99 back to 1.25 times steady after 2 s", f"{recovery:.2f}", recovery <= 1.25


def _cut(rows: Rows, deployment: Deployment) -> Iterator[tuple[str, str, bool]]:
    row = rows.get((f"{deployment.name}/cut/inside", "product"))
    if row is None:
        return
    reachable = reachable_share(deployment, deployment.domains[-1])
    yield "cut off: callers answered in time", f"{row['in_time']:.2%}", row["in_time"] >= 0.99
    share = row["coverage_mean"] / reachable
    yield "cut off: coverage of what is reachable", f"{share:.2%}", share >= 0.99
