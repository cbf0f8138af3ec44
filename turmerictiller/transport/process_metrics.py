"""Metrics of the forwarding process in the Prometheus text format."""

from __future__ import annotations

import resource
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from turmerictiller import __version__
from turmerictiller.util.prometheus import counter_family, metric_family, summaries
from turmerictiller.util.series import Series, new_series, record

if TYPE_CHECKING:
    from turmerictiller.forwarding.state import State
    from turmerictiller.transport.decision_log import DecisionLog


@dataclass
class ProcessMetrics:
    """Metrics of one process.

    :param shell_counters: counters of I/O events, kept outside the forwarding state.
    """

    state: State
    log: DecisionLog
    shell_counters: Counter[str]
    answer_times: Series = field(default_factory=new_series)

    def observe_answer(self, ms: float) -> None:
        """Record the time from a request to its answer or refusal, in milliseconds."""
        record(self.answer_times, ms)

    def text(self) -> str:
        """Return all metrics in the Prometheus text format."""
        state = self.state
        info = {
            "version": __version__,
            "instance": state.settings.instance_id,
            "failure_domain": state.settings.failure_domain,
        }
        configuration = state.configuration
        servers = state.servers_by_id.values()
        announcements = [
            server.announcement for server in servers if server.announcement is not None
        ]
        paused = sum(self.log.clock.now_ms() < item.paused_until for item in announcements)
        leaving = sum(item.leaving_at is not None for item in announcements)
        usage = resource.getrusage(resource.RUSAGE_SELF)
        families = [
            metric_family("info", "gauge", "Identity of the process.", [({}, 1.0)], info),
            counter_family(
                "counter_total",
                "Counters of the decisions, by name.",
                state.counters + self.shell_counters,
            ),
            metric_family(
                "configuration_version",
                "gauge",
                "Version in force.",
                [({}, configuration.version if configuration else 0)],
            ),
            metric_family(
                "requests_in_flight", "gauge", "Requests.", [({}, len(state.requests_by_call))]
            ),
            metric_family(
                "attempts_in_flight", "gauge", "Attempts.", [({}, len(state.attempts_by_id))]
            ),
            metric_family("servers", "gauge", "Known servers.", [({}, len(state.servers_by_id))]),
            metric_family(
                "servers_paused", "gauge", "Servers that want no requests now.", [({}, paused)]
            ),
            metric_family("servers_leaving", "gauge", "Servers that said so.", [({}, leaving)]),
            metric_family(
                "log_lines_dropped_total", "counter", "Log lines.", [({}, self.log.dropped_total)]
            ),
            metric_family(
                "cpu_seconds_total", "counter", "Processor time.", [({}, time.process_time())]
            ),
            metric_family(
                "resident_bytes_max", "gauge", "Peak memory.", [({}, usage.ru_maxrss * 1024.0)]
            ),
            *summaries("answer_seconds", "Time to answer.", "route", {"all": self.answer_times}),
        ]
        return "".join(families)
