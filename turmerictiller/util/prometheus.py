"""Metrics as text in the Prometheus format, version 0.0.4."""

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


def named(name: str, text: str, counters: Mapping[str, int]) -> str:
    """Return one counter family with a sample per name."""
    samples: Samples = [({"name": key}, value) for key, value in sorted(counters.items())]
    return family(name, "counter", text, samples)


def summaries(name: str, text: str, label: str, by_name: dict[str, Series]) -> Iterator[str]:
    """Yield summaries of times in seconds, one piece per series."""
    yield _head(name, "summary", text)
    for key, series in list(by_name.items()):
        lines = [
            _sample(name, {label: key, "quantile": f"{quantile:g}"}, value / 1000)
            for quantile, value in zip(QUANTILES, series.quantiles_ms(), strict=False)
        ]
        lines.append(_sample(f"{name}_sum", {label: key}, series.sum_ms / 1000))
        lines.append(_sample(f"{name}_count", {label: key}, series.count))
        yield "".join(lines)


def family(name: str, kind: str, text: str, samples: Samples, common: Labels | None = None) -> str:
    """Return one family with its samples."""
    lines = [_sample(name, {**(common or {}), **labels}, value) for labels, value in samples]
    return _head(name, kind, text) + "".join(lines)


def _head(name: str, kind: str, text: str) -> str:
    return f"# HELP {PREFIX}_{name} {text}\n# TYPE {PREFIX}_{name} {kind}\n"


def _sample(name: str, labels: Labels, value: float) -> str:
    inner = ",".join(f'{key}="{escape(item)}"' for key, item in labels.items())
    return f"{PREFIX}_{name}{'{' + inner + '}' if inner else ''} {value:.10g}\n"


def escape(value: str) -> str:
    """Return a label value with backslash, quote and line feed escaped."""
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
