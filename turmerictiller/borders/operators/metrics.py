"""Histograms of search and attempt latencies, recorded outside the reducer.

The shell passes every event to ``observe_event`` and its effects to ``observe_effects``. Each
series has one histogram of the previous window and one of the current window, so that quantiles
cover the last one to two minutes, while counts and sums are cumulative since the process start.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from turmerictiller.core.effects import ReplyRefusal, ReplySearch
from turmerictiller.core.events import AttemptAnswered, CallerGone, RunAnswered, SearchArrived
from turmerictiller.util.series import Series, new_series, record

if TYPE_CHECKING:
    from collections.abc import Sequence

    from turmerictiller.clock import Millis
    from turmerictiller.config import Settings
    from turmerictiller.core.effects import Effect
    from turmerictiller.core.events import Event
    from turmerictiller.core.state import State

WINDOW_MS = 60_000.0
OTHER = "other"  # name of the series for all names over the limit


@dataclass
class Metrics:
    """All histograms of a process.

    :param front_by_call: name of the front of each search in flight, by call id.
    """

    settings: Settings
    answers_by_front: dict[str, Series] = field(default_factory=dict)
    attempts_by_service: dict[str, Series] = field(default_factory=dict)
    front_by_call: dict[int, str] = field(default_factory=dict)
    window_started_at: Millis = 0.0


def observe_event(metrics: Metrics, state: State, event: Event) -> None:
    """Record the latency that an event reports; call it before the event is reduced."""
    if event.at - metrics.window_started_at >= WINDOW_MS:
        _start_window(metrics, event.at)
    match event:
        case AttemptAnswered() | RunAnswered():
            attempt = state.attempts_by_id.get(event.attempt_id)
            if attempt is not None:
                series = _series(metrics, metrics.attempts_by_service, attempt.service)
                record(series, event.at - attempt.sent_at)
        case SearchArrived():
            # A call whose event raised an error gets no effect, so its entry stays until it is the
            # oldest one and is evicted here.
            if len(metrics.front_by_call) >= metrics.settings.max_searches:
                del metrics.front_by_call[next(iter(metrics.front_by_call))]
            metrics.front_by_call[event.call_id] = event.front
        case CallerGone():
            metrics.front_by_call.pop(event.call_id, None)


def observe_effects(metrics: Metrics, effects: Sequence[Effect]) -> None:
    """Record the latencies of the searches that the effects of one event reply to."""
    for effect in effects:
        if isinstance(effect, ReplySearch):
            front = metrics.front_by_call.pop(effect.call_id, None)
            if front is not None:
                record(_series(metrics, metrics.answers_by_front, front), effect.took_ms)
        elif isinstance(effect, ReplyRefusal):
            metrics.front_by_call.pop(effect.call_id, None)


def _series(metrics: Metrics, by_name: dict[str, Series], name: str) -> Series:
    """Return the series of a name, or the shared one if the limit of histograms is reached."""
    series = by_name.get(name)
    if series is None:
        histogram_count = len(metrics.answers_by_front) + len(metrics.attempts_by_service)
        # Reserve two histograms for the shared series of answers and of attempts.
        if histogram_count >= metrics.settings.max_histograms - 2 and name != OTHER:
            return _series(metrics, by_name, OTHER)
        series = by_name[name] = new_series()
    return series


def _start_window(metrics: Metrics, at: Millis) -> None:
    follows_previous_window = at - metrics.window_started_at < 2 * WINDOW_MS
    metrics.window_started_at = at
    for by_name in (metrics.answers_by_front, metrics.attempts_by_service):
        for series in by_name.values():
            series.previous.reset()
            if follows_previous_window:
                series.previous, series.current = series.current, series.previous
            else:
                series.current.reset()
