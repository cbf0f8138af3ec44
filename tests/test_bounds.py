"""Property test of replies and of the size of the state under thousands of hostile events."""

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

STEPS = 2_000


class Hostile:
    """One instance and everything that can be sent to it, in any order."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.harness = Harness(peers="10.0.0.2:1", peer_address="10.0.0.1:1", **SMALL_LIMITS)
        self.documents = [first_note(servers=3, deadline_max_ms=9_000.0)]
        self.sent: list[effects.SendSearch | effects.SendRun] = []
        self.queries: dict[int, str] = {}
        self.replies: Counter[int] = Counter()
        self.answers: Counter[int] = Counter()
        self.gone: set[int] = set()
        self.runs: list[int] = []
        self.forwards: list[int] = []
        self.tickets: list[str] = []
        self.call_id = 0
        self.seen: list[effects.Effect] = []
        self.shards = shard_map()
        self.send(self.gossip(note=0, answer_to=1))
        self.join()

    def join(self) -> None:
        """Let the only peer answer the asks of the joining instance until a note is in force."""
        self.send(events.NoteSeen(self.harness.at, "platform", self.documents[0]))
        while self.harness.state.note is None:
            for effect in self.harness.advance(100):
                if isinstance(effect, effects.SendGossip) and effect.message.ask:
                    self.send(self.gossip(note=0, answer_to=effect.message.ask))
        for server_id in self.harness.state.servers_by_id:
            status = events.UpstreamStatus("i0", False, (snapshot(1, self.shards),))
            self.send(events.HealthReported(self.harness.at, server_id, status))
        self.true_map()

    def gossip(self, note: int, answer_to: int = 0, number: int = 2) -> events.GossipReceived:
        """Return gossip of some instance, with members, draining servers and quarantines."""
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
        """Reduce one event and check what callers and peers are told."""
        self.observe(self.harness.send(event))

    def observe(self, new: list[effects.Effect]) -> None:
        for effect in new:
            match effect:
                case effects.SendSearch() | effects.SendRun():
                    self.sent.append(effect)
                case effects.ReplySearch():
                    self.reply(effect.call_id)
                    own = self.queries[effect.call_id]
                    assert {hit.fields["query"] for hit in effect.hits} <= {own}
                case effects.ReplyRefusal() | effects.ReplyOutcome():
                    self.reply(effect.call_id)
                case effects.ReplyTicket():
                    self.reply(effect.call_id)
                    self.tickets = [*self.tickets[-5:], effect.ticket]
                case effects.AnswerForward():
                    self.answers[effect.forward_id] += 1
                    assert self.answers[effect.forward_id] == 1, "a peer was answered twice"
        self.seen = new
        self.harness.effects.clear()

    def reply(self, call_id: int) -> None:
        """Count the reply to a call."""
        self.replies[call_id] += 1
        assert self.replies[call_id] == 1, "a caller was answered twice"
        assert call_id not in self.gone, "a caller that left was answered"

    def next_call(self) -> int:
        self.call_id += 1
        return self.call_id

    def search(self) -> None:
        call_id = self.next_call()
        # Few texts, so that quarantine matters; the number makes each call's hits its own.
        self.queries[call_id] = f"crash {call_id % 7} {call_id}"
        deadline_ms = self.rng.choice([1.0, 50.0, 50.0, 400.0, 400.0, 9_000.0])
        query = self.queries[call_id]
        self.send(
            events.SearchArrived(self.harness.at, call_id, "booking", query, None, deadline_ms)
        )

    def answer(self) -> None:
        """Answer an attempt, perhaps one that has ended or was never sent."""
        attempt = self.pick()
        if attempt is None:
            return
        at, status = self.harness.at, self.status()
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

    def fail(self) -> None:
        attempt = self.pick()
        if attempt is not None:
            kind = self.rng.choice(list(events.FailureKind))
            self.send(
                events.AttemptFailed(self.harness.at, attempt.attempt_id, kind, self.status())
            )

    def pick(self) -> effects.SendSearch | effects.SendRun | None:
        """Return one of the calls sent last; each may be answered any number of times."""
        self.sent = self.sent[-300:]
        newest = self.sent[-40:] if self.rng.random() < 0.8 else self.sent
        return self.rng.choice(newest) if newest else None

    def status(self) -> events.UpstreamStatus:
        """Return what a server may say of itself, true or not."""
        names = [snapshot(1, self.shards)]
        if self.rng.random() < 0.2:
            names += [f"{self.rng.randrange(99)}-{self.rng.randrange(99)}" for _ in range(9)]
        incarnation = f"i{self.rng.randrange(20)}"
        return events.UpstreamStatus(incarnation, self.rng.random() < 0.01, tuple(names), 1e9, -5.0)

    def health(self) -> None:
        server_id = self.rng.choice(sorted(self.harness.state.servers_by_id))
        self.send(events.HealthReported(self.harness.at, server_id, self.status()))

    def forged_map(self) -> None:
        shards = {"jobs-0": (f"x/{self.rng.randrange(99)}",)}
        name = snapshot(self.rng.choice([0, 0, 7, 8, 9]), shards)
        self.send(events.ShardMapSeen(self.harness.at, "jobs-0-s0", name, shards))

    def true_map(self) -> None:
        name = snapshot(1, self.shards)
        self.send(events.ShardMapSeen(self.harness.at, "jobs-0-s0", name, self.shards))

    def note(self) -> None:
        current = self.harness.state.note
        assert current is not None
        document = next_note(current.document, self.rng.randrange(3))
        if self.rng.random() < 0.5:
            document = {**document, "number": self.rng.randrange(99)}
        if len(self.documents) < 20:
            self.documents.append(document)
        self.send(events.NoteSeen(self.harness.at, "platform", self.rng.choice(self.documents)))

    def moved(self) -> None:
        """Put a note in force that changes the address of a server."""
        current = self.harness.state.note
        assert current is not None
        service = next(item for item in current.document["result"]["services"])
        servers = [dict(item) for item in service["servers"]]
        servers[0]["address"] = f"127.0.0.1:{self.rng.randrange(30_000, 60_000)}"
        self.send(
            events.NoteSeen(
                self.harness.at, "platform", moved_note(current, {**service, "servers": servers})
            )
        )

    def run_request(self) -> None:
        if self.tickets:
            call_id, ticket = self.next_call(), self.rng.choice(self.tickets)
            body = {"n": self.rng.choice([1, 1, 2])}
            at = self.harness.at
            deadline_ms = self.rng.choice([5.0, 2_000.0])
            self.send(
                events.RunArrived(at, call_id, "booking", ticket, "pickup", body, deadline_ms)
            )

    def run_forwarded(self) -> None:
        if self.tickets:
            forward_id, ticket = self.next_call(), self.rng.choice(self.tickets)
            self.forwards.append(forward_id)
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

    def ticket(self) -> None:
        self.send(events.TicketRequested(self.harness.at, self.next_call(), "booking"))

    def leave(self) -> None:
        if self.call_id:
            call_id = self.rng.randrange(self.call_id) + 1
            if call_id not in self.forwards and not self.replies[call_id]:
                self.gone.add(call_id)
            self.send(events.CallerGone(self.harness.at, call_id))

    def forward_answer(self) -> None:
        call_id = self.rng.randrange(self.call_id + 2)
        self.send(events.ForwardAnswered(self.harness.at, call_id, "done", {}))
        self.send(events.ForwardFailed(self.harness.at, call_id, "unreachable"))

    def listed(self) -> None:
        rows = tuple(
            events.ListedInstance(
                f"l{self.rng.randrange(50)}", "entry", f"10.0.2.{n}:1", "d", False
            )
            for n in range(5)
        )
        self.send(events.InstanceListSeen(self.harness.at, self.rng.randrange(9), rows))

    def peer(self) -> None:
        self.send(self.gossip(self.rng.randrange(9), number=self.rng.randrange(2, 60)))

    def time(self) -> None:
        ms = self.rng.choice([0.0, 1.0, 5.0, 120.0])
        self.observe(self.harness.advance(ms))

    def jump(self) -> None:
        """The process pauses or its clock goes back."""
        self.harness.at = max(0.0, self.harness.at + self.rng.choice([-300.0, 3_000.0]))
        self.send(events.Tick(self.harness.at))

    def step(self) -> None:
        table: list[tuple[Callable[[], None], int]] = [
            (self.search, 30), (self.answer, 30), (self.fail, 8), (self.health, 4), (self.time, 12),
            (self.true_map, 2), (self.forged_map, 2), (self.note, 1), (self.moved, 1),
            (self.ticket, 2), (self.run_request, 5), (self.run_forwarded, 3), (self.leave, 4),
            (self.forward_answer, 1), (self.listed, 1), (self.peer, 3), (self.jump, 1),
        ]  # fmt: skip
        self.rng.choices([item[0] for item in table], [item[1] for item in table])[0]()


def moved_note(current: Any, service: dict[str, Any]) -> dict[str, Any]:
    """Return the note that follows one and changes a service."""
    from turmerictiller.core.configuration.note_model import DefinitionsModel, WithdrawnModel
    from turmerictiller.core.configuration.notes import seal_note

    changed = DefinitionsModel.model_validate({"services": [service], "fronts": []})
    return seal_note(current, DefinitionsModel(), changed, WithdrawnModel()).unwrap()


def test_timers_follow_the_calls_in_flight() -> None:
    """Guards against deadlines of answered calls that fill the memory at a high rate of calls."""
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
    assert harness.state.searches_by_id == {}, "the deadline of a live call was dropped"


def test_server_that_moves_is_polled_once_per_interval() -> None:
    """Guards against polls, timers and connections that pile up with notes that move a server."""
    hostile = Hostile(1)
    for _ in range(30):
        address = hostile.harness.state.servers_by_id["jobs-0-s0"].address
        effect = effects.ResetConnections("jobs-0-s0", address)
        hostile.moved()
        assert effect in hostile.seen, "connections to the old address are kept for ever"
    hostile.harness.advance(3_000)
    hostile.harness.effects.clear()
    hostile.harness.advance(3_000)
    polls = Counter(effect.server_id for effect in hostile.harness.pop_effects(effects.PollHealth))
    assert set(polls.values()) == {3}
    assert len(polls) == SERVER_COUNT


def test_snapshots_that_a_server_reports_are_bounded() -> None:
    """Guards against a lying server that fills the memory or breaks each report that it sends."""
    harness = Harness(max_snapshots=4)
    harness.start()
    names = ("9" * 5_000 + "-0", *(f"{number}-0" for number in range(50)))
    server_id = next(iter(harness.state.servers_by_id))
    status = events.UpstreamStatus("i1", False, names)
    harness.send(events.HealthReported(harness.at, server_id, status))
    assert harness.state.servers_by_id[server_id].snapshots == names[1:5]


@settings(max_examples=6)
@given(st.integers(0, 2**32))
def test_hostile_events_get_one_reply_each_and_grow_nothing(seed: int) -> None:
    """Guards against calls answered twice, never or with foreign hits, and unbounded tables."""
    hostile = Hostile(seed)
    for number in range(STEPS):
        # Timers are looked at before each event, so that dropping a live one shows.
        hostile.harness.state.timers.clean_at = 0
        hostile.step()
        if number % 20 == 0:
            check_collection_lengths(hostile.harness.state)
    hostile.observe(hostile.harness.advance(20_000))
    check_collection_lengths(hostile.harness.state)
    expected = set(range(1, hostile.call_id + 1)) - hostile.gone - set(hostile.forwards)
    assert set(hostile.replies) - hostile.gone == expected
    assert set(hostile.answers) == set(hostile.forwards)
    assert hostile.harness.state.attempts_by_id == {}
