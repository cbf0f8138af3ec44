"""Property-based test of at-most-once requests over several instances and a faulty network."""

from __future__ import annotations

import itertools
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from tests.harness import Harness
from turmerictiller.core import effects, events
from turmerictiller.core.effects import AnswerForward, ReplyOutcome, ReplyRefusal
from turmerictiller.core.events import FailureKind
from turmerictiller.core.tickets.table import RecordState
from turmerictiller.errors import Ran

NOT_RUN_KINDS = [FailureKind.UNSENT, FailureKind.SHED, FailureKind.DRAINING]
UNKNOWN_KINDS = [FailureKind.LOST, FailureKind.TIMED_OUT, FailureKind.REJECTED]
# Favor one owner and the newest ticket, so that steps interact.
INSTANCE_INDEX = st.sampled_from([0, 0, 0, 1, 2])
ITEM_INDEX = st.sampled_from([-1, -1, -1, 0, -2])
MAX_RECORDS = 3
MAX_WAITERS = 2
LIMITS = {"max_tickets": MAX_RECORDS, "max_waiters_per_ticket": MAX_WAITERS, "max_runs": 2}


@dataclass(eq=False)
class Instance:
    """One incarnation at an address, with its pending calls and the forwarded calls it received.

    :param tickets_by_call: index of the ticket of each pending call.
    :param calls_by_forward: sender and request of each forwarded call.
    """

    address: str
    harness: Harness
    tickets_by_call: dict[int, int] = field(default_factory=dict)
    deadlines_by_call: dict[int, float] = field(default_factory=dict)
    calls_by_forward: dict[int, tuple[Instance, effects.ForwardRun]] = field(default_factory=dict)


@dataclass(eq=False)
class IssuedTicket:
    """An issued ticket and its owner.

    :param sent: whether its request was sent to an upstream.
    """

    text: str
    sequence: int
    owner: Instance
    expires_at: float
    sent: bool = False


@dataclass(eq=False)
class SentRequest:
    """A request sent to an upstream, which may run it at any later time."""

    instance: Instance
    effect: effects.SendRun
    ran: bool = False
    reported: bool = False


ADDRESSES = [f"127.0.0.1:{8_100 + number}" for number in range(3)]


