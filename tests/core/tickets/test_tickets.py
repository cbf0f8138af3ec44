"""Example-based tests of outcomes and refusals of at-most-once requests."""

from __future__ import annotations

from typing import Any

import pytest

from tests.harness import Harness, first_note
from turmerictiller.core import effects, events
from turmerictiller.core.events import FailureKind
from turmerictiller.core.state import new_state
from turmerictiller.core.tickets.codec import ticket_rewriter
from turmerictiller.errors import Ran, RefusalType
from turmerictiller.recording.replay import replay
from turmerictiller.recording.trace import Trace, dump_trace, reduce_recorded

ACTION: dict[str, Any] = {"front": "booking", "action": "pickup", "body": {"job": 1}}


class Owner(Harness):
    """An instance that issues tickets and runs requests."""

    def __init__(self, **settings: Any) -> None:
        super().__init__(ticket_secret="s", **settings)
        self.start(servers=2)

    def ticket(self) -> str:
        self.send(events.TicketRequested(self.at, 1, "booking"))
        (reply,) = self.pop_effects(effects.ReplyTicket)
        return reply.ticket

    def run(self, call_id: int, ticket: str, **changes: Any) -> list[effects.SendRun]:
        event = events.RunArrived(self.at, call_id, ticket=ticket, **{**ACTION, **changes})
        self.send(event)
        return self.pop_effects(effects.SendRun)

    def forwarded(self, ticket: str, wire_id: str, **changes: Any) -> list[effects.SendRun]:
        values = {"forward_id": 1, "incarnation": "a1", "deadline_ms": 500.0, **ACTION, **changes}
        self.send(events.RunForwarded(self.at, ticket=ticket, wire_id=wire_id, **values))
        return self.pop_effects(effects.SendRun)

    def fail(self, sent: effects.SendRun, kind: FailureKind) -> list[effects.SendRun]:
        self.send(events.AttemptFailed(self.at, sent.attempt_id, kind))
        return self.pop_effects(effects.SendRun)

    def outcome(self) -> tuple[str, str, int | None]:
        (reply,) = self.pop_effects(effects.ReplyOutcome) + self.pop_effects(effects.AnswerForward)  # type: ignore
        return reply.outcome, reply.reason, reply.retry_after_ms

    def refusal(self) -> tuple[RefusalType, Ran]:
        (reply,) = self.pop_effects(effects.ReplyRefusal)
        return reply.refusal.type, reply.refusal.ran


def test_retry_gets_the_recorded_outcome_after_the_front_is_withdrawn() -> None:
    """Guards against a settled run that is not reported or runs again, and shared fingerprints."""
    owner = Owner()
    ticket = owner.ticket()
    (sent,) = owner.run(1, ticket)
    assert sent.service == "jobs-0"
    other_run = owner.run(9, owner.ticket(), body={"job": 2})[0]
    fingerprints = [
        owner.state.attempts_by_id[item.attempt_id].fingerprint for item in (sent, other_run)
    ]
    assert "" not in fingerprints
    assert fingerprints[0] != fingerprints[1]
    owner.send(events.CallerGone(owner.at, 1))
    owner.send(events.RunAnswered(owner.at, sent.attempt_id, {"number": 1}))
    owner.state.note = None
    assert owner.run(2, ticket) == []
    (reply,) = owner.pop_effects(effects.ReplyOutcome)
    assert (reply.call_id, reply.outcome, reply.answer) == (2, "done", {"number": 1})


@pytest.mark.parametrize(
    ("kind", "expected_outcome"),
    [
        (FailureKind.LOST, ("unknown", "lost", None)),
        (FailureKind.TIMED_OUT, ("unknown", "timed_out", None)),
        (FailureKind.REJECTED, ("unknown", "rejected", None)),
        (FailureKind.BAD_ANSWER, ("unknown", "bad_answer", None)),
        (FailureKind.SNAPSHOT_GONE, ("unknown", "snapshot_gone", None)),
        (FailureKind.UNSENT, ("not_run", "unreachable", 200)),
        (FailureKind.SHED, ("not_run", "shed", 200)),
        (FailureKind.DRAINING, ("not_run", "draining", 200)),
    ],
)
def test_failure_kind_determines_the_outcome_and_the_retry(
    kind: FailureKind, expected_outcome: tuple[str, str, int | None]
) -> None:
    """Guards against a retry after a failure that may have run, and a missing one otherwise."""
    owner = Owner()
    ticket = owner.ticket()
    (sent,) = owner.run(1, ticket)
    for retry in owner.fail(sent, kind):
        assert expected_outcome[0] == "not_run"
        assert retry.server_id != sent.server_id
        assert owner.fail(retry, kind) == []
    assert owner.outcome() == expected_outcome
    assert bool(owner.run(2, ticket)) == (expected_outcome[0] == "not_run")


