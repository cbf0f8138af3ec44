"""Tests of the lifecycle of a search."""

from __future__ import annotations

from tests.harness import Harness
from turmerictiller.core import effects, events
from turmerictiller.errors import RefusalType


def test_search_merges_all_services_at_one_snapshot() -> None:
    """Guards against an answer that lacks a service or has another snapshot."""
    harness = Harness()
    snapshot = harness.start()
    for attempt in harness.search(1):
        assert attempt.snapshot == snapshot
        harness.answer(attempt)
    (reply,) = harness.pop_effects(effects.ReplySearch)
    assert reply.snapshot == snapshot
    assert (reply.coverage.merged, reply.coverage.total) == (4, 4)
    assert [hit.score for hit in reply.hits] == sorted(hit.score for hit in reply.hits)[::-1]


def test_search_without_note_is_refused() -> None:
    """Guards against an instance that serves before it has received a release note."""
    harness = Harness()
    assert harness.search(1) == []
    (reply,) = harness.pop_effects(effects.ReplyRefusal)
    assert reply.refusal.type is RefusalType.NO_NOTE


def test_search_is_answered_with_merged_parts_at_its_deadline() -> None:
    """Guards against a slow service that delays the whole answer."""
    harness = Harness()
    harness.start()
    first, second = harness.search(1)
    harness.answer(first)
    harness.advance(600)
    (reply,) = harness.pop_effects(effects.ReplySearch)
    assert (reply.coverage.merged, reply.coverage.total) == (2, 4)
    assert {shard.reason for shard in reply.coverage.missing} == {"timed_out"}
    harness.answer(second)
    assert harness.pop_effects(effects.ReplySearch) == []
    assert harness.state.counters["attempts.late"] == 1


def test_answer_of_another_snapshot_is_not_merged() -> None:
    """Guards against hits of two index versions in one answer."""
    harness = Harness()
    harness.start()
    first, second = harness.search(1)
    harness.answer(first, snapshot="2-000000000000")
    harness.answer(second)
    (retry,) = harness.pop_effects(effects.SendSearch)
    assert retry.service == first.service
    assert retry.server_id != first.server_id


def test_failed_attempt_is_retried_at_another_server() -> None:
    """Guards against coverage lost to one failed replica while others are available."""
    harness = Harness()
    harness.start()
    first, second = harness.search(1)
    kind = events.FailureKind.UNSENT
    harness.send(events.AttemptFailed(harness.at, first.attempt_id, kind))
    (retry,) = harness.pop_effects(effects.SendSearch)
    harness.answer(retry)
    harness.answer(second)
    (reply,) = harness.pop_effects(effects.ReplySearch)
    assert reply.coverage.share == 1.0
