"""Tests of the note in force on several instances.

When two operators publish different notes with the same number, instances may keep different
digests until the next number. The state machine therefore checks that the numbers converge and that
the next number ends the conflict. If no instance has read the predecessor of the next note, all
refuse that note and accept the one after it; so the platform publishes its last two notes in turn
when faults end.
"""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from tests.fleet import Fleet, next_note
from tests.harness import Harness, first_note
from turmerictiller.borders.operators.state_dump import dump_state
from turmerictiller.core import effects, events
from turmerictiller.core.peers.gossip_model import GossipMessage, Member, PeerStatus
from turmerictiller.util.canonical import digest

FLEET_SIZE = 4
ROUND_MS = 1_100.0
CONVERGENCE_ROUNDS = 10
INSTANCE_INDEX = st.integers(0, FLEET_SIZE - 1)


class NoteStateMachine(RuleBasedStateMachine):
    """Guards against divergence under restarts, pauses, partitions and new notes."""

    @initialize(seed=st.integers(0, 2**16))
    def begin(self, seed: int) -> None:
        self.fleet = Fleet(FLEET_SIZE, seed)
        self.published = [first_note()]
        self.fleet.publish(self.published[0])
        for index in range(FLEET_SIZE):
            self.fleet.start(index)

    @rule(ms=st.sampled_from([5, 100, 1_500, 4_000]))
    def wait(self, ms: int) -> None:
        self.fleet.advance(ms)

    @rule(index=INSTANCE_INDEX, ms=st.sampled_from([0, 50, 2_500]))
    def restart(self, index: int, ms: int) -> None:
        self.fleet.stop(index)
        self.fleet.advance(ms)
        self.fleet.start(index)

    @rule(index=INSTANCE_INDEX, ms=st.sampled_from([500, 3_000, 60_000]))
    def pause(self, index: int, ms: int) -> None:
        self.fleet.pause(index, ms)

    @rule(one=INSTANCE_INDEX, other=INSTANCE_INDEX, both=st.booleans())
    def cut(self, one: int, other: int, both: bool) -> None:
        self.fleet.cut_link(one, other)
        if both:
            self.fleet.cut_link(other, one)

    @rule(index=INSTANCE_INDEX, is_cut=st.booleans())
    def cut_from_platform(self, index: int, is_cut: bool) -> None:
        (self.fleet.cut_from_platform.add if is_cut else self.fleet.cut_from_platform.discard)(
            index
        )

    @rule(
        loss=st.sampled_from([0, 0.3]),
        double=st.sampled_from([0, 0.5]),
        ms=st.sampled_from([0, 300, 2_000]),
    )
    def disturb(self, loss: float, double: float, ms: float) -> None:
        self.fleet.loss_rate, self.fleet.duplicate_rate, self.fleet.delay_ms = loss, double, ms

    @rule(joiner=INSTANCE_INDEX, laggard=INSTANCE_INDEX)
    def restart_beside_laggard(self, joiner: int, laggard: int) -> None:
        fleet = self.fleet
        fleet.stop(joiner)
        for other in set(range(FLEET_SIZE)) - {joiner, laggard}:
            fleet.cut_link(laggard, other)
            fleet.cut_link(other, laggard)
        fleet.cut_from_platform |= {joiner, laggard}
        self.publish()
        fleet.advance(1_500)
        fleet.start(joiner)
        fleet.advance(1_500)

    @rule()
    def publish(self) -> None:
        self.published.append(next_note(self.published[-1]))
        self.fleet.publish(self.published[-1])

    @rule(split=st.integers(0, FLEET_SIZE))
    def race(self, split: int) -> None:
        one, two = (next_note(self.published[-1], variant) for variant in (1, 2))
        for index in range(FLEET_SIZE):
            self.fleet.deliver_document(index, one if index < split else two)
        self.published.append(two)
        self.fleet.platform = two

    @rule(back=st.integers(1, 4))
    def go_back(self, back: int) -> None:
        self.fleet.publish(self.published[-min(back, len(self.published))])

    @rule(has_platform=st.booleans())
    def heal(self, has_platform: bool) -> None:
        fleet = self.fleet
        fleet.end_faults()
        fleet.cut_from_platform = set() if has_platform else set(range(FLEET_SIZE))
        lowest = max(fleet.number(index) for index in range(FLEET_SIZE))
        # An instance that has not joined may store a newer note of the platform.
        highest = max([lowest, *fleet.candidate_numbers()])
        if has_platform:
            lowest = highest = self.published[-1]["number"]
            for document in self.published[-2:]:
                fleet.publish(document)
        if lowest:
            fleet.advance(CONVERGENCE_ROUNDS * ROUND_MS)
            (number,) = {fleet.number(index) for index in range(FLEET_SIZE)}
            assert lowest <= number <= highest
        if has_platform:
            fleet.cut_from_platform = set(range(1, FLEET_SIZE))
            self.publish()
            fleet.advance(CONVERGENCE_ROUNDS * ROUND_MS)
            notes = [node.state.note for node in fleet.nodes if node is not None]
            assert {note.digest for note in notes if note} == {digest(self.published[-1])}
            fleet.cut_from_platform = set()


