"""Tests of early answers: partial coverage before the deadline."""

from __future__ import annotations

from tests.harness import Harness
from turmerictiller.core import effects

SERVICES = 10


def harness_with_missing_parts(
    missing: int, floor: float = 0.5, median_ms: float = 10.0
) -> Harness:
    """Return an instance with a search that lacks some parts after 10 ms, without hedges."""
    harness = Harness()
    harness.start(services=SERVICES, servers=1, coverage_floor=floor)
    for service in harness.state.services_by_name.values():
        for _ in range(30):
            service.times.add(median_ms)
    attempts = harness.search(1, deadline_ms=3_000.0)
    harness.advance(10)
    for attempt in attempts[missing:]:
        harness.answer(attempt)
    return harness


def test_single_late_part_does_not_delay_the_answer_to_the_deadline() -> None:
    """Guards against answers that a stalled server delays, and missing parts without a reason."""
    harness = harness_with_missing_parts(missing=1)
    harness.advance(1_000)
    (reply,) = harness.pop_effects(effects.ReplySearch)
    assert 200 < reply.took_ms < 400
    assert reply.coverage.share == 0.9
    assert {item.reason for item in reply.coverage.missing} == {"not_waited_for"}
    assert len(harness.pop_effects(effects.CancelAttempt)) == 1


def test_more_missing_coverage_justifies_a_longer_wait() -> None:
    """Guards against a wait limit that ignores how much coverage is missing."""
    harness = harness_with_missing_parts(missing=4)
    harness.advance(600)
    assert harness.pop_effects(effects.ReplySearch) == []
    harness.advance(400)
    (reply,) = harness.pop_effects(effects.ReplySearch)
    assert reply.coverage.share == 0.6


def test_search_below_its_floor_waits_until_the_deadline() -> None:
    """Guards against a refusal below the coverage floor before the deadline."""
    harness = harness_with_missing_parts(missing=1, floor=0.95)
    harness.advance(2_900)
    assert harness.pop_effects(effects.ReplySearch) == []
    assert harness.pop_effects(effects.ReplyRefusal) == []


def test_call_within_the_usual_latency_of_its_service_is_not_late() -> None:
    """Guards against lost coverage at a service that is always slow."""
    harness = harness_with_missing_parts(missing=1, median_ms=800.0)
    harness.advance(1_500)
    assert harness.pop_effects(effects.ReplySearch) == []


def test_search_with_a_queued_part_is_not_answered_early() -> None:
    """Guards against parts dropped while the queue still makes progress."""
    harness = harness_with_missing_parts(missing=2)
    part = harness.state.searches_by_id[1].parts_by_service["jobs-1"]
    (attempt_id,) = part.attempt_ids
    part.attempt_ids.clear()
    harness.advance(1_500)
    assert harness.pop_effects(effects.ReplySearch) == []
    part.attempt_ids.append(attempt_id)
    harness.advance(100)
    assert len(harness.pop_effects(effects.ReplySearch)) == 1
