"""Tests of hedged calls."""

from __future__ import annotations

from tests.harness import Harness
from turmerictiller.core import effects, events
from turmerictiller.core.searches.hedging import SCARCE_FACTOR, SCARCE_TOKENS
from turmerictiller.core.servers.budgets import MAX_TOKENS
from turmerictiller.core.servers.routing import observe_latency
from turmerictiller.core.state import ServiceState


def warmed(services: int = 1, tokens: float = 5.0) -> Harness:
    """Return an instance that knows latencies of about 10 ms and has hedge tokens."""
    harness = Harness()
    harness.start(services=services)
    for server in harness.state.servers_by_id.values():
        for _ in range(20):
            observe_latency(harness.state, server, 10.0)
    for service in harness.state.services_by_name.values():
        service.hedge_tokens = tokens
    return harness


def service_of(harness: Harness) -> ServiceState:
    return harness.state.services_by_name["jobs-0"]


def test_late_part_is_hedged_once_at_another_server_and_the_loser_is_cancelled() -> None:
    """Guards against a straggler that decides the answer time, and against calls left running."""
    harness = warmed()
    (first,) = harness.search(1)
    harness.advance(100)
    (hedge,) = harness.pop_effects(effects.SendSearch)
    assert hedge.server_id != first.server_id
    assert hedge.budget_ms < first.budget_ms - 10
    harness.answer(hedge)
    assert [item.attempt_id for item in harness.pop_effects(effects.CancelAttempt)] == [
        first.attempt_id
    ]
    assert len(harness.pop_effects(effects.ReplySearch)) == 1
    assert not harness.state.attempts_by_id


def test_answered_part_is_not_hedged() -> None:
    """Guards against extra load that no answer waits for."""
    harness = warmed()
    (first,) = harness.search(1)
    harness.advance(8)
    harness.answer(first)
    harness.advance(400)
    assert harness.pop_effects(effects.SendSearch) == []


def test_hedges_end_with_the_tokens_of_the_service() -> None:
    """Guards against hedges that add to a general slowdown."""
    harness = warmed(tokens=0.0)
    sent = 0
    for call_id in range(200):
        sent += len(harness.search(call_id))
        harness.advance(499)
        sent += len(harness.pop_effects(effects.SendSearch))
        harness.advance(2)
    assert 200 < sent <= 200 * (1 + harness.settings.hedge_share)


def test_scarce_tokens_are_kept_for_calls_that_are_very_late() -> None:
    """Guards against the last tokens spent on calls that are about to be answered."""
    harness = warmed(tokens=SCARCE_TOKENS - 1)
    typical = service_of(harness).unqueued_times.quantile(0.5)
    harness.search(1)
    harness.advance(SCARCE_FACTOR * typical - 2)
    assert harness.pop_effects(effects.SendSearch) == []
    harness.advance(typical)
    assert len(harness.pop_effects(effects.SendSearch)) == 1


def test_part_waits_while_most_parts_are_missing() -> None:
    """Guards against hedging every part of a search when something common is slow."""
    harness = warmed(services=10)
    attempts = harness.search(1)
    harness.advance(100)
    assert harness.pop_effects(effects.SendSearch) == []
    for attempt in attempts[1:]:
        harness.answer(attempt)
    harness.advance(10)
    (hedge,) = harness.pop_effects(effects.SendSearch)
    assert hedge.service == attempts[0].service


def test_probe_is_hedged_early_with_a_token_taken_before() -> None:
    """Guards against searches that pay for finding out whether a server has recovered."""
    harness = warmed(tokens=1.0)
    for _ in range(3):
        service_of(harness).unqueued_times.add(200.0)
    slow = harness.state.servers_by_id["jobs-0-s0"]
    slow.ejected, slow.probe_ms, slow.ejected_until = True, 200.0, 0.0
    (probe,) = harness.search(1)
    assert probe.server_id == slow.id
    assert service_of(harness).hedge_tokens < 1
    harness.advance(15)
    (hedge,) = harness.pop_effects(effects.SendSearch)
    assert hedge.server_id != slow.id


def test_no_probe_without_a_token_for_its_hedge() -> None:
    """Guards against searches that are sent to a slow server and left there."""
    harness = warmed(tokens=0.0)
    slow = harness.state.servers_by_id["jobs-0-s0"]
    slow.ejected, slow.probe_ms, slow.ejected_until = True, 200.0, 0.0
    (attempt,) = harness.search(1)
    assert attempt.server_id != slow.id


def test_hedge_without_another_server_costs_no_token() -> None:
    """Guards against a budget that is used up while a service has one server left."""
    harness = warmed(tokens=5.0)
    for server in list(harness.state.servers_by_id.values())[1:]:
        server.reachable = False
    harness.search(1)
    harness.advance(100)
    assert harness.pop_effects(effects.SendSearch) == []
    assert service_of(harness).hedge_tokens >= 5.0


def test_budget_of_a_quiet_time_is_bounded() -> None:
    """Guards against a burst of hedges that were saved up over hours."""
    harness = warmed(tokens=MAX_TOKENS)
    (attempt,) = harness.search(1)
    harness.answer(attempt)
    assert service_of(harness).hedge_tokens == MAX_TOKENS


def test_retry_is_not_hedged_by_the_timer_of_the_call_before() -> None:
    """Guards against a hedge that is sent right after a retry."""
    harness = warmed()
    (first,) = harness.search(1)
    harness.advance(10)
    kind = events.FailureKind.UNSENT
    harness.send(events.AttemptFailed(harness.at, first.attempt_id, kind))
    assert len(harness.pop_effects(effects.SendSearch)) == 1
    harness.advance(8)
    assert harness.pop_effects(effects.SendSearch) == []


def test_no_hedge_when_its_answer_would_be_too_late() -> None:
    """Guards against hedges that can only add load."""
    harness = warmed()
    assert len(harness.search(1, deadline_ms=11.0)) == 1
    harness.advance(20)
    assert harness.pop_effects(effects.SendSearch) == []


def test_hedge_prefers_another_failure_domain() -> None:
    """Guards against a hedge that shares the fault of the first call's domain."""
    for seed in range(1, 10):
        harness = Harness(seed=seed)
        harness.start(services=1, servers=4)  # the first and the last share a domain
        for server in harness.state.servers_by_id.values():
            for _ in range(20):
                observe_latency(harness.state, server, 10.0)
        service_of(harness).hedge_tokens = 5.0
        (first,) = harness.search(1)
        harness.advance(100)
        (hedge,) = harness.pop_effects(effects.SendSearch)
        servers = harness.state.servers_by_id
        assert servers[first.server_id].domain != servers[hedge.server_id].domain


def test_times_under_a_queue_do_not_delay_hedges_after_it() -> None:
    """Guards against an overload that switches hedging off for seconds after its end."""
    harness = warmed()
    server = harness.state.servers_by_id["jobs-0-s0"]
    service_of(harness).waiting.append((0, 1.0, 1))
    for _ in range(100):
        observe_latency(harness.state, server, 300.0)
    assert service_of(harness).unqueued_times.quantile(0.99) < 20
    assert service_of(harness).times.quantile(0.99) > 200
