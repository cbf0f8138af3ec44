"""Tests of admission control: queues, early refusal, fairness, priorities."""

from __future__ import annotations

from tests.harness import Harness
from turmerictiller.core import effects, events
from turmerictiller.core.fronts import Priority
from turmerictiller.core.searches.admission import predicted_wait_ms
from turmerictiller.errors import Ran, RefusalType

MARGIN_FOR_ONE_CALL = 0.04
LONG_DEADLINE_MS = 5_000.0


def harness_with_one_call_per_server(services: int = 1, **front: object) -> Harness:
    """Return an instance whose limit is one outstanding call at each of three servers."""
    harness = Harness(connection_margin=MARGIN_FOR_ONE_CALL)
    harness.start(services=services, **front)
    for service in harness.state.services_by_name.values():
        service.hedge_tokens = 0.0
        for _ in range(20):
            service.times.add(10.0)
    return harness


def send_unanswered_searches(
    harness: Harness, count: int = 3, **kwargs: object
) -> list[effects.SendSearch]:
    """Send searches, leave them unanswered, and return their attempts."""
    return [
        attempt
        for call_id in range(count)
        for attempt in harness.search(1_000 + call_id, deadline_ms=LONG_DEADLINE_MS, **kwargs)
    ]


def test_part_without_a_free_server_is_queued_and_sent_later() -> None:
    """Guards against lost coverage in a burst that the servers can absorb."""
    harness = harness_with_one_call_per_server()
    outstanding = send_unanswered_searches(harness)
    assert len(outstanding) == 3
    assert harness.search(1, deadline_ms=LONG_DEADLINE_MS) == []
    harness.advance(5)
    harness.answer(outstanding[0])
    (attempt,) = harness.pop_effects(effects.SendSearch)
    harness.pop_effects(effects.ReplySearch)
    harness.answer(attempt)
    (reply,) = harness.pop_effects(effects.ReplySearch)
    assert (reply.call_id, reply.coverage.share) == (1, 1.0)


def test_search_that_would_wait_too_long_is_refused_at_once() -> None:
    """Guards against searches held until near their deadline and then given up."""
    harness = harness_with_one_call_per_server()
    send_unanswered_searches(harness, 100)
    harness.search(1, deadline_ms=100.0)
    (reply,) = harness.pop_effects(effects.ReplyRefusal)
    assert reply.refusal.type is RefusalType.OVERLOADED
    assert reply.refusal.ran is Ran.NO
    wait_ms = predicted_wait_ms(harness.state, "jobs-0", Priority.INTERACTIVE)
    assert reply.refusal.retry_after_ms is not None
    assert int(wait_ms) <= reply.refusal.retry_after_ms <= 1.5 * wait_ms


def test_predicted_wait_follows_the_completion_rate() -> None:
    """Guards against a prediction from queue length and slots alone while the servers are slow."""
    waits_ms = []
    for answer_interval_ms in (10, 100):
        harness = harness_with_one_call_per_server()
        outstanding = send_unanswered_searches(harness, 30)
        for _ in range(15):
            harness.advance(answer_interval_ms)
            harness.answer(outstanding.pop(0))
            outstanding += harness.pop_effects(effects.SendSearch)
        waits_ms.append(predicted_wait_ms(harness.state, "jobs-0", Priority.INTERACTIVE))
    assert waits_ms[1] > 2 * waits_ms[0]


def test_queue_is_bounded() -> None:
    """Guards against memory that grows with demand."""
    harness = Harness(connection_margin=MARGIN_FOR_ONE_CALL, max_queue_per_service=5)
    harness.start(services=1)
    send_unanswered_searches(harness, 20)
    assert len(harness.state.services_by_name["jobs-0"].waiting) == 5


def test_entries_of_ended_searches_are_removed_from_a_full_queue() -> None:
    """Guards against a queue that remains full of ended searches."""
    harness = Harness(connection_margin=MARGIN_FOR_ONE_CALL, max_queue_per_service=5)
    harness.start(services=1)
    send_unanswered_searches(harness, 8)
    for call_id in (1_005, 1_006):
        harness.send(events.CallerGone(harness.at, call_id))
    harness.search(1, deadline_ms=LONG_DEADLINE_MS)
    harness.search(2, deadline_ms=LONG_DEADLINE_MS)
    waiting = harness.state.services_by_name["jobs-0"].waiting
    assert sorted(call_id for _, _, call_id in waiting) == [1, 2, 1_003, 1_004, 1_007]


def test_queued_part_that_cannot_be_answered_in_time_is_not_sent() -> None:
    """Guards against upstream work for answers after the deadline."""
    harness = harness_with_one_call_per_server()
    outstanding = send_unanswered_searches(harness)
    assert harness.search(1, deadline_ms=100.0) == []
    harness.advance(95)
    harness.answer(outstanding[0])
    assert harness.pop_effects(effects.SendSearch) == []
    assert [reply.call_id for reply in harness.pop_effects(effects.ReplyRefusal)] == [1]


def test_interactive_goes_before_batch() -> None:
    """Guards against batch searches that delay interactive ones."""
    harness = harness_with_one_call_per_server()
    outstanding = send_unanswered_searches(harness)
    harness.search(1, deadline_ms=LONG_DEADLINE_MS, priority="batch")
    harness.search(2, deadline_ms=LONG_DEADLINE_MS)
    harness.answer(outstanding[0])
    (attempt,) = harness.pop_effects(effects.SendSearch)
    assert harness.state.attempts_by_id[attempt.attempt_id].call_id == 2


def test_caller_over_its_fair_share_is_refused_before_others() -> None:
    """Guards against one caller that uses the whole capacity."""
    harness = harness_with_one_call_per_server()
    send_unanswered_searches(harness, 12, caller="busy")
    for call_id in range(4):
        harness.search(call_id, deadline_ms=LONG_DEADLINE_MS, caller=f"other-{call_id}")
    wait_ms = predicted_wait_ms(harness.state, "jobs-0", Priority.INTERACTIVE)
    # The predicted wait is between the limit of a caller over its fair share and the usual limit.
    deadline_ms = wait_ms / (0.75 * 0.15)
    harness.search(50, deadline_ms=deadline_ms, caller="busy")
    assert [reply.call_id for reply in harness.pop_effects(effects.ReplyRefusal)] == [50]
    harness.search(51, deadline_ms=deadline_ms, caller="other-1")
    assert harness.pop_effects(effects.ReplyRefusal) == []


def test_degrading_front_drops_parts_and_reports_them() -> None:
    """Guards against a refusal by a front that degrades, and against unreported missing parts."""
    harness = harness_with_one_call_per_server(services=2, overload="degrade", coverage_floor=0.5)
    first, *others = [
        item for item in send_unanswered_searches(harness, 24) if item.service == "jobs-0"
    ]
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
    harness = harness_with_one_call_per_server(services=2, overload="degrade", coverage_floor=0.9)
    send_unanswered_searches(harness, 24)
    harness.search(1, deadline_ms=100.0)
    (reply,) = harness.pop_effects(effects.ReplyRefusal)
    assert (reply.refusal.type, reply.refusal.ran) == (RefusalType.OVERLOADED, Ran.NO)
