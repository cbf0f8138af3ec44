"""Tests of latency histograms and of the Prometheus text format."""

from __future__ import annotations

import re
from typing import Any

import pytest

from tests.harness import Harness
from turmerictiller.borders.operators.exposition import exposition
from turmerictiller.borders.operators.metrics import (
    OTHER,
    WINDOW_MS,
    Metrics,
    _series,
    observe_effects,
    observe_event,
)
from turmerictiller.core import effects, events
from turmerictiller.recording.trace import Trace
from turmerictiller.util.prometheus import escape_label_value
from turmerictiller.util.series import record

LABEL = r'[a-z_]+="(?:[^"\\\n]|\\["\\n])*"'
SAMPLE = re.compile(rf"turmerictiller_[a-z_]+(\{{{LABEL}(,{LABEL})*\}})? [-+.e0-9]+")


class MeasuredHarness(Harness):
    """Harness that passes its events through the metrics."""

    def __init__(self, **settings: Any) -> None:
        super().__init__(**settings)
        self.metrics = Metrics(self.settings)

    def send(self, event: events.Event) -> list[effects.Effect]:
        observe_event(self.metrics, self.state, event)
        new_effects = super().send(event)
        observe_effects(self.metrics, new_effects)
        return new_effects

    def text(self) -> str:
        return "".join(exposition(self.state, self.metrics, Trace(self.settings), {"faults": 1}))


def test_times_are_recorded_per_front_and_service() -> None:
    """Guards against a latency recorded under the wrong name or in the wrong unit."""
    harness = MeasuredHarness()
    harness.start()
    first, second = harness.search(1)
    harness.at += 20
    harness.answer(first)
    harness.at += 30
    harness.answer(second)
    text = harness.text()
    assert 'turmerictiller_answer_seconds_sum{front="booking"} 0.05\n' in text
    assert f'turmerictiller_attempt_seconds_sum{{service="{first.service}"}} 0.02\n' in text
    labels = f'service="{second.service}",quantile="0.99"'
    assert float(text.split(f"attempt_seconds{{{labels}}} ")[1].split()[0]) == pytest.approx(
        0.05, rel=0.01
    )
    assert harness.metrics.front_by_call == {}


def test_calls_without_a_reply_leave_no_entries() -> None:
    """Guards against entries that refused, abandoned or excess searches leave behind."""
    harness = MeasuredHarness(max_searches=3)
    harness.search(1)
    harness.start()
    for call_id in range(2, 9):
        harness.search(call_id)
        event = events.SearchArrived(harness.at, 100 + call_id, "booking", "x")
        observe_event(harness.metrics, harness.state, event)
    assert len(harness.metrics.front_by_call) == 3
    for call_id in [*range(2, 9), *range(102, 109)]:
        harness.send(events.CallerGone(harness.at, call_id))
    assert harness.metrics.front_by_call == {}


def test_number_of_histograms_is_limited() -> None:
    """Guards against memory use that grows with the number of names."""
    metrics = Metrics(Harness(max_histograms=5).settings)
    for number in range(20):
        record(_series(metrics, metrics.answers_by_front, f"f{number}"), 1.0)
        record(_series(metrics, metrics.attempts_by_service, f"s{number}"), 1.0)
    assert len(metrics.answers_by_front) + len(metrics.attempts_by_service) == 5
    assert metrics.answers_by_front[OTHER].count == 18


def test_quantiles_cover_only_the_last_windows() -> None:
    """Guards against quantiles in which old values hide a recent change."""
    harness = MeasuredHarness()
    series = _series(harness.metrics, harness.metrics.answers_by_front, "booking")
    record(series, 1e12)
    record(series, -1.0)
    assert series.quantiles_ms()[-1] == pytest.approx(60_000, rel=0.01)
    harness.send(events.Tick(WINDOW_MS))
    record(series, 5.0)
    assert series.quantiles_ms()[-1] == pytest.approx(60_000, rel=0.01)
    harness.send(events.Tick(2 * WINDOW_MS))
    assert series.quantiles_ms()[-1] == pytest.approx(5.0, rel=0.01)
    record(series, 7.0)
    harness.send(events.Tick(9 * WINDOW_MS))
    assert series.quantiles_ms() == []
    assert series.count == 4


def test_text_is_well_formed() -> None:
    """Guards against a malformed line that makes Prometheus reject the whole response."""
    harness = MeasuredHarness(failure_domain='a"b\\c\nd')
    harness.start()
    for attempt in harness.search(1):
        harness.answer(attempt)
    assert escape_label_value('a"b\\c\nd') == 'a\\"b\\\\c\\nd'
    declared_names = set()
    for line in harness.text().splitlines():
        if line.startswith("# TYPE"):
            assert line.split()[2] not in declared_names
            declared_names.add(line.split()[2])
        elif not line.startswith("# HELP"):
            assert SAMPLE.fullmatch(line), line
            name = re.sub(r"(_sum|_count)?[{ ].*", "", line)
            assert name in declared_names
    assert 'counter_total{name="searches.answered"} 1\n' in harness.text()