@pytest.mark.parametrize(
    ("changes", "expected_refusal"),
    [
        ({"front": "none"}, RefusalType.UNKNOWN_FRONT),
        ({"action": "none"}, RefusalType.UNKNOWN_ACTION),
        ({"service": "none"}, RefusalType.UNKNOWN_SERVICE),
        ({"deadline_ms": 7.0}, RefusalType.DEADLINE_TOO_SHORT),
        ({"deadline_ms": 0.0}, RefusalType.BAD_REQUEST),
        ({"deadline_ms": float("nan")}, RefusalType.BAD_REQUEST),
        ({"ticket": "t1.x.y"}, RefusalType.BAD_TICKET),
    ],
)
def test_refused_call_does_not_run_or_use_up_the_ticket(
    changes: dict[str, Any], expected_refusal: RefusalType
) -> None:
    """Guards against an invalid call that makes the ticket unusable."""
    owner = Owner()
    ticket = owner.ticket()
    assert owner.run(1, **{"ticket": ticket, **changes}) == []
    assert owner.refusal() == (expected_refusal, Ran.NO)
    (sent,) = owner.run(2, ticket, service="jobs-1")
    assert sent.service == "jobs-1"
    assert owner.run(3, ticket) == []
    assert owner.refusal() == (RefusalType.TICKET_BODY_MISMATCH, Ran.NO)


def test_deeply_nested_body_is_refused() -> None:
    """Guards against an exception from a body that can be parsed but not serialized."""
    owner = Owner()
    nested: list[Any] = []
    for _ in range(400):
        nested = [nested]
    owner.run(1, owner.ticket(), body={"job": nested})
    assert owner.refusal() == (RefusalType.BAD_REQUEST, Ran.NO)


def test_record_is_kept_until_expiry_and_clock_regression_does_not_revive_the_ticket() -> None:
    """Guards against the eviction of a record whose ticket could still run."""
    owner = Owner(ticket_lifetime_ms=5_000)
    ticket = owner.ticket()
    (sent,) = owner.run(1, ticket)
    owner.send(events.RunAnswered(owner.at, sent.attempt_id, {}))
    owner.at = 4_999.0
    assert owner.run(2, ticket) == []
    assert [reply.outcome for reply in owner.pop_effects(effects.ReplyOutcome)] == ["done", "done"]
    for owner.at in (5_000.0, 100.0):
        assert owner.run(3, ticket) == []
        assert owner.refusal() == (RefusalType.TICKET_EXPIRED, Ran.MAYBE)
    assert not owner.state.tickets.records_by_sequence


def test_overdue_deadline_is_settled_before_later_events() -> None:
    """Guards against a late answer accepted, or a retry sent, after a pause past the deadline."""
    owner = Owner()
    ticket = owner.ticket()
    (sent,) = owner.run(1, ticket, deadline_ms=100.0)
    assert (sent.budget_ms, sent.timeout_ms) == (98.0, 100.0)
    owner.at = 9_000.0
    assert owner.fail(sent, FailureKind.UNSENT) == []
    assert owner.outcome() == ("unknown", "timed_out", None)
    assert [effect.attempt_id for effect in owner.pop_effects(effects.CancelAttempt)] == [
        sent.attempt_id
    ]


def test_earlier_deadline_does_not_settle_a_later_run() -> None:
    """Guards against the deadline timer of a failed run that settles the next run."""
    owner = Owner()
    ticket = owner.ticket()
    (sent,) = owner.run(1, ticket, deadline_ms=100.0)
    for retry in owner.fail(sent, FailureKind.SHED):
        owner.fail(retry, FailureKind.SHED)
    owner.at = 50.0
    owner.run(2, ticket, deadline_ms=1_000.0)
    owner.pop_effects(effects.ReplyOutcome)
    owner.advance(500)
    assert owner.pop_effects(effects.ReplyOutcome) == []


def test_duplicate_of_a_not_run_frame_does_not_run() -> None:
    """Guards against a call that runs after it was answered with ``not_run``."""
    owner = Owner()
    ticket = owner.ticket()
    for sent in owner.forwarded(ticket, "b1-1"):
        for retry in owner.fail(sent, FailureKind.SHED):
            owner.fail(retry, FailureKind.SHED)
    assert owner.outcome() == ("not_run", "shed", 200)
    assert owner.forwarded(ticket, "b1-1") == []
    assert owner.outcome() == ("not_run", "shed", 200)
    assert len(owner.forwarded(ticket, "b1-2")) == 1


def test_full_table_refuses_a_forwarded_call_as_maybe_run() -> None:
    """Guards against a refusal that rules out a run although an unrecorded duplicate may run."""
    owner = Owner(max_tickets=1)
    owner.run(1, owner.ticket())
    owner.run(2, owner.ticket())
    assert owner.refusal() == (RefusalType.OVERLOADED, Ran.NO)
    owner.forwarded(owner.ticket(), "b1-1")
    (answer,) = owner.pop_effects(effects.AnswerForward)
    assert (answer.outcome, answer.reason) == ("refused", "overloaded")
    assert answer.answer["ran"] == "maybe"
    assert answer.retry_after_ms == 600_000


