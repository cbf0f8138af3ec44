"""Check a release note before it is published."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer
from result import Err

from turmerictiller.cmd.note_files import (
    EXIT_INVALID,
    MAX_NOTE_BYTES,
    fail,
    fail_with_errors,
    read_json,
    read_previous,
)
from turmerictiller.core.configuration.notes import check_note
from turmerictiller.util.canonical import canonical_json


def register(app: typer.Typer) -> None:
    """Add the command ``check-note``."""
    app.command("check-note")(check_note_file)


def check_note_file(
    file: Annotated[Path, typer.Argument(help="The release note, as JSON.")],
    after: Annotated[
        Path | None, typer.Option(help="The note that is in force, to check the step from it.")
    ] = None,
) -> None:
    """Check a release note and list every mistake with its place.

    Exit status: 0 if instances would accept the note, 1 if it has mistakes, 2 if a file can not be
    read.
    """
    document = read_json(file)
    checked = check_note(read_previous(after), document)
    if isinstance(checked, Err):
        raise fail_with_errors(file, checked.err_value)
    note = checked.ok_value
    size = len(canonical_json(note.document))
    if size > MAX_NOTE_BYTES:
        message = f"{file}: note: has {size} bytes, more than the platform's {MAX_NOTE_BYTES}"
        raise fail(EXIT_INVALID, message)
    fronts, services = note.configuration.fronts_by_name, note.configuration.services_by_name
    typer.echo(
        f"Note {note.number} is correct: {len(fronts)} fronts, {len(services)} services, "
        f"digest {note.digest}."
    )
