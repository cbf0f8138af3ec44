"""Tests of the process lifecycle, in virtual time."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from tests.harness import Harness, first_note, shard_map, snapshot
from turmerictiller.borders.operators.state_dump import health
from turmerictiller.core import effects, events
from turmerictiller.errors import RefusalType
from turmerictiller.phases import ProcessPhase

DRAIN_NOTICE_MS = 300
QUIET_MS = 200
LIMIT_MS = 2_000


def _harness() -> Harness:
    harness = Harness(
        drain_notice_ms=DRAIN_NOTICE_MS,
        quiet_close_ms=QUIET_MS,
        shutdown_limit_ms=LIMIT_MS,
        max_deadline_ms=1_000,
    )
    harness.start(deadline_max_ms=1_000)
    return harness


def _shut_down(harness: Harness) -> None:
    harness.send(events.ShutdownRequested(harness.at))


def _refusals(harness: Harness) -> list[RefusalType]:
    return [reply.refusal.type for reply in harness.pop_effects(effects.ReplyRefusal)]


def test_calls_are_served_by_phase() -> None:
    """Guards against refusals during the drain notice, and new tickets that outlive their owner."""
    harness = _harness()
    assert health(harness.state)["ready"]
    _shut_down(harness)
    assert health(harness.state)["alive"]
    assert not health(harness.state)["ready"]
    harness.advance(DRAIN_NOTICE_MS - 1)
    for attempt in harness.search(1):
        harness.answer(attempt)
    assert len(harness.pop_effects(effects.ReplySearch)) == 1
    assert harness.pop_effects(effects.CloseListeners) == []
    harness.send(events.TicketRequested(harness.at, 2, "booking"))
    assert _refusals(harness) == [RefusalType.SHUTTING_DOWN]
    run = events.RunArrived(harness.at, 3, "booking", "t", "pickup", {})
    harness.send(run)
    assert RefusalType.SHUTTING_DOWN not in _refusals(harness)
    harness.advance(1)
    harness.send(run)
    assert _refusals(harness) == [RefusalType.SHUTTING_DOWN]


def test_instance_without_a_shard_map_is_not_ready() -> None:
    """Guards against callers routed to an instance that still refuses every search."""
    harness = Harness()
    harness.send(events.NoteSeen(harness.at, "platform", first_note()))
    shards = shard_map()
    name = snapshot(1, shards)
    for server_id in harness.state.servers_by_id:
        status = events.UpstreamStatus(f"i-{server_id}", False, (name,))
        harness.send(events.HealthReported(harness.at, server_id, status))
    assert harness.search(1) == []
    assert not health(harness.state)["ready"]
    harness.send(events.ShardMapSeen(harness.at, "jobs-0-s0", name, shards))
    assert health(harness.state)["ready"]
    assert harness.search(2)


def test_listeners_stay_open_until_calls_have_ended_for_a_quiet_period() -> None:
    """Guards against a listener that closes during a search or immediately after it."""
    harness = _harness()
    _shut_down(harness)
    harness.advance(DRAIN_NOTICE_MS - 1)
    attempts = harness.search(1, deadline_ms=900.0)
    harness.advance(QUIET_MS * 2)
    assert harness.pop_effects(effects.CloseListeners) == []
    for attempt in attempts:
        harness.answer(attempt)
    harness.advance(100)
    assert len(harness.pop_effects(effects.CloseListeners)) == 1
    assert harness.pop_effects(effects.Stop) == []
    harness.send(events.CallersLeft(harness.at))
    assert len(harness.pop_effects(effects.Stop)) == 1


def test_search_that_would_outlast_the_shutdown_is_refused() -> None:
    """Guards against a search that the end of the process aborts."""
    harness = _harness()
    _shut_down(harness)
    harness.advance(LIMIT_MS - 400)
    assert harness.search(1, deadline_ms=401.0) == []
    assert _refusals(harness) == [RefusalType.SHUTTING_DOWN]
    assert len(harness.search(2, deadline_ms=300.0)) == 2


NAMES = st.sampled_from(["shutdown", "callers_left", "search"])
STEPS = st.lists(NAMES | st.integers(1, 700), max_size=25)


@given(STEPS)
def test_shutdown_phases_only_advance_and_end_once_in_time(steps: list[str | int]) -> None:
    """Guards against a second signal that restarts, delays or repeats the shutdown."""
    harness = _harness()
    order = list(ProcessPhase)
    requested_at = None
    phase = harness.state.lifecycle.phase
    for call_id, step in enumerate(["shutdown", *steps, "shutdown"]):
        if step == "shutdown":
            requested_at = harness.at if requested_at is None else requested_at
            _shut_down(harness)
        elif step == "callers_left" and harness.state.lifecycle.listeners_closed:
            harness.send(events.CallersLeft(harness.at))
        elif step == "search":
            harness.search(call_id, deadline_ms=100.0)
        elif isinstance(step, int):
            harness.advance(step)
        assert order.index(harness.state.lifecycle.phase) >= order.index(phase)
        phase = harness.state.lifecycle.phase
        assert requested_at is not None
        assert harness.state.lifecycle.ends_at == requested_at + LIMIT_MS
    harness.advance(max(0.0, requested_at + LIMIT_MS - harness.at))
    assert harness.state.lifecycle.phase is ProcessPhase.STOPPED
    assert len(harness.pop_effects(effects.Stop)) == 1
    assert len(harness.pop_effects(effects.CloseListeners)) == 1
    assert not harness.state.searches_by_id