class JoiningInstance(Harness):
    """A newly started instance whose peers' answers are set by the test."""

    def __init__(self, peers: int = 3) -> None:
        addresses = ",".join(f"10.0.0.{number}:1" for number in range(1, peers + 1))
        super().__init__(peers=addresses)
        self.advance(0)
        self.asks = self.new_asks()
        self.send(events.NoteSeen(self.at, "platform", first_note()))

    def new_asks(self) -> dict[str, int]:
        """Return the numbers of the asks sent since the last call, by address."""
        sent = self.pop_effects(effects.SendGossip)
        return {item.address: item.message.ask for item in sent if item.message.ask}

    def receive_gossip(
        self,
        peer: int,
        note: int = 0,
        answers: dict[str, int] | None = None,
        answer_incarnation: str = "a1",
    ) -> None:
        """Receive gossip from a peer, or its answer to one of the asks.

        :param answer_incarnation: incarnation that the answer is addressed to.
        """
        address = f"10.0.0.{peer}:1"
        sender = Member(f"p{peer}", "i1", int(self.at), address, "pikine", PeerStatus.READY)
        answer_to = answers[address] if answers else 0
        note_digest = digest(note) if note else ""
        message = GossipMessage(
            sender,
            note,
            note_digest,
            answer_to=answer_to,
            answer_incarnation=answer_incarnation if answers else "",
        )
        self.send(events.GossipReceived(self.at, message))

    @property
    def number(self) -> int:
        return self.state.note.number if self.state.note else 0


def test_cold_start_waits_and_needs_answers_from_half_of_the_others() -> None:
    """Guards against a cold start that one dead peer blocks, or that too few answers allow."""
    joiner = JoiningInstance(peers=4)
    joiner.receive_gossip(1, answers=joiner.asks)
    joiner.advance(1_000)
    joiner.receive_gossip(1, answers=joiner.new_asks())
    joiner.advance(3_000)
    assert joiner.number == 0
    joiner.receive_gossip(2, answers=joiner.new_asks())
    assert joiner.number == 1


def test_only_recent_answers_to_asks_of_this_incarnation_count() -> None:
    """Guards against counting delayed or duplicated answers after a pause or a restart."""
    joiner = JoiningInstance(peers=2)
    for peer in (1, 2):
        joiner.receive_gossip(peer)
        joiner.receive_gossip(peer, answers=joiner.asks, answer_incarnation="a0")
    joiner.receive_gossip(1, answers=joiner.asks)
    joiner.advance(100)
    assert joiner.number == 0
    joiner.at += 3_000
    joiner.receive_gossip(2, answers=joiner.asks)
    assert joiner.number == 0
    joiner.receive_gossip(1, answers=joiner.new_asks())
    joiner.advance(3_000)
    assert joiner.number == 1


def test_answers_expire() -> None:
    """Guards against a majority made up of answers from different times."""
    joiner = JoiningInstance(peers=4)
    joiner.receive_gossip(1, answers=joiner.asks)
    joiner.advance(20_000)
    joiner.receive_gossip(2, answers=joiner.new_asks())
    assert joiner.number == 0


