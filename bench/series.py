"""One cost at several sizes, and a fitted line."""

from __future__ import annotations

import gc
import json
import tracemalloc
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable

OUTPUT = Path("build/slopes.json")


@dataclass(frozen=True, slots=True)
class Series:
    """One cost at several sizes.

    :param per: what a size counts, such as ``service``.
    """

    name: str
    unit: str
    per: str
    values_by_size: dict[int, float]

    def line(self) -> tuple[float, float]:
        """Return intercept and slope of the least-squares line."""
        sizes = list(self.values_by_size)
        values = list(self.values_by_size.values())
        mean_size = sum(sizes) / len(sizes)
        mean_value = sum(values) / len(values)
        numerator = sum(
            (x - mean_size) * (y - mean_value) for x, y in zip(sizes, values, strict=True)
        )
        denominator = sum((x - mean_size) ** 2 for x in sizes)
        slope = numerator / denominator
        return mean_value - slope * mean_size, slope


def report(series: list[Series]) -> None:
    """Print the measured values and the fitted lines, and write them as JSON."""
    rows = []
    for item in series:
        intercept, slope = item.line()
        values = ", ".join(f"{size}: {value:,.1f}" for size, value in item.values_by_size.items())
        print(f"{item.name} [{item.unit}]: {values}")
        print(f"    line: {intercept:,.2f} + {slope:,.4f} per {item.per}")
        rows.append(
            {
                "name": item.name,
                "unit": item.unit,
                "per": item.per,
                "values": item.values_by_size,
                "intercept": intercept,
                "slope": slope,
            }
        )
    OUTPUT.parent.mkdir(exist_ok=True)
    OUTPUT.write_text(json.dumps(rows, indent=2))


def traced_bytes(build: Callable[[int], Any], size: int) -> float:
    """Return the bytes that are allocated by ``build(size)`` and stay in use."""
    gc.collect()
    tracemalloc.start()
    built = build(size)
    gc.collect()
    used_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del built
    return used_bytes
