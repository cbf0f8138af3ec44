"""Serialization of metrics in the Prometheus text format, version 0.0.4."""

from __future__ import annotations

from typing import TYPE_CHECKING

from turmerictiller.util.series import QUANTILES

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from turmerictiller.util.series import Series

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
PREFIX = "turmerictiller"

Labels = dict[str, str]
Samples = list[tuple[Labels, float]]


def counter_family(name: str, help_text: str, counters: Mapping[str, int]) -> str:
    """Return a counter family with one sample per name."""
    samples: Samples = [({"name": key}, value) for key, value in sorted(counters.items())]
    return metric_family(name, "counter", help_text, samples)


def summaries(name: str, help_text: str, label: str, by_name: dict[str, Series]) -> Iterator[str]:
    """Yield a summary family of times in seconds, in one chunk per series."""
    yield _metadata_lines(name, "summary", help_text)
    for key, series in list(by_name.items()):
        lines = [
            _sample(name, {label: key, "quantile": f"{quantile:g}"}, value / 1000)
            for quantile, value in zip(QUANTILES, series.quantiles_ms(), strict=False)
        ]
        lines.append(_sample(f"{name}_sum", {label: key}, series.sum_ms / 1000))
        lines.append(_sample(f"{name}_count", {label: key}, series.count))
        yield "".join(lines)


def metric_family(
    name: str, kind: str, help_text: str, samples: Samples, common_labels: Labels | None = None
) -> str:
    """Return a metric family with its samples.

    :param kind: type of the metric, such as ``gauge``.
    :param common_labels: labels of all samples.
    """
    lines = [_sample(name, {**(common_labels or {}), **labels}, value) for labels, value in samples]
    return _metadata_lines(name, kind, help_text) + "".join(lines)


def _metadata_lines(name: str, kind: str, help_text: str) -> str:
    return f"# HELP {PREFIX}_{name} {help_text}\n# TYPE {PREFIX}_{name} {kind}\n"


def _sample(name: str, labels: Labels, value: float) -> str:
    inner = ",".join(f'{key}="{escape_label_value(item)}"' for key, item in labels.items())
    return f"{PREFIX}_{name}{'{' + inner + '}' if inner else ''} {value:.10g}\n"


def escape_label_value(value: str) -> str:
    """Return a label value with backslash, quote and line feed escaped."""
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