class TicketNetwork(RuleBasedStateMachine):
    """Guards against a request that runs twice, an incorrect outcome, and unbounded records."""

    @initialize(lifetime_ms=st.sampled_from([1_300, 8_000]))
    def start(self, lifetime_ms: int) -> None:
        self.lifetime_ms = lifetime_ms
        self.numbers = itertools.count(1)
        self.tickets: list[IssuedTicket] = []
        self.sent: list[SentRequest] = []
        self.frames: list[tuple[Instance, Any]] = []
        self.ran: Counter[int] = Counter()
        self.not_run_wire_ids: set[str] = set()
        self.instances = [self.boot(address) for address in ADDRESSES]
        self.issue(0)

    def boot(self, address: str) -> Instance:
        values = {"incarnation": f"a{next(self.numbers)}", "peer_address": address, **LIMITS}
        harness = Harness(ticket_secret="s", ticket_lifetime_ms=self.lifetime_ms, **values)
        harness.start(services=1, servers=2)
        harness.list_instances(*ADDRESSES)
        return Instance(address, harness)

    def send(self, instance: Instance, event: Any) -> None:
        self.handle(instance, instance.harness.send(event), event)

    def handle(self, instance: Instance, new: list[effects.Effect], event: Any) -> None:
        for effect in new:
            match effect:
                case effects.SendRun():
                    self.on_send(instance, effect, event)
                case effects.ForwardRun():
                    self.frames.append((instance, effect))
                case AnswerForward():
                    _, request = instance.calls_by_forward[effect.forward_id]
                    if self.check(instance, request.body["n"], effect, effect.answer.get("ran")):
                        self.not_run_wire_ids.add(request.wire_id)
                    self.frames.append((instance, effect))
                case ReplyOutcome() | ReplyRefusal():
                    # A second answer to a call raises KeyError here.
                    number = instance.tickets_by_call.pop(effect.call_id)
                    if not isinstance(event, events.ForwardAnswered):
                        ran = effect.refusal.ran if isinstance(effect, ReplyRefusal) else Ran.MAYBE
                        self.check(instance, number, effect, ran.value)

    def on_send(self, instance: Instance, effect: effects.SendRun, event: Any) -> None:
        ticket = self.tickets[effect.body["n"]]
        assert ticket.owner is instance, "run by an instance that does not own the ticket"
        assert instance.harness.state.now < ticket.expires_at, "run after expiry"
        assert (
            getattr(event, "wire_id", "") not in self.not_run_wire_ids
        ), "run of a call that was answered with not_run"
        ticket.sent = True
        self.sent.append(SentRequest(instance, effect))

    def check(self, instance: Instance, number: int, reply: Any, ran: str | None) -> bool:
        """Check an outcome decided by an instance; return whether it states that nothing ran."""
        outcome = getattr(reply, "outcome", "refused")
        if outcome == "done":
            assert self.ran[number] == 1
            assert reply.answer == {"n": number}
        if outcome != "not_run" and ran != "no":
            return False
        assert self.tickets[number].owner is instance, "not_run for another's ticket"
        assert not [item for item in self.sent if item.effect.body["n"] == number]
        return True

    @rule(at=INSTANCE_INDEX)
    def issue(self, at: int) -> None:
        instance = self.instances[at]
        harness = instance.harness
        sequence = harness.state.tickets.next_sequence
        self.send(instance, events.TicketRequested(harness.at, next(self.numbers), "booking"))
        (reply,) = harness.pop_effects(effects.ReplyTicket)
        expires_at = harness.state.now + reply.expires_in_ms
        self.tickets.append(IssuedTicket(reply.ticket, sequence, instance, expires_at))

    @rule(at=INSTANCE_INDEX, pick=ITEM_INDEX, deadline_ms=st.sampled_from([None, None, 50.0, 7.0]))
    def call(self, at: int, pick: int, deadline_ms: float | None) -> None:
        instance, number = self.instances[at], pick % len(self.tickets)
        call_id, text = next(self.numbers), self.tickets[number].text
        instance.tickets_by_call[call_id] = number
        instance.deadlines_by_call[call_id] = instance.harness.at + (deadline_ms or 2_000)
        call = (call_id, "booking", text, "pickup", {"n": number}, deadline_ms)
        self.send(instance, events.RunArrived(instance.harness.at, *call))

    @rule(at=INSTANCE_INDEX)
    def leave(self, at: int) -> None:
        instance = self.instances[at]
        if instance.tickets_by_call:
            call_id = next(iter(instance.tickets_by_call))
            self.send(instance, events.CallerGone(instance.harness.at, call_id))
            instance.tickets_by_call.pop(call_id, None)

    @rule(pick=ITEM_INDEX, fate=st.sampled_from(["deliver", "double", "lose", "fail"]))
    def move_frame(self, pick: int, fate: str) -> None:
        if not self.frames:
            return
        source, frame = self.frames[pick % len(self.frames)]
        if fate != "double":
            self.frames.remove((source, frame))
        if fate == "lose":
            return
        if isinstance(frame, AnswerForward):
            self.deliver_answer(source, frame)
        elif fate != "fail":
            self.deliver_forward(source, frame)
        elif source in self.instances:
            self.send(source, events.ForwardFailed(source.harness.at, frame.call_id, "lost"))

    def deliver_forward(self, source: Instance, frame: effects.ForwardRun) -> None:
        target = next(item for item in self.instances if item.address == frame.address)
        forward_id = next(self.numbers)
        target.calls_by_forward[forward_id] = (source, frame)
        request = (frame.incarnation, frame.front, frame.ticket, frame.action, frame.body)
        limits = (frame.budget_ms, frame.service, frame.wire_id)
        self.send(target, events.RunForwarded(target.harness.at, forward_id, *request, *limits))

    def deliver_answer(self, owner: Instance, frame: AnswerForward) -> None:
        source, request = owner.calls_by_forward[frame.forward_id]
        answer_fields = (frame.outcome, frame.answer, frame.reason, frame.retry_after_ms)
        if source in self.instances:
            answered = events.ForwardAnswered(source.harness.at, request.call_id, *answer_fields)
            self.send(source, answered)

    @rule(pick=ITEM_INDEX, fate=st.sampled_from(["run", "answer", *NOT_RUN_KINDS, *UNKNOWN_KINDS]))
    def upstream(self, pick: int, fate: Any) -> None:
        if not self.sent or (fate in NOT_RUN_KINDS and self.sent[pick % len(self.sent)].ran):
            return
        item = self.sent[pick % len(self.sent)]
        if fate in NOT_RUN_KINDS and not item.reported:
            self.sent.remove(item)
        if fate in ("run", "answer") and not item.ran:
            item.ran = True
            self.ran[item.effect.body["n"]] += 1
        if fate != "run" and not item.reported and item.instance in self.instances:
            item.reported = True
            at, attempt_id = item.instance.harness.at, item.effect.attempt_id
            answered = events.RunAnswered(at, attempt_id, item.effect.body)
            failed = events.AttemptFailed(at, attempt_id, fate)
            self.send(item.instance, answered if fate == "answer" else failed)

    @rule(at=INSTANCE_INDEX, ms=st.sampled_from([0.0, 5.0, 60.0, 600.0, 600.0]))
    def pass_time(self, at: int, ms: float) -> None:
        instance = self.instances[at]
        self.handle(instance, instance.harness.advance(ms), None)

    @rule(at=INSTANCE_INDEX, ms=st.sampled_from([-500.0, -5.0, 30.0, 600.0, 9_000.0]))
    def jump(self, at: int, ms: float) -> None:
        """Simulate a clock jump or a process pause: no timer runs before the next event."""
        self.instances[at].harness.at += ms

    @rule(at=st.sampled_from([None, None, None, 0, 1]))
    def restart(self, at: int | None) -> None:
        if at is None:
            return
        self.instances[at] = self.boot(self.instances[at].address)

    @invariant()
    def no_ticket_runs_twice(self) -> None:
        assert all(count == 1 for count in self.ran.values())

    @invariant()
    def records_are_bounded(self) -> None:
        for instance in self.instances:
            table = instance.harness.state.tickets
            assert len(table.records_by_sequence) <= MAX_RECORDS
            assert len(table.sequences_by_waiter) <= MAX_RECORDS * MAX_WAITERS
            running = [item for item in table.records_by_sequence.values() if item.run]
            assert table.running == len(running) <= LIMITS["max_runs"]

    @invariant()
    def used_tickets_have_a_record(self) -> None:
        for ticket in self.tickets:
            state = ticket.owner.harness.state
            if ticket.sent and state.now < ticket.expires_at:
                record = state.tickets.records_by_sequence[ticket.sequence]
                assert record.state is not RecordState.UNUSED

    @invariant()
    def calls_are_answered_by_their_deadline(self) -> None:
        for instance in self.instances:
            for call_id in instance.tickets_by_call:
                assert instance.deadlines_by_call[call_id] > instance.harness.state.now

    def teardown(self) -> None:
        for instance in getattr(self, "instances", []):
            self.handle(instance, instance.harness.advance(20_000), None)
            assert not instance.tickets_by_call, "a call was never answered"
            assert not instance.harness.state.attempts_by_id


TestTicketNetwork = TicketNetwork.TestCase
TestTicketNetwork.settings = settings(max_examples=400, stateful_step_count=50)
