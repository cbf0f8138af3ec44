"""Tests of the concurrency limit per server."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from tests.harness import Harness
from turmerictiller.core import effects, events
from turmerictiller.core.events import FailureKind
from turmerictiller.core.servers.limits import (
    connection_share,
    on_accepted,
    on_shed,
    outstanding_limit,
)
from turmerictiller.core.state import Attempt


@given(st.lists(st.booleans(), max_size=60), st.integers(0, 40))
def test_limit_stays_between_one_and_the_share(sheds: list[bool], peers: int) -> None:
    """Guards against a server that is never called again, or gets more calls than the share."""
    harness = Harness()
    harness.start(services=1)
    harness.state.peers.live_count = 1 + peers
    server = harness.state.servers_by_id["jobs-0-s0"]
    share = connection_share(harness.state, server)
    assert 1 <= share <= max(1, 27 // (1 + peers))
    for is_shed in sheds:
        harness.state.now += 10
        if is_shed:
            on_shed(harness.state, server, Attempt(1, 1, "jobs-0", server.id, harness.state.now))
        else:
            on_accepted(harness.state, server)
        assert 1 <= outstanding_limit(harness.state, server) <= share


def test_sheds_of_calls_sent_together_lower_the_limit_once() -> None:
    """Guards against a limit that collapses to one after a single burst of overload."""
    harness = Harness()
    harness.start(services=1)
    server = harness.state.servers_by_id["jobs-0-s0"]
    before = outstanding_limit(harness.state, server)
    harness.advance(10)
    for _ in range(5):
        on_shed(harness.state, server, Attempt(1, 1, "jobs-0", server.id, harness.at - 5))
    assert outstanding_limit(harness.state, server) == before // 2
    for _ in range(10_000):
        on_accepted(harness.state, server)
    assert outstanding_limit(harness.state, server) == before


def test_shed_call_lowers_the_limit_of_its_server_only() -> None:
    """Guards against sheds without effect, and lowered limits of servers with capacity."""
    harness = Harness()
    harness.start(services=1)
    (attempt,) = harness.search(1)
    harness.advance(5)
    harness.send(events.AttemptFailed(harness.at, attempt.attempt_id, FailureKind.SHED))
    (retry,) = harness.pop_effects(effects.SendSearch)
    limits = {
        server.id: outstanding_limit(harness.state, server)
        for server in harness.state.servers_by_id.values()
    }
    assert limits[attempt.server_id] < limits[retry.server_id]
    assert not harness.state.servers_by_id[attempt.server_id].failures_in_row


def test_limit_recovers_after_a_long_overload_and_then_drops_at_the_next_shed() -> None:
    """Guards against a limit that drifts beyond its bounds and then reacts late."""
    harness = Harness()
    harness.start(services=1)
    server = harness.state.servers_by_id["jobs-0-s0"]
    share = connection_share(harness.state, server)
    for _ in range(50):
        harness.advance(10)
        on_shed(harness.state, server, Attempt(1, 1, "jobs-0", server.id, harness.at))
    assert outstanding_limit(harness.state, server) == 1
    on_accepted(harness.state, server)
    assert outstanding_limit(harness.state, server) == 1
    for _ in range(20):
        on_accepted(harness.state, server)
    assert outstanding_limit(harness.state, server) >= 2
    for _ in range(20_000):
        on_accepted(harness.state, server)
    harness.advance(10)
    on_shed(harness.state, server, Attempt(1, 1, "jobs-0", server.id, harness.at))
    assert outstanding_limit(harness.state, server) == share // 2


def test_lowered_limit_follows_a_share_that_shrinks() -> None:
    """Guards against a limit that was computed for fewer instances."""
    harness = Harness()
    harness.start(services=1)
    server = harness.state.servers_by_id["jobs-0-s0"]
    on_shed(harness.state, server, Attempt(1, 1, "jobs-0", server.id, harness.at))
    assert outstanding_limit(harness.state, server) > 5
    harness.state.peers.live_count = 21
    assert outstanding_limit(harness.state, server) == 1