def test_forwarder_shortens_the_deadline_and_relays_the_answer() -> None:
    """Guards against a forwarder that runs the call, holds it too long or alters the answer."""
    owner, forwarder = Owner(), Owner(incarnation="b1", peer_address="127.0.0.1:9")
    forwarder.list_instances(owner.settings.peer_address)
    forwarder.run(1, owner.ticket(), deadline_ms=100.0)
    (frame,) = forwarder.pop_effects(effects.ForwardRun)
    assert (frame.address, frame.budget_ms) == (owner.settings.peer_address, 98.0)
    refusal_fields = {"message": "full", "ran": "maybe"}
    forwarder.send(
        events.ForwardAnswered(forwarder.at, 1, "refused", refusal_fields, "overloaded", 70)
    )
    assert forwarder.refusal() == (RefusalType.OVERLOADED, Ran.MAYBE)
    forwarder.run(2, frame.ticket, deadline_ms=1.0)
    assert forwarder.refusal() == (RefusalType.DEADLINE_TOO_SHORT, Ran.MAYBE)
    forwarder.run(3, frame.ticket)
    forwarder.send(events.ForwardFailed(forwarder.at, 3, "unreachable"))
    assert forwarder.outcome() == ("unknown", "unreachable", 200)
    forwarder.run(4, frame.ticket)
    forwarder.send(events.ForwardFailed(forwarder.at, 4, "not_owner"))
    assert forwarder.outcome() == ("unknown", "owner_restarted", None)
    forwarder.send(events.ForwardAnswered(forwarder.at, 3, "done", {}))
    assert forwarder.pop_effects(effects.ReplyOutcome) == []


def test_ticket_of_a_restarted_owner_is_answered_as_unknown() -> None:
    """Guards against a new incarnation that runs or forwards the ticket of an older one."""
    ticket, successor = Owner().ticket(), Owner(incarnation="a2")
    assert successor.run(1, ticket) == []
    assert successor.outcome() == ("unknown", "owner_restarted", None)
    assert successor.forwarded(ticket, "b1-1") == []
    assert successor.outcome() == ("unknown", "owner_restarted", None)
    assert successor.pop_effects(effects.ForwardRun) == []


def test_ticket_address_that_is_not_a_peer_is_not_connected_to() -> None:
    """Guards against a forged ticket that makes an instance connect to an arbitrary address."""
    forger, forwarder = Owner(), Owner(incarnation="b1", peer_address="127.0.0.1:9")
    assert forwarder.run(1, forger.ticket()) == []
    assert forwarder.pop_effects(effects.ForwardRun) == []
    assert forwarder.outcome()[:2] == ("unknown", "owner_not_known")


def test_trace_of_tickets_replays_without_the_secret() -> None:
    """Guards against a replay that rejects every ticket as forged."""
    settings = Owner().settings
    trace = Trace(settings, rewrite_ticket=ticket_rewriter(settings))
    owner = Owner()
    owner.state = new_state(settings)
    produced: list[effects.Effect] = []
    note = events.NoteSeen(0.0, "platform", first_note(servers=2))
    for event in (events.Tick(0.0), note, events.TicketRequested(1.0, 1, "booking")):
        produced += reduce_recorded(trace, owner.state, event)
    (ticket,) = [item.ticket for item in produced if isinstance(item, effects.ReplyTicket)]
    run = events.RunArrived(2.0, 2, ticket=ticket, **ACTION)
    new = reduce_recorded(trace, owner.state, run)
    assert any(isinstance(item, effects.SendRun | effects.ReplyOutcome) for item in new)
    lines = dump_trace(trace).splitlines()
    assert ticket.encode() not in b"".join(lines)
    assert replay(lines).differing is None


def test_draining_instance_runs_requests_but_issues_no_tickets() -> None:
    """Guards against a ticket issued by an ending owner, and against refusing an issued one."""
    owner = Owner()
    ticket = owner.ticket()
    owner.send(events.ShutdownRequested(owner.at))
    owner.send(events.TicketRequested(owner.at, 5, "booking"))
    assert owner.refusal() == (RefusalType.SHUTTING_DOWN, Ran.NO)
    assert len(owner.run(6, ticket)) == 1


def test_stored_answers_are_bounded() -> None:
    """Guards against memory exhaustion by large answers that are stored until expiry."""
    owner = Owner(max_ticket_answer_bytes=20)
    ticket = owner.ticket()
    (sent,) = owner.run(1, ticket)
    owner.send(events.RunAnswered(owner.at, sent.attempt_id, {"text": "x" * 30}))
    (reply,) = owner.pop_effects(effects.ReplyOutcome)
    assert reply.answer == {"text": "x" * 30}
    owner.run(2, ticket)
    assert owner.outcome() == ("done", "answer_not_kept", None)
