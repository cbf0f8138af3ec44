"""Which release note is in force on this instance; its number only grows."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from result import Err, Ok, Result

from turmerictiller.core.configuration import join_rule
from turmerictiller.core.configuration.note_state import Fetch, JoinPhase
from turmerictiller.core.configuration.notes import NoteError, NoteErrors, NoteErrorType, check_note
from turmerictiller.core.configuration.refused_notes import digest_of, refuse, was_refused_lately
from turmerictiller.core.effects import FetchNote, WriteLog
from turmerictiller.core.servers.membership import apply_configuration

if TYPE_CHECKING:
    from turmerictiller.core.events import NoteSeen
    from turmerictiller.core.fronts import NoteInForce
    from turmerictiller.core.peers.gossip_model import GossipMessage
    from turmerictiller.core.state import State

PLATFORM = "platform"
MAX_CONFLICTS = 8


def on_note_seen(state: State, event: NoteSeen) -> None:
    """Consider a note of the platform or of a peer."""
    fetch = state.notes.fetch
    if fetch is not None and fetch.peer_id == event.source:
        state.notes.fetch = None
    if event.document is None:
        return
    if join_rule.is_joined(state):
        _consider(state, event.source, event.document)
        return
    _keep(state, event.source, event.document)
    _try_join(state)


def on_peer_note(state: State, message: GossipMessage) -> None:
    """Compare the note of a peer with the own one."""
    if not join_rule.is_joined(state):
        join_rule.observe_answer(state, message)
        _try_join(state)
        return
    assert state.note is not None
    if message.note_number > state.note.number:
        if not was_refused_lately(state, message.note_digest):
            _fetch(state, message.sender.id, message.sender.address)
    elif message.note_number == state.note.number and message.note_digest != state.note.digest:
        _observe_conflict(state, message)


def on_round(state: State) -> None:
    """Take the next step towards the first note, if there is none yet."""
    if join_rule.is_joined(state):
        return
    _try_join(state)
    if not join_rule.is_joined(state):
        join_rule.ask_peers(state)


def on_peer_failed(state: State, address: str) -> None:
    """Let another peer be asked for its note."""
    if state.notes.fetch is not None and state.notes.fetch.address == address:
        state.notes.fetch = None


def _keep(state: State, source: str, document: Any) -> None:
    """Keep a note until the join rule allows one; the highest number wins, then the first."""
    checked = check_note(None, document, state.settings.max_deadline_ms)
    if isinstance(checked, Err):
        refuse(state, source, document, checked.err_value)
        return
    note, join = checked.ok_value, state.notes.join
    if source != PLATFORM:
        if join.fetched is None or note.number > join.fetched.number:
            join.fetched = note
        return
    known = join.candidate
    if known is None or note.number > known.number:
        join.candidate = note
    elif note.digest != known.digest:
        kind = NoteErrorType.OLDER_NOTE
        if note.number == known.number:
            kind = NoteErrorType.CONFLICTING_NOTE
        message = f"note {known.number} of the platform was seen before"
        refuse(state, source, document, [NoteError(kind, "number", message)])


def _try_join(state: State) -> None:
    step = join_rule.decide(state)
    if isinstance(step, join_rule.FetchFrom):
        _fetch(state, step.answer.peer_id, step.answer.address)
    elif step is not None:
        _join(state, step.note)


def _join(state: State, note: NoteInForce) -> None:
    candidate = state.notes.join.candidate
    state.notes.join.phase = JoinPhase.JOINED
    state.notes.join.candidate = state.notes.join.fetched = None
    join_rule.finish(state)
    _install(state, note)
    if candidate is not None:
        _consider(state, PLATFORM, candidate.document)


def _consider(state: State, source: str, document: Any) -> None:
    checked = _check(state, source, document)
    if source == PLATFORM:
        state.notes.platform_document = None
    if isinstance(checked, Err):
        refuse(state, source, document, checked.err_value)
        kind = checked.err_value[0].type
        if kind is NoteErrorType.WRONG_PREVIOUS and source == PLATFORM:
            state.notes.platform_document = document
        elif kind is NoteErrorType.CONFLICTING_NOTE:
            _add_conflict(state, digest_of(document))
        return
    note = checked.ok_value
    if state.note is None or note.digest != state.note.digest:
        _install(state, note)


def _check(state: State, source: str, document: Any) -> Result[NoteInForce, NoteErrors]:
    """Check a note against the one in force.

    A note that follows another note with the number of the one in force replaces both, so that a
    conflict ends. That there is such a note is known from a conflict seen before, or because a peer
    has the following note in force.
    """
    limit = state.settings.max_deadline_ms
    checked = check_note(state.note, document, limit)
    if isinstance(checked, Ok):
        return checked
    if [error.type for error in checked.err_value] != [NoteErrorType.WRONG_PREVIOUS]:
        return checked
    if source == PLATFORM and document["previous"] not in state.notes.conflicting_digests:
        return checked
    return check_note(None, document, limit)


def _install(state: State, note: NoteInForce) -> None:
    state.note = note
    state.notes.conflicting_digests.clear()
    apply_configuration(state, note.configuration)
    state.out.append(WriteLog("notes", f"Note {note.number} is in force.", {"digest": note.digest}))


def _observe_conflict(state: State, message: GossipMessage) -> None:
    assert state.note is not None
    if message.note_digest in state.notes.conflicting_digests:
        return
    text = f"another note with number {state.note.number} is in force"
    error = NoteError(NoteErrorType.CONFLICTING_NOTE, "number", text)
    refuse(state, message.sender.id, None, [error], message.note_number, message.note_digest)
    _add_conflict(state, message.note_digest)


def _add_conflict(state: State, note_digest: str) -> None:
    conflicts = state.notes.conflicting_digests
    if note_digest in conflicts or len(conflicts) >= MAX_CONFLICTS:
        return
    conflicts.add(note_digest)
    document = state.notes.platform_document
    if isinstance(document, dict) and document.get("previous") == note_digest:
        _consider(state, PLATFORM, document)


def _fetch(state: State, peer_id: str, address: str) -> None:
    fetch = state.notes.fetch
    if fetch is not None and state.now < fetch.until:
        return
    until = state.now + state.settings.note_fetch_timeout_ms
    state.notes.fetch = Fetch(peer_id, address, until)
    state.out.append(FetchNote(peer_id, address))
