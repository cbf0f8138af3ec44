"""Record of refused notes for operators."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from result import Ok

from turmerictiller.core.configuration.note_model import to_document
from turmerictiller.core.configuration.note_state import RefusedNote
from turmerictiller.core.configuration.notes import NoteErrorType, parse_note
from turmerictiller.core.effects import WriteLog
from turmerictiller.util.canonical import digest

if TYPE_CHECKING:
    from turmerictiller.core.configuration.notes import NoteErrors
    from turmerictiller.core.state import State

MAX_ERRORS_PER_NOTE = 8
REFETCH_AFTER_MS = 30_000.0


def document_digest(document: Any) -> str:
    """Return the digest of a document, which need not be a valid note.

    The digest is empty if the document has no canonical form.
    """
    parsed = parse_note(document)
    if isinstance(parsed, Ok):
        return digest(to_document(parsed.ok_value))
    try:
        return digest(document)
    except (TypeError, ValueError):
        return ""


def record_refusal(
    state: State,
    source: str,
    document: Any,
    errors: NoteErrors,
    number: int | None = None,
    note_digest: str = "",
) -> None:
    """Record a refused note with its errors; evict the least recently refused above the limit.

    :param number: number of the note if its document is not available.
    :param note_digest: digest of the note if its document is not available.
    """
    state.counters[f"notes.refused.{errors[0].type.value}"] += 1
    note_digest = note_digest or document_digest(document)
    if isinstance(document, dict) and isinstance(document.get("number"), int):
        number = document["number"]
    refused = state.notes.refused_by_digest
    previous = refused.pop(note_digest, None)
    if previous is None:
        fields = {"number": number, "source": source, "reason": errors[0].type.value}
        state.out.append(WriteLog("notes", "A note was refused.", fields))
    times = previous.times + 1 if previous else 1
    first_errors = tuple(errors[:MAX_ERRORS_PER_NOTE])
    refused[note_digest] = RefusedNote(number, note_digest, source, first_errors, state.now, times)
    while len(refused) > state.settings.max_refused_notes:
        del refused[next(iter(refused))]


def was_refused_recently(state: State, note_digest: str) -> bool:
    """Return whether a note was refused recently and another fetch would be refused again."""
    previous = state.notes.refused_by_digest.get(note_digest)
    if previous is None or previous.errors[0].type is NoteErrorType.WRONG_PREVIOUS:
        # A note refused for its predecessor is accepted from a peer that has it in force.
        return False
    return state.now - previous.last_at < REFETCH_AFTER_MS
