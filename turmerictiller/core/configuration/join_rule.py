"""When a newly started instance may put its first note in force.

It asks the peers of its settings and of the instance list for their notes, each round anew. Only
answers to these asks count, and an answer is as old as its ask, so that messages that were delayed
or read after a pause prove nothing. Every peer that is asked gets ``join_wait_ms`` to answer.

- If an answering peer has a note in force, the newest note among the answers is the first note.
- If none has, and at least half of the others answered (with this instance a majority of all), the
  platform's note is the first note.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from turmerictiller.core.configuration.note_state import JoinAnswer, JoinPhase
from turmerictiller.core.effects import SendGossip
from turmerictiller.core.peers.gossip_content import short_message
from turmerictiller.core.peers.peer_membership import contact_addresses

if TYPE_CHECKING:
    from turmerictiller.core.fronts import NoteInForce
    from turmerictiller.core.peers.gossip_model import GossipMessage
    from turmerictiller.core.state import State


@dataclass(frozen=True, slots=True)
class InstallNote:
    """A note may be put in force as the first one."""

    note: NoteInForce


@dataclass(frozen=True, slots=True)
class FetchFromPeer:
    """A peer's note must be fetched first."""

    answer: JoinAnswer


def ask_peers(state: State) -> None:
    """Ask the peers with the oldest answers for their notes."""
    join = state.notes.join
    contacts = contact_addresses(state)
    _prune(state, contacts)
    answers = join.answers_by_address

    def answered_at(address: str) -> float:
        answer = answers.get(address)
        return answer.asked_at if answer else float("-inf")

    asked_at = {address: at for address, at in join.asks.values()}
    order = sorted(contacts, key=lambda item: (answered_at(item), asked_at.get(item, -1.0)))
    for address in order[: state.settings.join_contacts]:
        join.asks[join.next_ask] = (address, state.now)
        join.first_asked_at.setdefault(address, state.now)
        state.out.append(SendGossip(address, short_message(state, ask=join.next_ask)))
        join.next_ask += 1


def clear_join_progress(state: State) -> None:
    """Forget all asks and answers once an instance has joined."""
    join = state.notes.join
    join.asks.clear()
    join.first_asked_at.clear()
    join.answers_by_address.clear()


def record_answer(state: State, message: GossipMessage) -> None:
    """Take in a peer's message, which counts if it answers an ask of this incarnation."""
    join = state.notes.join
    if message.note_number:
        join.established_at = state.now
    if message.answer_incarnation != state.settings.incarnation:
        return
    ask = join.asks.get(message.answer_to)
    if ask is None:
        return
    address, asked_at = ask
    known = join.answers_by_address.get(address)
    if known is None or known.asked_at <= asked_at:
        join.answers_by_address[address] = JoinAnswer(
            message.sender.id,
            message.sender.address,
            asked_at,
            message.note_number,
            message.note_digest,
        )


def next_step(state: State) -> InstallNote | FetchFromPeer | None:
    """Return the next step towards the first note, or ``None`` to wait."""
    join = state.notes.join
    if not state.settings.peers:
        return InstallNote(join.candidate) if join.candidate else None
    contacts = contact_addresses(state)
    answers = _fresh_answers(state, contacts)
    if not _is_settled(state, contacts, answers):
        return None
    established = [answer for answer in answers.values() if answer.note_number]
    if established:
        return _follow(state, max(established, key=lambda answer: answer.note_number))
    if state.now - join.established_at <= max_answer_age_ms(state, len(contacts)):
        return None
    if 2 * len({answer.peer_id for answer in answers.values()}) < len(contacts):
        return None
    known = [note for note in (join.fetched, join.candidate) if note is not None]
    return InstallNote(max(known, key=lambda note: note.number)) if known else None


def max_answer_age_ms(state: State, contact_count: int) -> float:
    """Return the age up to which an answer counts: time enough to ask every contact once."""
    settings = state.settings
    rounds = -(-contact_count // settings.join_contacts)
    return settings.peer_timeout_ms + rounds * settings.gossip_interval_ms


def is_joined(state: State) -> bool:
    """Return whether notes may be put in force."""
    return state.notes.join.phase is JoinPhase.JOINED


def _follow(state: State, newest: JoinAnswer) -> InstallNote | FetchFromPeer:
    join = state.notes.join
    if join.fetched is not None and join.fetched.number >= newest.note_number:
        return InstallNote(join.fetched)
    if join.candidate is not None and join.candidate.digest == newest.note_digest:
        return InstallNote(join.candidate)
    return FetchFromPeer(newest)


def _fresh_answers(state: State, contacts: list[str]) -> dict[str, JoinAnswer]:
    oldest = max(state.resumed_at, state.now - max_answer_age_ms(state, len(contacts)))
    answers = state.notes.join.answers_by_address
    return {
        address: answers[address]
        for address in contacts
        if address in answers and answers[address].asked_at >= oldest
    }


def _is_settled(state: State, contacts: list[str], answers: dict[str, JoinAnswer]) -> bool:
    first_asked_at = state.notes.join.first_asked_at
    if len(first_asked_at) < min(len(contacts), state.settings.join_contacts):
        return False
    return all(
        address in answers
        or state.now - max(asked_at, state.resumed_at) >= state.settings.join_wait_ms
        for address, asked_at in first_asked_at.items()
    )


def _prune(state: State, contacts: list[str]) -> None:
    join = state.notes.join
    oldest = state.now - max_answer_age_ms(state, len(contacts))
    join.asks = {number: ask for number, ask in join.asks.items() if ask[1] >= oldest}
    kept = set(contacts)
    join.first_asked_at = {
        address: at for address, at in join.first_asked_at.items() if address in kept
    }
    join.answers_by_address = {
        address: answer for address, answer in join.answers_by_address.items() if address in kept
    }
