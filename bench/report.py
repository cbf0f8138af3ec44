"""Figures of simulated runs, and a table of them."""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from bench.deployments import DEADLINE_MS

if TYPE_CHECKING:
    from collections.abc import Sequence

    from bench.simulation import SearchRecord

COLUMNS = {
    "p50_ms": "{:.1f}",
    "p99_ms": "{:.1f}",
    "p99.9_ms": "{:.1f}",
    "in_time": "{:.2%}",
    "coverage_mean": "{:.2%}",
    "coverage_low": "{:.0%}",
    "full": "{:.2%}",
    "extra_load": "{:+.2%}",
    "refused": "{:.2%}",
    "refused_with_time": "{:.0%}",
    "wasted": "{:.2%}",
    "useful_per_s": "{:.0f}",
}


@dataclass
class Sample:
    """Records and counters of one or more runs.

    :param span_ms: total time in which the searches were sent.
    """

    records: list[SearchRecord] = field(default_factory=list)
    counters: Counter[str] = field(default_factory=Counter)
    span_ms: float = 0.0

    def add(self, other: Sample) -> None:
        """Add the records and counters of another run."""
        self.records += other.records
        self.counters += other.counters
        self.span_ms += other.span_ms


def quantile(ordered: Sequence[float], share: float) -> float:
    """Return the nearest-rank quantile of sorted values, or NaN if there are none."""
    if not ordered:
        return math.nan
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)]


def _share(part: float, whole: float) -> float:
    return part / whole if whole else math.nan


def figures(sample: Sample) -> dict[str, float]:
    """Return the figures of a sample; response times are of answered searches only.

    ``useful_per_s`` is the rate of answers within the deadline, each weighted by its coverage.
    """
    answered = [item for item in sample.records if item.took_ms > 0 and not item.refusal]
    refused = [item for item in sample.records if item.refusal]
    times = sorted(item.took_ms for item in answered)
    coverages = [item.coverage for item in answered]
    in_time = [item for item in answered if item.took_ms <= DEADLINE_MS + 1e-6]
    counters = sample.counters
    return {
        "asked": len(sample.records),
        "p50_ms": quantile(times, 0.5),
        "p99_ms": quantile(times, 0.99),
        "p99.9_ms": quantile(times, 0.999),
        "in_time": _share(len(in_time), len(sample.records)),
        "coverage_mean": _share(sum(coverages), len(coverages)),
        "coverage_low": min(coverages, default=math.nan),
        "full": _share(sum(item == 1.0 for item in coverages), len(coverages)),
        "extra_load": _share(counters["sent"], counters["needed"]) - 1,
        "refused": _share(len(refused), len(sample.records)),
        "refused_with_time": _share(
            sum(item.retry_after_ms is not None for item in refused), len(refused)
        ),
        "wasted": _share(counters["run"] - counters["merged"], counters["run"]),
        "useful_per_s": _share(sum(item.coverage for item in in_time) * 1000, sample.span_ms),
    }


def table(rows: Sequence[dict[str, Any]]) -> str:
    """Return the rows as a text table with a header."""
    header = ["deployment/scenario", "policy", *COLUMNS]
    body = [
        [row["run"], row["policy"], *(_format_cell(row, name) for name in COLUMNS)] for row in rows
    ]
    widths = [max(len(line[i]) for line in [header, *body]) for i in range(len(header))]
    lines = [
        "  ".join(cell.rjust(width) for cell, width in zip(line, widths, strict=True))
        for line in [header, *body]
    ]
    return "\n".join(lines)


def _format_cell(row: dict[str, Any], name: str) -> str:
    value = row[name]
    return "-" if math.isnan(value) else COLUMNS[name].format(value)
