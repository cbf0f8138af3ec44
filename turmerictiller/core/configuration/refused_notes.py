"""Refused notes, kept for operators."""

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

MAX_ERRORS_KEPT = 8
REFETCH_AFTER_MS = 30_000.0


def document_digest(document: Any) -> str:
    """Return the digest of a note, or of any other document that has a canonical form."""
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
    """Keep a refused note with its mistakes; the one seen longest ago makes room.

    :param number: number of a note whose document is not at hand.
    """
    state.counters[f"notes.refused.{errors[0].type.value}"] += 1
    note_digest = note_digest or document_digest(document)
    if isinstance(document, dict) and isinstance(document.get("number"), int):
        number = document["number"]
    kept = state.notes.refused_by_digest
    known = kept.pop(note_digest, None)
    if known is None:
        fields = {"number": number, "source": source, "reason": errors[0].type.value}
        state.out.append(WriteLog("notes", "A note was refused.", fields))
    times = known.times + 1 if known else 1
    first_errors = tuple(errors[:MAX_ERRORS_KEPT])
    kept[note_digest] = RefusedNote(number, note_digest, source, first_errors, state.now, times)
    while len(kept) > state.settings.max_refused_notes:
        del kept[next(iter(kept))]


def was_refused_recently(state: State, note_digest: str) -> bool:
    """Return whether fetching a note again would soon end in the same refusal."""
    known = state.notes.refused_by_digest.get(note_digest)
    if known is None or known.errors[0].type is NoteErrorType.WRONG_PREVIOUS:
        # What the platform's note lacked, a peer that has the note in force makes up for.
        return False
    return state.now - known.last_at < REFETCH_AFTER_MS
