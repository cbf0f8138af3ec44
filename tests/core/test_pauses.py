"""Tests of process pause detection."""

from __future__ import annotations

from tests.harness import Harness
from turmerictiller.core import effects, events

PAUSE_MS = 5_000.0


def test_idle_instance_does_not_detect_a_pause() -> None:
    """Guards against idle time that is detected as a pause."""
    harness = Harness()
    harness.start()
    harness.advance(10 * PAUSE_MS)
    assert harness.state.counters["pauses"] == 0


def test_pause_is_not_charged_to_servers() -> None:
    """Guards against latency estimates that include the duration of a pause."""
    harness = Harness()
    harness.start()
    harness.advance(1_000)
    attempts = harness.search(1, deadline_ms=5_000.0)
    harness.at += PAUSE_MS - 1_000
    for attempt in attempts:
        harness.answer(attempt)
    assert harness.state.counters["pauses"] == 1
    assert all(server.samples == 0 for server in harness.state.servers_by_id.values())


def test_overdue_search_is_answered_at_once_after_a_pause() -> None:
    """Guards against a resumed process that continues work after its deadline."""
    harness = Harness()
    harness.start()
    first, _ = harness.search(1)
    harness.answer(first)
    harness.at += PAUSE_MS
    harness.send(events.Tick(harness.at))
    (reply,) = harness.pop_effects(effects.ReplySearch)
    assert reply.coverage.merged == 2
    assert harness.state.attempts_by_id == {}


def test_servers_are_polled_again_after_a_pause() -> None:
    """Guards against a resumed process that relies on stale server status."""
    harness = Harness()
    harness.start()
    harness.advance(500)
    harness.pop_effects(effects.PollHealth)
    harness.at += PAUSE_MS
    harness.send(events.Tick(harness.at))
    polled = {effect.server_id for effect in harness.pop_effects(effects.PollHealth)}
    assert polled == set(harness.state.servers_by_id)


def test_clock_that_goes_back_is_ignored() -> None:
    """Guards against timers and estimates that go backwards with the clock."""
    harness = Harness()
    harness.start()
    harness.advance(1_000)
    before = harness.state.now
    harness.send(events.Tick(before - 900))
    assert harness.state.now == before
