"""Selection of the release note in force on this instance; its number never decreases."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from result import Err, Ok, Result

from turmerictiller.core.configuration import join_rule
from turmerictiller.core.configuration.note_state import Fetch, JoinPhase
from turmerictiller.core.configuration.notes import NoteError, NoteErrors, NoteErrorType, check_note
from turmerictiller.core.configuration.refused_notes import (
    document_digest,
    record_refusal,
    was_refused_recently,
)
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
    """Process a note received from the platform or fetched from a peer."""
    fetch = state.notes.fetch
    if fetch is not None and fetch.peer_id == event.source:
        state.notes.fetch = None
    if event.document is None:
        return
    if join_rule.is_joined(state):
        _check_and_install(state, event.source, event.document)
        return
    _store_join_note(state, event.source, event.document)
    _advance_join(state)


def on_peer_note(state: State, message: GossipMessage) -> None:
    """Use a peer's note for joining; once joined, fetch a newer note or record a conflict."""
    if not join_rule.is_joined(state):
        join_rule.record_answer(state, message)
        _advance_join(state)
        return
    assert state.note is not None
    if message.note_number > state.note.number:
        if not was_refused_recently(state, message.note_digest):
            _start_fetch(state, message.sender.id, message.sender.address)
    elif message.note_number == state.note.number and message.note_digest != state.note.digest:
        _record_conflict(state, message)


def on_round(state: State) -> None:
    """Try to join, and send asks to peers if the instance has not joined yet."""
    if join_rule.is_joined(state):
        return
    _advance_join(state)
    if not join_rule.is_joined(state):
        join_rule.ask_peers(state)


def on_peer_failed(state: State, address: str) -> None:
    """Cancel the fetch from a peer that failed, so that another peer can be tried."""
    if state.notes.fetch is not None and state.notes.fetch.address == address:
        state.notes.fetch = None


def _store_join_note(state: State, source: str, document: Any) -> None:
    """Store a note until the instance joins; prefer the highest number, then the first one."""
    checked = check_note(None, document, state.settings.max_deadline_ms)
    if isinstance(checked, Err):
        record_refusal(state, source, document, checked.err_value)
        return
    note, join = checked.ok_value, state.notes.join
    if source != PLATFORM:
        if join.fetched is None or note.number > join.fetched.number:
            join.fetched = note
        return
    stored = join.candidate
    if stored is None or note.number > stored.number:
        join.candidate = note
    elif note.digest != stored.digest:
        error_type = NoteErrorType.OLDER_NOTE
        if note.number == stored.number:
            error_type = NoteErrorType.CONFLICTING_NOTE
        message = f"note {stored.number} of the platform was seen before"
        record_refusal(state, source, document, [NoteError(error_type, "number", message)])


def _advance_join(state: State) -> None:
    step = join_rule.next_step(state)
    if isinstance(step, join_rule.FetchFromPeer):
        _start_fetch(state, step.answer.peer_id, step.answer.address)
    elif step is not None:
        _complete_join(state, step.note)


def _complete_join(state: State, note: NoteInForce) -> None:
    candidate = state.notes.join.candidate
    state.notes.join.phase = JoinPhase.JOINED
    state.notes.join.candidate = state.notes.join.fetched = None
    join_rule.clear_join_progress(state)
    _install(state, note)
    if candidate is not None:
        _check_and_install(state, PLATFORM, candidate.document)


def _check_and_install(state: State, source: str, document: Any) -> None:
    checked = _check_against_current(state, source, document)
    if source == PLATFORM:
        state.notes.platform_document = None
    if isinstance(checked, Err):
        record_refusal(state, source, document, checked.err_value)
        error_type = checked.err_value[0].type
        if error_type is NoteErrorType.WRONG_PREVIOUS and source == PLATFORM:
            state.notes.platform_document = document
        elif error_type is NoteErrorType.CONFLICTING_NOTE:
            _add_conflict(state, document_digest(document))
        return
    note = checked.ok_value
    if state.note is None or note.digest != state.note.digest:
        _install(state, note)


def _check_against_current(
    state: State, source: str, document: Any
) -> Result[NoteInForce, NoteErrors]:
    """Validate a note against the one in force.

    Two notes with the same number conflict. The successor of either one replaces both, which ends
    the conflict. A successor of the note that is not in force here is accepted if that note was
    recorded as conflicting, or if a peer has the successor in force.
    """
    max_deadline_ms = state.settings.max_deadline_ms
    checked = check_note(state.note, document, max_deadline_ms)
    if isinstance(checked, Ok):
        return checked
    if [error.type for error in checked.err_value] != [NoteErrorType.WRONG_PREVIOUS]:
        return checked
    if source == PLATFORM and document["previous"] not in state.notes.conflicting_digests:
        return checked
    return check_note(None, document, max_deadline_ms)


def _install(state: State, note: NoteInForce) -> None:
    state.note = note
    state.notes.conflicting_digests.clear()
    apply_configuration(state, note.configuration)
    state.out.append(WriteLog("notes", f"Note {note.number} is in force.", {"digest": note.digest}))


def _record_conflict(state: State, message: GossipMessage) -> None:
    assert state.note is not None
    if message.note_digest in state.notes.conflicting_digests:
        return
    message_text = f"another note with number {state.note.number} is in force"
    error = NoteError(NoteErrorType.CONFLICTING_NOTE, "number", message_text)
    record_refusal(
        state, message.sender.id, None, [error], message.note_number, message.note_digest
    )
    _add_conflict(state, message.note_digest)


def _add_conflict(state: State, note_digest: str) -> None:
    conflicts = state.notes.conflicting_digests
    if note_digest in conflicts or len(conflicts) >= MAX_CONFLICTS:
        return
    conflicts.add(note_digest)
    document = state.notes.platform_document
    if isinstance(document, dict) and document.get("previous") == note_digest:
        _check_and_install(state, PLATFORM, document)


def _start_fetch(state: State, peer_id: str, address: str) -> None:
    fetch = state.notes.fetch
    if fetch is not None and state.now < fetch.until:
        return
    until = state.now + state.settings.note_fetch_timeout_ms
    state.notes.fetch = Fetch(peer_id, address, until)
    state.out.append(FetchNote(peer_id, address))
