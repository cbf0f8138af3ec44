"""Tests of the note in force over several instances.

The state machine can not promise one digest per number: when two operators publish different notes
with one number, parts of the fleet keep different ones until the next number. It promises that the
numbers agree, and that the next number ends the conflict. Nor can it promise this when no instance
has read the note that the next one follows: all then refuse the next note for its predecessor, and
accept the one after it. So the platform shows its last two notes in turn when faults end.
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

SIZE = 4
ROUND_MS = 1_100.0
ROUNDS_TO_AGREE = 10
INDEX = st.integers(0, SIZE - 1)


class NotesMachine(RuleBasedStateMachine):
    """Instances restart, pause and lose each other and the platform, while notes follow."""

    @initialize(seed=st.integers(0, 2**16))
    def begin(self, seed: int) -> None:
        self.fleet = Fleet(SIZE, seed)
        self.published = [first_note()]
        self.fleet.publish(self.published[0])
        for index in range(SIZE):
            self.fleet.start(index)

    @rule(ms=st.sampled_from([5, 100, 1_500, 4_000]))
    def wait(self, ms: int) -> None:
        self.fleet.advance(ms)

    @rule(index=INDEX, ms=st.sampled_from([0, 50, 2_500]))
    def restart(self, index: int, ms: int) -> None:
        self.fleet.stop(index)
        self.fleet.advance(ms)
        self.fleet.start(index)

    @rule(index=INDEX, ms=st.sampled_from([500, 3_000, 60_000]))
    def pause(self, index: int, ms: int) -> None:
        self.fleet.pause(index, ms)

    @rule(one=INDEX, other=INDEX, both=st.booleans())
    def cut(self, one: int, other: int, both: bool) -> None:
        self.fleet.cut_link(one, other)
        if both:
            self.fleet.cut_link(other, one)

    @rule(index=INDEX, is_cut=st.booleans())
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

    @rule(joiner=INDEX, laggard=INDEX)
    def restart_beside_laggard(self, joiner: int, laggard: int) -> None:
        fleet = self.fleet
        fleet.stop(joiner)
        for other in set(range(SIZE)) - {joiner, laggard}:
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

    @rule(split=st.integers(0, SIZE))
    def race(self, split: int) -> None:
        one, two = (next_note(self.published[-1], variant) for variant in (1, 2))
        for index in range(SIZE):
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
        fleet.cut_from_platform = set() if has_platform else set(range(SIZE))
        lowest = max(fleet.number(index) for index in range(SIZE))
        # An instance that has not joined may hold a newer note of the platform.
        highest = max([lowest, *fleet.candidate_numbers()])
        if has_platform:
            lowest = highest = self.published[-1]["number"]
            for document in self.published[-2:]:
                fleet.publish(document)
        if lowest:
            fleet.advance(ROUNDS_TO_AGREE * ROUND_MS)
            (number,) = {fleet.number(index) for index in range(SIZE)}
            assert lowest <= number <= highest
        if has_platform:
            fleet.cut_from_platform = set(range(1, SIZE))
            self.publish()
            fleet.advance(ROUNDS_TO_AGREE * ROUND_MS)
            notes = [node.state.note for node in fleet.nodes if node is not None]
            assert {note.digest for note in notes if note} == {digest(self.published[-1])}
            fleet.cut_from_platform = set()


class Joiner(Harness):
    """A new instance whose peers answer as the test says."""

    def __init__(self, peers: int = 3) -> None:
        addresses = ",".join(f"10.0.0.{number}:1" for number in range(1, peers + 1))
        super().__init__(peers=addresses)
        self.advance(0)
        self.asks = self.new_asks()
        self.send(events.NoteSeen(self.at, "platform", first_note()))

    def new_asks(self) -> dict[str, int]:
        """Return the asks sent since the last call, by address."""
        sent = self.pop_effects(effects.SendGossip)
        return {item.address: item.message.ask for item in sent if item.message.ask}

    def hear(
        self, peer: int, note: int = 0, answers: dict[str, int] | None = None, to: str = "a1"
    ) -> None:
        """Receive gossip of a peer, or its answer to one of the asks."""
        address = f"10.0.0.{peer}:1"
        sender = Member(f"p{peer}", "i1", int(self.at), address, "pikine", PeerStatus.READY)
        answer_to = answers[address] if answers else 0
        digest_ = digest(note) if note else ""
        message = GossipMessage(
            sender, note, digest_, answer_to=answer_to, answer_incarnation=to if answers else ""
        )
        self.send(events.GossipReceived(self.at, message))

    @property
    def number(self) -> int:
        return self.state.note.number if self.state.note else 0


def test_cold_start_needs_half_of_the_others_and_the_wait_for_the_rest() -> None:
    """Guards against a start that one dead peer prevents, or that too few peers allow."""
    joiner = Joiner(peers=4)
    joiner.hear(1, answers=joiner.asks)
    joiner.advance(1_000)
    joiner.hear(1, answers=joiner.new_asks())
    joiner.advance(3_000)
    assert joiner.number == 0
    joiner.hear(2, answers=joiner.new_asks())
    assert joiner.number == 1


def test_only_recent_answers_to_own_asks_let_an_instance_join() -> None:
    """Guards against late or doubled messages, read after a pause or by the next incarnation."""
    joiner = Joiner(peers=2)
    for peer in (1, 2):
        joiner.hear(peer)
        joiner.hear(peer, answers=joiner.asks, to="a0")
    joiner.hear(1, answers=joiner.asks)
    joiner.advance(100)
    assert joiner.number == 0
    joiner.at += 3_000
    joiner.hear(2, answers=joiner.asks)
    assert joiner.number == 0
    joiner.hear(1, answers=joiner.new_asks())
    joiner.advance(3_000)
    assert joiner.number == 1


def test_answers_age() -> None:
    """Guards against a majority of peers that were heard at different times."""
    joiner = Joiner(peers=4)
    joiner.hear(1, answers=joiner.asks)
    joiner.advance(20_000)
    joiner.hear(2, answers=joiner.new_asks())
    assert joiner.number == 0


def test_established_peer_outweighs_any_majority_of_new_ones() -> None:
    """Guards against a stale platform that wins because the established peer's answer is late."""
    joiner = Joiner(peers=3)
    joiner.hear(3, note=7)
    for peer in (1, 2):
        joiner.hear(peer, answers=joiner.asks)
    joiner.advance(2_500)
    asks = joiner.new_asks()
    for peer in (1, 2):
        joiner.hear(peer, answers=asks)
    assert joiner.number == 0
    joiner.hear(3, note=7, answers=asks)
    (fetch,) = joiner.pop_effects(effects.FetchNote)
    assert fetch.peer_id == "p3"
    joiner.send(events.NoteSeen(joiner.at, "p3", next_note(first_note())))
    assert joiner.number == 0
    joiner.advance(joiner.settings.note_fetch_timeout_ms + 2_000)
    assert joiner.pop_effects(effects.FetchNote)


