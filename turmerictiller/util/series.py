"""Series of latencies with quantiles over the last one to two windows."""

from __future__ import annotations

from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

UNITS_PER_MS = 100
MAX_UNITS = 60_000 * UNITS_PER_MS  # longer times count as 60 s
SIGNIFICANT_DIGITS = 2
QUANTILES = (0.5, 0.9, 0.99, 0.999)


@dataclass
class Series:
    """Histograms, count and sum of the latencies under one name.

    :param previous: histogram of the previous window.
    :param current: histogram of the current window.
    :param count: number of values since the start of the process.
    :param sum_ms: sum of the values since the start of the process.
    """

    previous: HdrHistogram
    current: HdrHistogram
    count: int = 0
    sum_ms: float = 0.0

    def quantiles_ms(self) -> list[float]:
        """Return the quantiles over the last one to two windows; empty without values."""
        merged = _histogram()
        merged.add(self.previous)
        merged.add(self.current)
        if merged.get_total_count() == 0:
            return []
        percents = [quantile * 100 for quantile in QUANTILES]
        values = merged.get_percentile_to_value_dict(percents)
        return [values[percent] / UNITS_PER_MS for percent in percents]


def new_series() -> Series:
    """Return a series without values."""
    return Series(_histogram(), _histogram())


def record(series: Series, ms: float) -> None:
    """Record one latency in a series."""
    series.count += 1
    series.sum_ms += ms
    series.current.record_value(min(max(int(ms * UNITS_PER_MS), 1), MAX_UNITS))


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_UNITS, SIGNIFICANT_DIGITS)
