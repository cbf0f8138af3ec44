"""Cost of the trace and of metrics: time per event with and without a trace, per checkpoint and
per recorded value.

Run it as ``python -m bench.record_cost``.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from hdrh.histogram import HdrHistogram

from tests.harness import Harness
from turmerictiller.core import effects
from turmerictiller.core.reducer import reduce
from turmerictiller.recording.codec import dumps
from turmerictiller.recording.trace import Trace, reduce_recorded
from turmerictiller.util.series import MAX_UNITS, SIGNIFICANT_DIGITS, Series, record

if TYPE_CHECKING:
    from turmerictiller.core.effects import Effect
    from turmerictiller.core.events import Event

SERVICES = 10
SEARCHES = 1_000
HITS_PER_SHARD = 5
RECORDS = 100_000


class _TimedHarness(Harness):
    """A harness that measures the total time and the number of events."""

    def __init__(self, max_trace_events: int) -> None:
        super().__init__(max_trace_events=max_trace_events)
        # A constant clock disables the rate limit of checkpoints. Events come faster here than
        # under any load, so the limit would make the trace drop some.
        self.trace = Trace(self.settings, lambda: 0.0)
        self.seconds = 0.0
        self.events = 0

    def send(self, event: Event) -> list[Effect]:
        before = time.perf_counter()
        new_effects = reduce_recorded(self.trace, self.state, event, reduce)
        self.seconds += time.perf_counter() - before
        self.events += 1
        self.effects += new_effects
        return new_effects


def _run(max_trace_events: int) -> _TimedHarness:
    harness = _TimedHarness(max_trace_events)
    harness.start(services=SERVICES)
    for call_id in range(SEARCHES):
        for attempt in harness.search(call_id):
            harness.answer(attempt, hits_per_shard=HITS_PER_SHARD)
        harness.pop_effects(effects.ReplySearch)
        harness.advance(1)
    return harness


def main() -> None:
    """Print the costs of the trace and of metrics."""
    untraced, recorded = _run(0), _run(5_000)
    for name, harness in (("plain", untraced), ("recorded", recorded)):
        print(f"{name}: {harness.seconds / harness.events * 1e6:.1f} us per event")
    print(
        f"{recorded.events} events, {recorded.trace.checkpoints} checkpoints, {recorded.trace.lost_events} lost"
    )
    size = sum(segment.size_bytes for segment in recorded.trace.segments)
    kept_events = sum(len(segment.lines) for segment in recorded.trace.segments)
    print(f"{kept_events} events kept in {size} bytes")
    before = time.perf_counter()
    checkpoint = dumps(recorded.state, share=True)
    print(f"checkpoint: {(time.perf_counter() - before) * 1e3:.2f} ms, {len(checkpoint)} bytes")
    _print_metrics()


def _print_metrics() -> None:
    series = Series(
        HdrHistogram(1, MAX_UNITS, SIGNIFICANT_DIGITS),
        HdrHistogram(1, MAX_UNITS, SIGNIFICANT_DIGITS),
    )
    before = time.perf_counter()
    for number in range(RECORDS):
        record(series, number % 997 / 7)
    print(f"record: {(time.perf_counter() - before) / RECORDS * 1e6:.2f} us")
    before = time.perf_counter()
    series.quantiles_ms()
    print(f"quantiles of one series: {(time.perf_counter() - before) * 1e3:.2f} ms")


if __name__ == "__main__":
    main()
