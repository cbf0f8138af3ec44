"""Tests of servers that answer neither health polls nor calls."""

from __future__ import annotations

from tests.harness import Harness
from turmerictiller.core import effects, events


def test_unresponsive_server_with_outstanding_calls_is_marked_unreachable() -> None:
    """Guards against a partitioned failure domain that delays every search to its deadline."""
    harness = Harness()
    harness.start(services=1, servers=1)
    harness.search(1, deadline_ms=5_000.0)
    harness.advance(2_000)
    (server,) = harness.state.servers_by_id.values()
    assert server.attempt_ids
    harness.send(events.HealthFailed(harness.at, server.id))
    assert not server.reachable
    assert harness.search(2) == []
    (reply,) = harness.pop_effects(effects.ReplyRefusal)
    assert reply.call_id == 2


def test_server_that_answers_calls_stays_reachable_when_a_poll_fails() -> None:
    """Guards against a busy server that is marked unreachable after one failed poll."""
    harness = Harness()
    harness.start(services=1, servers=1)
    harness.advance(2_000)
    (attempt,) = harness.search(1)
    (server,) = harness.state.servers_by_id.values()
    status = events.UpstreamStatus(server.incarnation, False, server.snapshots)
    harness.answer(attempt, status=status)
    harness.send(events.HealthFailed(harness.at, server.id))
    assert server.reachable


def test_queue_of_an_unreachable_service_is_resolved() -> None:
    """Guards against refusals of all searches because of a queue without an available server."""
    harness = Harness(connection_margin=0.04)
    harness.start(services=2, servers=1)
    for call_id in range(1, 60):
        harness.search(call_id, deadline_ms=5_000.0)
    harness.advance(2_000)
    unreachable = harness.state.servers_by_id["jobs-0-s0"]
    harness.send(events.HealthFailed(harness.at, unreachable.id))
    assert not harness.state.services_by_name["jobs-0"].waiting
    part = harness.state.searches_by_id[50].parts_by_service["jobs-0"]
    assert (part.resolved, part.missing_reason) == (True, "unreachable")


def test_entries_of_ended_searches_do_not_count_as_a_queue() -> None:
    """Guards against refusals because of queued searches that ended while no server answered."""
    harness = Harness(connection_margin=0.04)
    harness.start(services=1, servers=1)
    for call_id in range(1, 100):
        harness.search(call_id, deadline_ms=3_000.0)
    for call_id in range(2, 100):
        harness.send(events.CallerGone(harness.at, call_id))
    harness.pop_effects(effects.ReplyRefusal)
    harness.search(200, deadline_ms=50.0)
    assert harness.pop_effects(effects.ReplyRefusal) == []
