"""Tests of the quarantine of requests that crash upstreams."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.harness import Harness
from turmerictiller.core import effects, events
from turmerictiller.core.servers import quarantine
from turmerictiller.errors import RefusalType

CRASHING = "crash me"


class CrashingFleet:
    """One instance with upstreams that crash on one query and answer all others."""

    def __init__(self, services: int = 3, crashing_services: set[str] | None = None) -> None:
        self.harness = Harness()
        self.harness.start(services=services)
        self.crashing_services = crashing_services
        self.lost_server_ids: list[str] = []
        self.call_id = 0

    def run(self, query: str) -> list[effects.Effect]:
        """Run one search in which the upstreams answer or crash, and return the replies."""
        self.call_id += 1
        self.harness.effects.clear()
        pending = self.harness.search(self.call_id, query=query)
        while pending:
            attempt = pending.pop(0)
            # A cancelled call has already been sent, so it still crashes its server.
            if self._crashes(attempt):
                self.lost_server_ids.append(attempt.server_id)
            if attempt.attempt_id in self.harness.state.attempts_by_id:
                self._answer_or_crash(attempt)
            pending += self.harness.pop_effects(effects.SendSearch)
        replies = (effects.ReplySearch, effects.ReplyRefusal)
        return [reply for kind in replies for reply in self.harness.pop_effects(kind)]

    def _crashes(self, attempt: effects.SendSearch) -> bool:
        if attempt.query != CRASHING:
            return False
        return self.crashing_services is None or attempt.service in self.crashing_services

    def _answer_or_crash(self, attempt: effects.SendSearch) -> None:
        if not self._crashes(attempt):
            self.harness.answer(attempt)
            return
        kind = events.FailureKind.LOST
        self.harness.send(events.AttemptFailed(self.harness.at, attempt.attempt_id, kind))


def test_crashing_request_is_quarantined_after_its_first_search() -> None:
    """Guards against a repeated request that crashes one server after another.

    The first scatter loses one server of each service, and one lost part is retried once.
    """
    fleet = CrashingFleet()
    (first,) = fleet.run(CRASHING)
    assert isinstance(first, effects.ReplyRefusal)
    assert first.refusal.type is RefusalType.QUARANTINED
    lost_count = len(fleet.lost_server_ids)
    assert lost_count <= 3 + 1
    for _ in range(20):
        fleet.harness.advance(100)
        (reply,) = fleet.run(CRASHING)
        assert isinstance(reply, effects.ReplyRefusal)
    assert len(fleet.lost_server_ids) == lost_count
    (other,) = fleet.run("velvet")
    assert isinstance(other, effects.ReplySearch)
    assert other.coverage.share == 1.0


def test_request_that_crashes_one_service_only_is_quarantined() -> None:
    """Guards against answers of other services that withdraw the blame."""
    fleet = CrashingFleet(crashing_services={"jobs-1"})
    for _ in range(20):
        fleet.run(CRASHING)
        fleet.harness.advance(200)
    assert len(fleet.lost_server_ids) == 2


def test_each_test_costs_one_server_and_doubles_the_quarantine() -> None:
    """Guards against a crashing request that runs freely after its first quarantine."""
    fleet = CrashingFleet()
    fleet.run(CRASHING)
    for _ in range(3_600):
        fleet.harness.advance(1_000)
        fleet.run(CRASHING)
    # Quarantines of 30, 60, ..., 1920 s end within the hour: at most 7 tests.
    assert len(fleet.lost_server_ids) <= (3 + 1) + 7


def test_harmless_request_is_released_after_one_test() -> None:
    """Guards against a long quarantine of a request whose servers failed for another reason."""
    fleet = CrashingFleet()
    fleet.run(CRASHING)
    fleet.crashing_services = set()
    fleet.harness.advance(quarantine.INITIAL_QUARANTINE_MS + 1)
    (reply,) = fleet.run(CRASHING)
    assert isinstance(reply, effects.ReplySearch)
    assert reply.coverage.share == 1.0
    assert fleet.harness.state.suspects_by_fingerprint == {}


def test_loss_with_many_running_requests_quarantines_none() -> None:
    """Guards against killed servers that cause the quarantine of all requests they were running."""
    harness = Harness()
    harness.start(services=1, servers=2)
    for number in range(1, 5):
        harness.search(number, query=f"query {number}")
    for server_id in ("jobs-0-s0", "jobs-0-s1"):
        attempt_ids = list(harness.state.servers_by_id[server_id].attempt_ids)
        assert len(attempt_ids) >= 2
        for attempt_id in attempt_ids:
            kind = events.FailureKind.LOST
            harness.send(events.AttemptFailed(harness.at, attempt_id, kind))
    assert harness.state.counters["attempts.sent"] > 4
    assert harness.state.counters["quarantine.imposed"] == 0


def test_search_on_two_servers_lost_together_is_answered_in_full() -> None:
    """Guards against a rack failure that quarantines a search or reduces its coverage."""
    harness = Harness()
    harness.start(services=3)
    first, second, third = harness.search(1)
    for attempt in (first, second):
        kind = events.FailureKind.LOST
        harness.send(events.AttemptFailed(harness.at, attempt.attempt_id, kind))
    harness.answer(third)
    (probe,) = harness.pop_effects(effects.SendSearch)
    assert probe.service == first.service
    harness.answer(probe)
    (released,) = harness.pop_effects(effects.SendSearch)
    assert released.service == second.service
    harness.answer(released)
    (reply,) = harness.pop_effects(effects.ReplySearch)
    assert reply.coverage.share == 1.0
    assert harness.state.counters["quarantine.imposed"] == 0
    assert harness.state.suspects_by_fingerprint == {}


def test_crashing_request_is_quarantined_at_its_first_scatter_under_load() -> None:
    """Guards against repeated scatters because other running requests share the blame."""
    fleet = CrashingFleet(services=8)
    harness = fleet.harness
    for number in range(100, 103):
        harness.search(number, query=f"query {number}")
    assert len(harness.state.attempts_by_id) == 3 * 8
    (reply,) = fleet.run(CRASHING)
    assert isinstance(reply, effects.ReplyRefusal)
    assert reply.refusal.type is RefusalType.QUARANTINED
    assert len(fleet.lost_server_ids) <= 8 + 1


def test_answer_withdraws_blame() -> None:
    """Guards against blame that accumulates over hours of unrelated losses."""
    harness = Harness()
    harness.start(services=1)
    for call_id in range(1, 6):
        harness.advance(1_000)
        (attempt,) = harness.search(call_id, query="velvet")
        harness.send(events.AttemptFailed(harness.at, attempt.attempt_id, events.FailureKind.LOST))
        (retry,) = harness.pop_effects(effects.SendSearch)
        harness.answer(retry)
    assert len(harness.pop_effects(effects.ReplySearch)) == 5


@given(st.lists(st.integers(0, 5_000), min_size=1, max_size=300))
def test_suspects_are_bounded(queries: list[int]) -> None:
    """Guards against a suspect table that grows without bound under hostile requests."""
    harness = Harness(max_suspects=10)
    harness.start(services=1, servers=3)
    for number, query in enumerate(queries):
        harness.advance(200)
        for attempt in harness.search(number + 1, query=f"query {query}"):
            kind = events.FailureKind.LOST
            harness.send(events.AttemptFailed(harness.at, attempt.attempt_id, kind))
        assert len(harness.state.suspects_by_fingerprint) <= 10


@pytest.mark.parametrize("remaining_ms", [-5.0, 0.0, 1e12])
def test_foreign_quarantine_is_bounded(remaining_ms: float) -> None:
    """Guards against a peer that quarantines a request forever."""
    harness = Harness()
    harness.start()
    quarantine.merge_quarantine(harness.state, "f", remaining_ms, 3)
    max_remaining_ms = quarantine.MAX_QUARANTINE_MS + quarantine.PEER_QUARANTINE_GRACE_MS
    assert (quarantine.remaining_quarantine_ms(harness.state, "f") or 0) <= max_remaining_ms