def test_established_peer_takes_precedence_over_a_majority_without_notes() -> None:
    """Guards against a stale platform note that wins because an established peer answers late."""
    joiner = JoiningInstance(peers=3)
    joiner.receive_gossip(3, note=7)
    for peer in (1, 2):
        joiner.receive_gossip(peer, answers=joiner.asks)
    joiner.advance(2_500)
    asks = joiner.new_asks()
    for peer in (1, 2):
        joiner.receive_gossip(peer, answers=asks)
    assert joiner.number == 0
    joiner.receive_gossip(3, note=7, answers=asks)
    (fetch,) = joiner.pop_effects(effects.FetchNote)
    assert fetch.peer_id == "p3"
    joiner.send(events.NoteSeen(joiner.at, "p3", next_note(first_note())))
    assert joiner.number == 0
    joiner.advance(joiner.settings.note_fetch_timeout_ms + 2_000)
    assert joiner.pop_effects(effects.FetchNote)


def test_newer_platform_note_is_installed_after_the_first_one() -> None:
    """Guards against losing a newer note that arrived before the instance joined."""
    joiner = JoiningInstance(peers=1)
    joiner.send(events.NoteSeen(joiner.at, "platform", next_note(first_note())))
    joiner.receive_gossip(1, note=1, answers=joiner.asks)
    assert joiner.number == 0
    assert joiner.pop_effects(effects.FetchNote)
    joiner.send(events.NoteSeen(joiner.at, "p1", first_note()))
    assert joiner.number == 2


def test_instance_without_peers_installs_the_platform_note() -> None:
    """Guards against a single instance that waits for peers it does not have."""
    harness = Harness()
    harness.send(events.NoteSeen(0.0, "platform", None))
    assert harness.state.note is None
    harness.start()
    assert harness.state.note is not None


def test_refused_notes_are_reported_and_bounded() -> None:
    """Guards against refusals missing from the state dump, and unbounded memory for them."""
    harness = Harness(max_refused_notes=3)
    harness.start()
    for number in range(2, 9):
        harness.send(events.NoteSeen(harness.at, "platform", {"number": number, "x": 1}))
    refused = dump_state(harness.state)["refused_notes"]
    assert [item["number"] for item in refused] == [6, 7, 8]
    assert {item["errors"][0]["type"] for item in refused} == {"malformed"}


def test_successor_of_a_conflicting_note_ends_the_conflict() -> None:
    """Guards against an instance that keeps a conflicting note although its successor arrived."""
    harness = Harness()
    harness.start()
    one, two = (next_note(first_note(), variant) for variant in (1, 2))
    successor = next_note(two)
    for document in (one, successor):
        harness.send(events.NoteSeen(harness.at, "platform", document))
    assert harness.state.note is not None
    assert harness.state.note.number == 2
    harness.send(events.NoteSeen(harness.at, "platform", two))
    harness.send(events.NoteSeen(harness.at, "platform", successor))
    assert harness.state.note.digest == digest(successor)


def test_note_refused_from_the_platform_is_fetched_from_a_peer() -> None:
    """Guards against skipping a peer's note for 30 s after the platform's copy was refused."""
    harness = Harness()
    harness.start()
    one, two = (next_note(first_note(), variant) for variant in (1, 2))
    successor = next_note(two)
    for document in (one, successor):
        harness.send(events.NoteSeen(harness.at, "platform", document))
    sender = Member("p1", "i1", 1, "10.0.0.1:1", "pikine", PeerStatus.READY)
    message = GossipMessage(sender, successor["number"], digest(successor))
    harness.send(events.GossipReceived(harness.at, message))
    assert harness.pop_effects(effects.FetchNote)
    harness.send(events.NoteSeen(harness.at, "p1", successor))
    assert harness.state.note is not None
    assert harness.state.note.digest == digest(successor)


TestNotes = NoteStateMachine.TestCase
TestNotes.settings = settings(max_examples=120, stateful_step_count=25)
