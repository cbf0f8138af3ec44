"""Which release note is in force on this instance."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err

from turmerictiller.effects import WriteLog
from turmerictiller.membership import install_configuration
from turmerictiller.notes import check_note

if TYPE_CHECKING:
    from turmerictiller.events import NoteSeen
    from turmerictiller.state import State


def on_note_seen(state: State, event: NoteSeen) -> None:
    """Put a note in force if it is acceptable."""
    checked = check_note(state.note, event.document, state.settings.max_deadline_ms)
    if isinstance(checked, Err):
        state.counters[f"notes.refused.{checked.err_value[0].type.value}"] += 1
        return
    note = checked.ok_value
    if state.note is not None and note.digest == state.note.digest:
        return
    state.note = note
    install_configuration(state, note.configuration)
    state.out.append(WriteLog("notes", f"Note {note.number} is in force.", {"digest": note.digest}))
