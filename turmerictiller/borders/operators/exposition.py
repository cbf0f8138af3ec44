"""Metrics in the Prometheus text format, version 0.0.4."""

from __future__ import annotations

import os
import resource
import time
from typing import TYPE_CHECKING

from turmerictiller import __version__
from turmerictiller.core.servers.limits import live_instances
from turmerictiller.util.prometheus import counter_family, metric_family, summaries

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from turmerictiller.borders.operators.metrics import Metrics
    from turmerictiller.core.state import State
    from turmerictiller.recording.trace import Trace
    from turmerictiller.util.prometheus import Samples


def exposition(
    state: State, metrics: Metrics, trace: Trace, caller_counters: Mapping[str, int]
) -> Iterator[str]:
    """Yield the metrics in chunks of one family or series, so that the server can pause."""
    settings = state.settings
    info = {
        "version": __version__,
        "instance": settings.instance_id,
        "failure_domain": settings.failure_domain,
        "incarnation": settings.incarnation,
    }
    yield metric_family("info", "gauge", "Identity of the process.", [({}, 1.0)], info)
    yield counter_family("counter_total", "Counters of the state, by name.", state.counters)
    yield counter_family(
        "caller_counter_total", "Counters of the callers' server.", caller_counters
    )
    for name, help_text, samples in _gauge_families(state, trace):
        yield metric_family(name, "gauge", help_text, samples)
    for name, help_text, value in _process_counters():
        yield metric_family(name, "counter", help_text, [({}, value)])
    answers, attempts = metrics.answers_by_front, metrics.attempts_by_service
    yield from summaries("answer_seconds", "Time to answer a search.", "front", answers)
    yield from summaries("attempt_seconds", "Latency of upstream calls.", "service", attempts)


def _gauge_families(state: State, trace: Trace) -> Iterator[tuple[str, str, Samples]]:
    servers = list(state.servers_by_id.values())
    yield "note_number", "Release note in force.", [({}, state.note.number if state.note else 0)]
    yield "searches_in_flight", "Searches in flight.", [({}, len(state.searches_by_id))]
    yield "attempts_in_flight", "Upstream calls in flight.", [({}, len(state.attempts_by_id))]
    yield "timers", "Timers that are set.", [({}, len(state.timers))]
    yield "live_instances", "Entry instances believed live.", [({}, live_instances(state))]
    yield (
        "servers",
        "Upstream servers by what is known of them.",
        [
            ({"state": "all"}, len(servers)),
            ({"state": "unreachable"}, sum(not server.reachable for server in servers)),
            ({"state": "draining"}, sum(server.draining for server in servers)),
        ],
    )
    recorded_events = sum(len(segment.lines) for segment in trace.segments)
    yield "trace_events", "Events that can be replayed.", [({}, recorded_events)]
    yield "trace_lost_events", "Events that were not recorded.", [({}, trace.lost_events)]
    yield "resident_bytes", "Memory of the process.", [({}, _resident_bytes())]


def _process_counters() -> Iterator[tuple[str, str, float]]:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    yield "cpu_seconds_total", "Processor time of the process.", time.process_time()
    yield "switches_total", "Involuntary context switches.", float(usage.ru_nivcsw)


def _resident_bytes() -> float:
    try:
        with open("/proc/self/statm", encoding="ascii") as file:
            return float(int(file.read().split()[1]) * os.sysconf("SC_PAGESIZE"))
    except (OSError, ValueError, IndexError):
        return 0.0