def test_platforms_newer_note_follows_the_first_one() -> None:
    """Guards against a newer note that is lost because it arrived before the instance joined."""
    joiner = Joiner(peers=1)
    joiner.send(events.NoteSeen(joiner.at, "platform", next_note(first_note())))
    joiner.hear(1, note=1, answers=joiner.asks)
    assert joiner.number == 0
    assert joiner.pop_effects(effects.FetchNote)
    joiner.send(events.NoteSeen(joiner.at, "p1", first_note()))
    assert joiner.number == 2


def test_instance_without_peers_takes_the_platforms_note() -> None:
    """Guards against a single instance that waits for peers it does not have."""
    harness = Harness()
    harness.send(events.NoteSeen(0.0, "platform", None))
    assert harness.state.note is None
    harness.start()
    assert harness.state.note is not None


def test_refused_notes_are_shown_and_bounded() -> None:
    """Guards against refusals that operators can not see, and against memory that they fill."""
    harness = Harness(max_refused_notes=3)
    harness.start()
    for number in range(2, 9):
        harness.send(events.NoteSeen(harness.at, "platform", {"number": number, "x": 1}))
    refused = dump_state(harness.state)["refused_notes"]
    assert [item["number"] for item in refused] == [6, 7, 8]
    assert {item["errors"][0]["type"] for item in refused} == {"malformed"}


def test_follower_of_a_conflicting_note_ends_the_conflict() -> None:
    """Guards against an instance that keeps the loser of a race until the second note after it."""
    harness = Harness()
    harness.start()
    one, two = (next_note(first_note(), variant) for variant in (1, 2))
    follower = next_note(two)
    for document in (one, follower):
        harness.send(events.NoteSeen(harness.at, "platform", document))
    assert harness.state.note is not None
    assert harness.state.note.number == 2
    harness.send(events.NoteSeen(harness.at, "platform", two))
    harness.send(events.NoteSeen(harness.at, "platform", follower))
    assert harness.state.note.digest == digest(follower)


def test_note_refused_from_the_platform_is_still_fetched_from_a_peer() -> None:
    """Guards against an instance that avoids a note for 30 s after it refused the platform's."""
    harness = Harness()
    harness.start()
    one, two = (next_note(first_note(), variant) for variant in (1, 2))
    follower = next_note(two)
    for document in (one, follower):
        harness.send(events.NoteSeen(harness.at, "platform", document))
    sender = Member("p1", "i1", 1, "10.0.0.1:1", "pikine", PeerStatus.READY)
    message = GossipMessage(sender, follower["number"], digest(follower))
    harness.send(events.GossipReceived(harness.at, message))
    assert harness.pop_effects(effects.FetchNote)
    harness.send(events.NoteSeen(harness.at, "p1", follower))
    assert harness.state.note is not None
    assert harness.state.note.digest == digest(follower)


TestNotes = NotesMachine.TestCase
TestNotes.settings = settings(max_examples=120, stateful_step_count=25)
