"""Choose the first release note that a newly started instance puts in force.

In each gossip round the instance sends a request for the note to up to ``join_contacts`` of the
peers in its settings and in the instance list. Only answers to these requests count, and the age of
an answer is measured from its request, so that a message that was delayed, or read after a pause,
is not taken as recent. Each peer that was asked has ``join_wait_ms`` to answer.

- If an answering peer has a note in force, the newest note among the answers is the first note.
- If no answering peer has one and at least half of the other instances answered, which together
  with this instance is a majority of all, the platform's note is the first note.
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
    """Decision to put a note in force as the first one."""

    note: NoteInForce


@dataclass(frozen=True, slots=True)
class FetchFromPeer:
    """Decision to fetch the note of an answering peer."""

    answer: JoinAnswer


def ask_peers(state: State) -> None:
    """Request the note from the peers with the oldest answers, at most ``join_contacts`` peers."""
    join = state.notes.join
    contacts = contact_addresses(state)
    _prune(state, contacts)
    answers = join.answers_by_address

    def answered_at(address: str) -> float:
        answer = answers.get(address)
        return answer.asked_at if answer else float("-inf")

    asked_at = {address: at for address, at in join.asks.values()}
    stalest_first = sorted(
        contacts, key=lambda contact: (answered_at(contact), asked_at.get(contact, -1.0))
    )
    for address in stalest_first[: state.settings.join_contacts]:
        join.asks[join.next_ask] = (address, state.now)
        join.first_asked_at.setdefault(address, state.now)
        state.out.append(SendGossip(address, short_message(state, ask=join.next_ask)))
        join.next_ask += 1


def clear_join_progress(state: State) -> None:
    """Discard all requests and answers after the instance has joined."""
    join = state.notes.join
    join.asks.clear()
    join.first_asked_at.clear()
    join.answers_by_address.clear()


def record_answer(state: State, message: GossipMessage) -> None:
    """Record a peer's message as an answer if it answers a request of this incarnation."""
    join = state.notes.join
    if message.note_number:
        join.established_at = state.now
    if message.answer_incarnation != state.settings.incarnation:
        return
    ask = join.asks.get(message.answer_to)
    if ask is None:
        return
    address, asked_at = ask
    recorded = join.answers_by_address.get(address)
    if recorded is None or recorded.asked_at <= asked_at:
        join.answers_by_address[address] = JoinAnswer(
            message.sender.id,
            message.sender.address,
            asked_at,
            message.note_number,
            message.note_digest,
        )


def next_step(state: State) -> InstallNote | FetchFromPeer | None:
    """Return the decision about the first note, or ``None`` to keep waiting."""
    join = state.notes.join
    if not state.settings.peers:
        return InstallNote(join.candidate) if join.candidate else None
    contacts = contact_addresses(state)
    answers = _fresh_answers(state, contacts)
    if not _is_wait_over(state, contacts, answers):
        return None
    established = [answer for answer in answers.values() if answer.note_number]
    if established:
        return _install_or_fetch(state, max(established, key=lambda answer: answer.note_number))
    if state.now - join.established_at <= max_answer_age_ms(state, len(contacts)):
        return None
    if 2 * len({answer.peer_id for answer in answers.values()}) < len(contacts):
        return None
    notes = [note for note in (join.fetched, join.candidate) if note is not None]
    return InstallNote(max(notes, key=lambda note: note.number)) if notes else None


def max_answer_age_ms(state: State, contact_count: int) -> float:
    """Return the age up to which an answer counts; it leaves time to ask every contact once."""
    settings = state.settings
    rounds = -(-contact_count // settings.join_contacts)
    return settings.peer_timeout_ms + rounds * settings.gossip_interval_ms


def is_joined(state: State) -> bool:
    """Return whether notes may be put in force."""
    return state.notes.join.phase is JoinPhase.JOINED


def _install_or_fetch(state: State, newest: JoinAnswer) -> InstallNote | FetchFromPeer:
    join = state.notes.join
    if join.fetched is not None and join.fetched.number >= newest.note_number:
        return InstallNote(join.fetched)
    if join.candidate is not None and join.candidate.digest == newest.note_digest:
        return InstallNote(join.candidate)
    return FetchFromPeer(newest)


def _fresh_answers(state: State, contacts: list[str]) -> dict[str, JoinAnswer]:
    min_asked_at = max(state.resumed_at, state.now - max_answer_age_ms(state, len(contacts)))
    answers = state.notes.join.answers_by_address
    return {
        address: answers[address]
        for address in contacts
        if address in answers and answers[address].asked_at >= min_asked_at
    }


def _is_wait_over(state: State, contacts: list[str], answers: dict[str, JoinAnswer]) -> bool:
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
    min_asked_at = state.now - max_answer_age_ms(state, len(contacts))
    join.asks = {number: ask for number, ask in join.asks.items() if ask[1] >= min_asked_at}
    current_contacts = set(contacts)
    join.first_asked_at = {
        address: at for address, at in join.first_asked_at.items() if address in current_contacts
    }
    join.answers_by_address = {
        address: answer
        for address, answer in join.answers_by_address.items()
        if address in current_contacts
    }
