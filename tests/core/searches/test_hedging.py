"""Tests of hedged requests."""

from __future__ import annotations

from tests.harness import Harness
from turmerictiller.core import effects, events
from turmerictiller.core.searches.hedging import RESERVED_TOKEN_AGE_FACTOR, TOKEN_RESERVE
from turmerictiller.core.servers.budgets import MAX_TOKENS
from turmerictiller.core.servers.server_selection import observe_latency
from turmerictiller.core.state import ServiceState


def warm_harness(services: int = 1, tokens: float = 5.0) -> Harness:
    """Return an instance with latency samples of 10 ms and some hedge tokens."""
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


def test_late_part_is_hedged_once_at_another_server_and_the_slower_call_is_cancelled() -> None:
    """Guards against a straggler that dominates the latency, and calls that are not cancelled."""
    harness = warm_harness()
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
    """Guards against hedges of parts that are already answered."""
    harness = warm_harness()
    (first,) = harness.search(1)
    harness.advance(8)
    harness.answer(first)
    harness.advance(400)
    assert harness.pop_effects(effects.SendSearch) == []


def test_hedges_stop_without_tokens_of_the_service() -> None:
    """Guards against hedges that amplify a general slowdown."""
    harness = warm_harness(tokens=0.0)
    sent = 0
    for call_id in range(200):
        sent += len(harness.search(call_id))
        harness.advance(499)
        sent += len(harness.pop_effects(effects.SendSearch))
        harness.advance(2)
    assert 200 < sent <= 200 * (1 + harness.settings.hedge_share)


def test_reserved_tokens_are_spent_only_on_very_late_calls() -> None:
    """Guards against the last tokens spent on calls that are only slightly late."""
    harness = warm_harness(tokens=TOKEN_RESERVE - 1)
    median_ms = service_of(harness).unqueued_times.quantile(0.5)
    harness.search(1)
    harness.advance(RESERVED_TOKEN_AGE_FACTOR * median_ms - 2)
    assert harness.pop_effects(effects.SendSearch) == []
    harness.advance(median_ms)
    assert len(harness.pop_effects(effects.SendSearch)) == 1


def test_part_is_not_hedged_while_most_parts_are_missing() -> None:
    """Guards against hedging every part of a search when a shared cause slows all of them."""
    harness = warm_harness(services=10)
    attempts = harness.search(1)
    harness.advance(100)
    assert harness.pop_effects(effects.SendSearch) == []
    for attempt in attempts[1:]:
        harness.answer(attempt)
    harness.advance(10)
    (hedge,) = harness.pop_effects(effects.SendSearch)
    assert hedge.service == attempts[0].service


def test_probe_is_hedged_early_with_a_prepaid_token() -> None:
    """Guards against searches that are delayed because they were used as a probe."""
    harness = warm_harness(tokens=1.0)
    for _ in range(3):
        service_of(harness).unqueued_times.add(200.0)
    ejected_server = harness.state.servers_by_id["jobs-0-s0"]
    ejected_server.ejected, ejected_server.probe_ms, ejected_server.ejected_until = True, 200.0, 0.0
    (probe,) = harness.search(1)
    assert probe.server_id == ejected_server.id
    assert service_of(harness).hedge_tokens < 1
    harness.advance(15)
    (hedge,) = harness.pop_effects(effects.SendSearch)
    assert hedge.server_id != ejected_server.id


def test_no_probe_without_a_token_for_its_hedge() -> None:
    """Guards against searches sent to an ejected server without a hedge."""
    harness = warm_harness(tokens=0.0)
    ejected_server = harness.state.servers_by_id["jobs-0-s0"]
    ejected_server.ejected, ejected_server.probe_ms, ejected_server.ejected_until = True, 200.0, 0.0
    (attempt,) = harness.search(1)
    assert attempt.server_id != ejected_server.id


def test_hedge_without_another_server_costs_no_token() -> None:
    """Guards against a budget that is drained while a service has a single reachable server."""
    harness = warm_harness(tokens=5.0)
    for server in list(harness.state.servers_by_id.values())[1:]:
        server.reachable = False
    harness.search(1)
    harness.advance(100)
    assert harness.pop_effects(effects.SendSearch) == []
    assert service_of(harness).hedge_tokens >= 5.0


def test_hedge_budget_is_capped() -> None:
    """Guards against a burst of hedges from tokens accumulated over hours."""
    harness = warm_harness(tokens=MAX_TOKENS)
    (attempt,) = harness.search(1)
    harness.answer(attempt)
    assert service_of(harness).hedge_tokens == MAX_TOKENS


def test_retry_is_not_hedged_by_the_timer_of_the_failed_call() -> None:
    """Guards against a hedge right after a retry."""
    harness = warm_harness()
    (first,) = harness.search(1)
    harness.advance(10)
    kind = events.FailureKind.UNSENT
    harness.send(events.AttemptFailed(harness.at, first.attempt_id, kind))
    assert len(harness.pop_effects(effects.SendSearch)) == 1
    harness.advance(8)
    assert harness.pop_effects(effects.SendSearch) == []


def test_no_hedge_when_its_answer_would_be_too_late() -> None:
    """Guards against hedges that add load without effect."""
    harness = warm_harness()
    assert len(harness.search(1, deadline_ms=11.0)) == 1
    harness.advance(20)
    assert harness.pop_effects(effects.SendSearch) == []


def test_hedge_prefers_another_failure_domain() -> None:
    """Guards against a hedge that fails with the failure domain of the first call."""
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


def test_latency_during_overload_does_not_delay_later_hedges() -> None:
    """Guards against an overload that disables hedging for seconds after its end."""
    harness = warm_harness()
    server = harness.state.servers_by_id["jobs-0-s0"]
    service_of(harness).waiting.append((0, 1.0, 1))
    for _ in range(100):
        observe_latency(harness.state, server, 300.0)
    assert service_of(harness).unqueued_times.quantile(0.99) < 20
    assert service_of(harness).times.quantile(0.99) > 200
