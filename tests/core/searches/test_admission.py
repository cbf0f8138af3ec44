"""Tests of admission: queues, early refusal, fairness, priorities."""

from __future__ import annotations

from tests.harness import Harness
from turmerictiller.core import effects, events
from turmerictiller.core.fronts import Priority
from turmerictiller.core.searches.admission import predicted_wait_ms
from turmerictiller.errors import Ran, RefusalType

ONE_CALL_PER_SERVER = 0.04
LONG_MS = 5_000.0


def narrow(services: int = 1, **front: object) -> Harness:
    """Return an instance that may have one call outstanding at each of three servers."""
    harness = Harness(connection_margin=ONE_CALL_PER_SERVER)
    harness.start(services=services, **front)
    for service in harness.state.services_by_name.values():
        service.hedge_tokens = 0.0
        for _ in range(20):
            service.times.add(10.0)
    return harness


def fill(harness: Harness, count: int = 3, **kwargs: object) -> list[effects.SendSearch]:
    """Send searches that nobody answers, and return their attempts."""
    return [
        attempt
        for call_id in range(count)
        for attempt in harness.search(1_000 + call_id, deadline_ms=LONG_MS, **kwargs)
    ]


def test_part_without_a_free_server_waits_and_is_served() -> None:
    """Guards against lost coverage in a burst that servers could have answered."""
    harness = narrow()
    running = fill(harness)
    assert len(running) == 3
    assert harness.search(1, deadline_ms=LONG_MS) == []
    harness.advance(5)
    harness.answer(running[0])
    (attempt,) = harness.pop_effects(effects.SendSearch)
    harness.pop_effects(effects.ReplySearch)
    harness.answer(attempt)
    (reply,) = harness.pop_effects(effects.ReplySearch)
    assert (reply.call_id, reply.coverage.share) == (1, 1.0)


def test_search_that_would_wait_too_long_is_refused_at_once() -> None:
    """Guards against searches held until near their deadline and then given up."""
    harness = narrow()
    fill(harness, 100)
    harness.search(1, deadline_ms=100.0)
    (reply,) = harness.pop_effects(effects.ReplyRefusal)
    assert reply.refusal.type is RefusalType.OVERLOADED
    assert reply.refusal.ran is Ran.NO
    wait_ms = predicted_wait_ms(harness.state, "jobs-0", Priority.INTERACTIVE)
    assert reply.refusal.retry_after_ms is not None
    assert int(wait_ms) <= reply.refusal.retry_after_ms <= 1.5 * wait_ms


def test_predicted_wait_follows_the_own_completion_rate() -> None:
    """Guards against a prediction from sizes alone while the servers are slow."""
    waits = []
    for pause_ms in (10, 100):
        harness = narrow()
        running = fill(harness, 30)
        for _ in range(15):
            harness.advance(pause_ms)
            harness.answer(running.pop(0))
            running += harness.pop_effects(effects.SendSearch)
        waits.append(predicted_wait_ms(harness.state, "jobs-0", Priority.INTERACTIVE))
    assert waits[1] > 2 * waits[0]


def test_queue_is_bounded() -> None:
    """Guards against memory that grows with demand."""
    harness = Harness(connection_margin=ONE_CALL_PER_SERVER, max_queue_per_service=5)
    harness.start(services=1)
    fill(harness, 20)
    assert len(harness.state.services_by_name["jobs-0"].waiting) == 5


def test_entries_of_ended_searches_make_room() -> None:
    """Guards against a queue that stays full of searches that have ended."""
    harness = Harness(connection_margin=ONE_CALL_PER_SERVER, max_queue_per_service=5)
    harness.start(services=1)
    fill(harness, 8)
    for call_id in (1_005, 1_006):
        harness.send(events.CallerGone(harness.at, call_id))
    harness.search(1, deadline_ms=LONG_MS)
    harness.search(2, deadline_ms=LONG_MS)
    waiting = harness.state.services_by_name["jobs-0"].waiting
    assert sorted(call_id for _, _, call_id in waiting) == [1, 2, 1_003, 1_004, 1_007]


def test_waiting_part_that_can_not_be_answered_in_time_is_not_sent() -> None:
    """Guards against work for answers that come too late."""
    harness = narrow()
    running = fill(harness)
    assert harness.search(1, deadline_ms=100.0) == []
    harness.advance(95)
    harness.answer(running[0])
    assert harness.pop_effects(effects.SendSearch) == []
    assert [reply.call_id for reply in harness.pop_effects(effects.ReplyRefusal)] == [1]


def test_interactive_goes_before_batch() -> None:
    """Guards against a batch job that delays people who wait."""
    harness = narrow()
    running = fill(harness)
    harness.search(1, deadline_ms=LONG_MS, priority="batch")
    harness.search(2, deadline_ms=LONG_MS)
    harness.answer(running[0])
    (attempt,) = harness.pop_effects(effects.SendSearch)
    assert harness.state.attempts_by_id[attempt.attempt_id].call_id == 2


def test_busy_caller_is_refused_before_the_others() -> None:
    """Guards against one caller that takes the whole capacity."""
    harness = narrow()
    fill(harness, 12, caller="busy")
    for call_id in range(4):
        harness.search(call_id, deadline_ms=LONG_MS, caller=f"other-{call_id}")
    wait_ms = predicted_wait_ms(harness.state, "jobs-0", Priority.INTERACTIVE)
    # The wait is between the limit under pressure and the limit for everyone.
    deadline_ms = wait_ms / (0.75 * 0.15)
    harness.search(50, deadline_ms=deadline_ms, caller="busy")
    assert [reply.call_id for reply in harness.pop_effects(effects.ReplyRefusal)] == [50]
    harness.search(51, deadline_ms=deadline_ms, caller="other-1")
    assert harness.pop_effects(effects.ReplyRefusal) == []


def test_degrading_front_gives_up_parts_and_says_so() -> None:
    """Guards against a refusal where the note asks for lower coverage, and against hiding it."""
    harness = narrow(services=2, overload="degrade", coverage_floor=0.5)
    first, *others = [item for item in fill(harness, 24) if item.service == "jobs-0"]
    harness.answer(first)
    service = harness.state.services_by_name["jobs-0"]
    service.waiting.clear()
    harness.search(1, deadline_ms=100.0)
    assert harness.pop_effects(effects.ReplyRefusal) == []
    part = harness.state.searches_by_id[1].parts_by_service["jobs-1"]
    assert (part.resolved, part.missing_reason) == (True, "no_capacity")
    assert not harness.state.searches_by_id[1].parts_by_service["jobs-0"].resolved


def test_degrading_front_refuses_below_its_floor() -> None:
    """Guards against answers with less coverage than the front promises."""
    harness = narrow(services=2, overload="degrade", coverage_floor=0.9)
    fill(harness, 24)
    harness.search(1, deadline_ms=100.0)
    (reply,) = harness.pop_effects(effects.ReplyRefusal)
    assert (reply.refusal.type, reply.refusal.ran) == (RefusalType.OVERLOADED, Ran.NO)
