"""Tests that random and forged events get one reply each and do not grow the state."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.fleet import next_note
from tests.harness import Harness, first_note, shard_map, snapshot
from tests.state_bounds import SERVER_COUNT, SMALL_LIMITS, check_collection_lengths
from turmerictiller.core import effects, events
from turmerictiller.core.peers.gossip_model import (
    DrainingServer,
    GossipMessage,
    Member,
    PeerStatus,
    QuarantineEntry,
)

EVENT_COUNT = 2_000


class EventFuzzer:
    """Send random valid, outdated and forged events to one instance and check its replies.

    :ivar replies: number of replies by call of a caller.
    :ivar forward_answers: number of answers by run that a peer forwarded.
    :ivar disconnected: calls whose caller has left.
    """

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.harness = Harness(peers="10.0.0.2:1", peer_address="10.0.0.1:1", **SMALL_LIMITS)
        self.notes = [first_note(servers=3, deadline_max_ms=9_000.0)]
        self.attempts: list[effects.SendSearch | effects.SendRun] = []
        self.queries: dict[int, str] = {}
        self.replies: Counter[int] = Counter()
        self.forward_answers: Counter[int] = Counter()
        self.disconnected: set[int] = set()
        self.runs: list[int] = []
        self.forward_ids: list[int] = []
        self.tickets: list[str] = []
        self.call_id = 0
        self.last_effects: list[effects.Effect] = []
        self.shards = shard_map()
        self.send(self.random_gossip(note=0, answer_to=1))
        self.join()

    def join(self) -> None:
        """Answer the requests of the joining instance as its only peer until a note is in force."""
        self.send(events.NoteSeen(self.harness.at, "platform", self.notes[0]))
        while self.harness.state.note is None:
            for effect in self.harness.advance(100):
                if isinstance(effect, effects.SendGossip) and effect.message.ask:
                    self.send(self.random_gossip(note=0, answer_to=effect.message.ask))
        for server_id in self.harness.state.servers_by_id:
            status = events.UpstreamStatus("i0", False, (snapshot(1, self.shards),))
            self.send(events.HealthReported(self.harness.at, server_id, status))
        self.report_map()

    def random_gossip(
        self, note: int, answer_to: int = 0, number: int = 2
    ) -> events.GossipReceived:
        """Return gossip of a peer with random members, draining servers and quarantines."""
        names = [f"x{self.rng.randrange(40)}" for _ in range(3)]
        members = [
            Member(
                name, f"i{self.rng.randrange(9)}", self.rng.randrange(99), f"10.0.1.{i}:1", "d", s
            )
            for i, (name, s) in enumerate(zip(names, PeerStatus, strict=False))
        ]
        sender = Member(
            f"e{number}",
            "inc",
            self.rng.randrange(10**6),
            f"10.0.0.{number}:1",
            "d",
            PeerStatus.READY,
        )
        draining = tuple(
            DrainingServer(server_id, f"i{self.rng.randrange(30)}")
            for server_id in self.rng.sample(
                sorted(self.harness.state.servers_by_id), 1 if note else 0
            )
        )
        entry = QuarantineEntry(f"q{self.rng.randrange(50)}", 2.0, ("s",), 500.0, 1)
        message = GossipMessage(
            sender,
            note,
            "d" * 64 if note else "",
            draining,
            (entry,),
            tuple(members),
            answer_to=answer_to,
            answer_incarnation=self.harness.settings.incarnation,
        )
        return events.GossipReceived(self.harness.at, message)

    def send(self, event: events.Event) -> None:
        """Reduce one event and check the replies to callers and peers."""
        self.check_effects(self.harness.send(event))

    def check_effects(self, new: list[effects.Effect]) -> None:
        for effect in new:
            match effect:
                case effects.SendSearch() | effects.SendRun():
                    self.attempts.append(effect)
                case effects.ReplySearch():
                    self.count_reply(effect.call_id)
                    query = self.queries[effect.call_id]
                    assert {hit.fields["query"] for hit in effect.hits} <= {query}
                case effects.ReplyRefusal() | effects.ReplyOutcome():
                    self.count_reply(effect.call_id)
                case effects.ReplyTicket():
                    self.count_reply(effect.call_id)
                    self.tickets = [*self.tickets[-5:], effect.ticket]
                case effects.AnswerForward():
                    self.forward_answers[effect.forward_id] += 1
                    assert (
                        self.forward_answers[effect.forward_id] == 1
                    ), "a peer got two answers to a forwarded run"
        self.last_effects = new
        self.harness.effects.clear()

    def count_reply(self, call_id: int) -> None:
        """Count the reply to a call."""
        self.replies[call_id] += 1
        assert self.replies[call_id] == 1, "a caller got two replies"
        assert call_id not in self.disconnected, "a caller got a reply after it had left"

    def next_call_id(self) -> int:
        self.call_id += 1
        return self.call_id

    def start_search(self) -> None:
        call_id = self.next_call_id()
        # The unique number at the end of each query shows hits that belong to another call.
        self.queries[call_id] = f"crash {call_id % 7} {call_id}"
        deadline_ms = self.rng.choice([1.0, 50.0, 50.0, 400.0, 400.0, 9_000.0])
        query = self.queries[call_id]
        self.send(
            events.SearchArrived(self.harness.at, call_id, "booking", query, None, deadline_ms)
        )

    def answer_attempt(self) -> None:
        """Answer an attempt, which may have ended or never been sent."""
        attempt = self.pick_attempt()
        if attempt is None:
            return
        at, status = self.harness.at, self.random_status()
        if isinstance(attempt, effects.SendRun):
            self.send(events.RunAnswered(at, attempt.attempt_id, {"n": "x" * 200}, status))
            return
        id_ = attempt.attempt_id + self.rng.choice([0, 0, 0, 0, 10**6])
        shards = self.shards[attempt.service][: self.rng.choice([0, 1, 2, 2, 2])]
        if self.rng.random() < 0.1:
            shards = ("foreign/0",)
        hits = tuple(
            events.Hit(self.rng.random(), shard, f"{n}", {"query": attempt.query})
            for shard in shards
            for n in range(12)
        )
        name = attempt.snapshot if self.rng.random() < 0.9 else "9-0"
        self.send(events.AttemptAnswered(at, id_, name, shards, hits, status))

    def fail_attempt(self) -> None:
        attempt = self.pick_attempt()
        if attempt is not None:
            kind = self.rng.choice(list(events.FailureKind))
            self.send(
                events.AttemptFailed(
                    self.harness.at, attempt.attempt_id, kind, self.random_status()
                )
            )

    def pick_attempt(self) -> effects.SendSearch | effects.SendRun | None:
        """Return a recent attempt; the same one may be returned any number of times."""
        self.attempts = self.attempts[-300:]
        newest = self.attempts[-40:] if self.rng.random() < 0.8 else self.attempts
        return self.rng.choice(newest) if newest else None

    def random_status(self) -> events.UpstreamStatus:
        """Return a random server status: snapshots may be false, load and age are invalid."""
        names = [snapshot(1, self.shards)]
        if self.rng.random() < 0.2:
            names += [f"{self.rng.randrange(99)}-{self.rng.randrange(99)}" for _ in range(9)]
        incarnation = f"i{self.rng.randrange(20)}"
        return events.UpstreamStatus(incarnation, self.rng.random() < 0.01, tuple(names), 1e9, -5.0)

    def report_health(self) -> None:
        server_id = self.rng.choice(sorted(self.harness.state.servers_by_id))
        self.send(events.HealthReported(self.harness.at, server_id, self.random_status()))

    def report_forged_map(self) -> None:
        shards = {"jobs-0": (f"x/{self.rng.randrange(99)}",)}
        name = snapshot(self.rng.choice([0, 0, 7, 8, 9]), shards)
        self.send(events.ShardMapSeen(self.harness.at, "jobs-0-s0", name, shards))

    def report_map(self) -> None:
        name = snapshot(1, self.shards)
        self.send(events.ShardMapSeen(self.harness.at, "jobs-0-s0", name, self.shards))

    def publish_note(self) -> None:
        current = self.harness.state.note
        assert current is not None
        document = next_note(current.document, self.rng.randrange(3))
        if self.rng.random() < 0.5:
            document = {**document, "number": self.rng.randrange(99)}
        if len(self.notes) < 20:
            self.notes.append(document)
        self.send(events.NoteSeen(self.harness.at, "platform", self.rng.choice(self.notes)))

    def move_server(self) -> None:
        """Put a note in force that changes the address of the first server."""
        current = self.harness.state.note
        assert current is not None
        service = next(item for item in current.document["result"]["services"])
        servers = [dict(item) for item in service["servers"]]
        servers[0]["address"] = f"127.0.0.1:{self.rng.randrange(30_000, 60_000)}"
        self.send(
            events.NoteSeen(
                self.harness.at,
                "platform",
                note_with_service(current, {**service, "servers": servers}),
            )
        )

    def start_run(self) -> None:
        if self.tickets:
            call_id, ticket = self.next_call_id(), self.rng.choice(self.tickets)
            body = {"n": self.rng.choice([1, 1, 2])}
            at = self.harness.at
            deadline_ms = self.rng.choice([5.0, 2_000.0])
            self.send(
                events.RunArrived(at, call_id, "booking", ticket, "pickup", body, deadline_ms)
            )

    def forward_run(self) -> None:
        if self.tickets:
            forward_id, ticket = self.next_call_id(), self.rng.choice(self.tickets)
            self.forward_ids.append(forward_id)
            wire_id = f"w{self.rng.randrange(99)}"
            self.send(
                events.RunForwarded(
                    self.harness.at,
                    forward_id,
                    self.harness.settings.incarnation,
                    "booking",
                    ticket,
                    "pickup",
                    {"n": 1},
                    500.0,
                    wire_id=wire_id,
                )
            )

    def request_ticket(self) -> None:
        self.send(events.TicketRequested(self.harness.at, self.next_call_id(), "booking"))

    def disconnect_caller(self) -> None:
        if self.call_id:
            call_id = self.rng.randrange(self.call_id) + 1
            if call_id not in self.forward_ids and not self.replies[call_id]:
                self.disconnected.add(call_id)
            self.send(events.CallerGone(self.harness.at, call_id))

    def answer_forward(self) -> None:
        call_id = self.rng.randrange(self.call_id + 2)
        self.send(events.ForwardAnswered(self.harness.at, call_id, "done", {}))
        self.send(events.ForwardFailed(self.harness.at, call_id, "unreachable"))

    def list_instances(self) -> None:
        rows = tuple(
            events.ListedInstance(
                f"l{self.rng.randrange(50)}", "entry", f"10.0.2.{n}:1", "d", False
            )
            for n in range(5)
        )
        self.send(events.InstanceListSeen(self.harness.at, self.rng.randrange(9), rows))

    def receive_gossip(self) -> None:
        self.send(self.random_gossip(self.rng.randrange(9), number=self.rng.randrange(2, 60)))

    def advance_time(self) -> None:
        ms = self.rng.choice([0.0, 1.0, 5.0, 120.0])
        self.check_effects(self.harness.advance(ms))

    def jump_clock(self) -> None:
        """Move the clock forward, as a paused process sees it, or back."""
        self.harness.at = max(0.0, self.harness.at + self.rng.choice([-300.0, 3_000.0]))
        self.send(events.Tick(self.harness.at))

    def send_random_event(self) -> None:
        table: list[tuple[Callable[[], None], int]] = [
            (self.start_search, 30), (self.answer_attempt, 30), (self.fail_attempt, 8),
            (self.report_health, 4), (self.advance_time, 12), (self.report_map, 2),
            (self.report_forged_map, 2), (self.publish_note, 1), (self.move_server, 1),
            (self.request_ticket, 2), (self.start_run, 5), (self.forward_run, 3),
            (self.disconnect_caller, 4), (self.answer_forward, 1), (self.list_instances, 1),
            (self.receive_gossip, 3), (self.jump_clock, 1),
        ]  # fmt: skip
        self.rng.choices([item[0] for item in table], [item[1] for item in table])[0]()


def note_with_service(current: Any, service: dict[str, Any]) -> dict[str, Any]:
    """Return the note that follows the current one and changes a service."""
    from turmerictiller.core.configuration.note_model import DefinitionsModel, WithdrawnModel
    from turmerictiller.core.configuration.notes import seal_note

    changed = DefinitionsModel.model_validate({"services": [service], "fronts": []})
    return seal_note(current, DefinitionsModel(), changed, WithdrawnModel()).unwrap()


def test_timers_of_answered_calls_are_removed() -> None:
    """Guards against timers of answered calls that fill the memory until their deadline."""
    harness = Harness()
    harness.start(deadline_max_ms=9_000.0)
    for call_id in range(3_000):
        attempts = harness.search(call_id, deadline_ms=9_000.0)
        assert len(attempts) == 2
        for attempt in attempts:
            harness.answer(attempt)
        harness.effects.clear()
        assert len(harness.state.timers) <= 256
    assert harness.search(3_000, deadline_ms=9_000.0)
    harness.advance(9_000)
    assert (
        harness.state.searches_by_id == {}
    ), "the deadline timer of an unanswered call was dropped"


def test_server_with_a_new_address_is_polled_once_per_interval() -> None:
    """Guards against polls, timers and connections that add up with each address of a server."""
    fuzzer = EventFuzzer(1)
    for _ in range(30):
        address = fuzzer.harness.state.servers_by_id["jobs-0-s0"].address
        effect = effects.ResetConnections("jobs-0-s0", address)
        fuzzer.move_server()
        assert effect in fuzzer.last_effects, "connections to the old address were not reset"
    fuzzer.harness.advance(3_000)
    fuzzer.harness.effects.clear()
    fuzzer.harness.advance(3_000)
    polls = Counter(effect.server_id for effect in fuzzer.harness.pop_effects(effects.PollHealth))
    assert set(polls.values()) == {3}
    assert len(polls) == SERVER_COUNT


def test_reported_snapshots_are_bounded() -> None:
    """Guards against a faulty server that fills the memory or whose reports are all rejected."""
    harness = Harness(max_snapshots=4)
    harness.start()
    names = ("9" * 5_000 + "-0", *(f"{number}-0" for number in range(50)))
    server_id = next(iter(harness.state.servers_by_id))
    status = events.UpstreamStatus("i1", False, names)
    harness.send(events.HealthReported(harness.at, server_id, status))
    assert harness.state.servers_by_id[server_id].snapshots == names[1:5]


@settings(max_examples=6)
@given(st.integers(0, 2**32))
def test_random_events_get_one_reply_each_and_state_stays_bounded(seed: int) -> None:
    """Guards against two replies or none, hits of another call, and unbounded collections."""
    fuzzer = EventFuzzer(seed)
    for number in range(EVENT_COUNT):
        # Timers are cleaned before each event, so that the loss of an active one is detected.
        fuzzer.harness.state.timers.clean_at = 0
        fuzzer.send_random_event()
        if number % 20 == 0:
            check_collection_lengths(fuzzer.harness.state)
    fuzzer.check_effects(fuzzer.harness.advance(20_000))
    check_collection_lengths(fuzzer.harness.state)
    expected = set(range(1, fuzzer.call_id + 1)) - fuzzer.disconnected - set(fuzzer.forward_ids)
    assert set(fuzzer.replies) - fuzzer.disconnected == expected
    assert set(fuzzer.forward_answers) == set(fuzzer.forward_ids)
    assert fuzzer.harness.state.attempts_by_id == {}
