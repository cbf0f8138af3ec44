"""Tests of retries."""

from __future__ import annotations

import pytest

from tests.harness import Harness
from turmerictiller.core import effects, events
from turmerictiller.core.events import FailureKind
from turmerictiller.errors import RefusalType


def fail(harness: Harness, attempt: effects.SendSearch, kind: FailureKind) -> None:
    harness.send(events.AttemptFailed(harness.at, attempt.attempt_id, kind))


def test_retries_of_work_that_may_have_run_are_budgeted() -> None:
    """Guards against retries that multiply the load while every call fails."""
    harness = Harness()
    harness.start(services=1)
    sent = 0
    for call_id in range(100):
        attempts = harness.search(call_id)
        while attempts:
            sent += len(attempts)
            fail(harness, attempts[0], FailureKind.REJECTED)
            attempts = harness.pop_effects(effects.SendSearch)
    assert 100 < sent <= 100 * (1 + harness.settings.retry_share) + 4


def test_each_server_is_tried_at_most_once() -> None:
    """Guards against a search that loops between servers that reject it."""
    harness = Harness()
    harness.start(services=1)
    tried_server_ids = []
    attempts = harness.search(1)
    while attempts and len(tried_server_ids) < 10:
        tried_server_ids.append(attempts[0].server_id)
        fail(harness, attempts[0], FailureKind.UNSENT)
        attempts = harness.pop_effects(effects.SendSearch)
    assert sorted(tried_server_ids) == sorted(harness.state.servers_by_id)
    (reply,) = harness.pop_effects(effects.ReplyRefusal)
    assert reply.refusal.type is RefusalType.COVERAGE_BELOW_FLOOR


@pytest.mark.parametrize("kind", [FailureKind.UNSENT, FailureKind.SHED])
def test_call_that_did_not_run_is_retried_without_budget(kind: FailureKind) -> None:
    """Guards against lost coverage when a server stops while the retry budget is used up."""
    harness = Harness()
    harness.start(services=1)
    harness.state.services_by_name["jobs-0"].retry_tokens = 0.0
    (attempt,) = harness.search(1)
    fail(harness, attempt, kind)
    (retry,) = harness.pop_effects(effects.SendSearch)
    assert retry.server_id != attempt.server_id


def test_budget_sent_upstream_shrinks_and_expired_work_is_not_sent() -> None:
    """Guards against upstream work for answers after the deadline."""
    harness = Harness(return_margin_ms=5)
    harness.start(services=1)
    (attempt,) = harness.search(1, deadline_ms=100.0)
    assert attempt.budget_ms == 95.0
    harness.advance(60)
    fail(harness, attempt, FailureKind.UNSENT)
    (retry,) = harness.pop_effects(effects.SendSearch)
    assert retry.budget_ms == 35.0
    harness.advance(36)
    fail(harness, retry, FailureKind.UNSENT)
    assert harness.pop_effects(effects.SendSearch) == []
