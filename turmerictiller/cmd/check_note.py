"""Command ``check-note``: validate a release note before it is published."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer
from result import Err

from turmerictiller.cmd.note_files import (
    EXIT_INVALID,
    MAX_NOTE_BYTES,
    error_exit,
    note_errors_exit,
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
        Path | None, typer.Option(help="The note in force, to validate the transition from it.")
    ] = None,
) -> None:
    """Validate a release note and print every error with its path.

    Exit status: 0 if the note is valid, 1 if it has errors, 2 if a file cannot be read.
    """
    document = read_json(file)
    checked = check_note(read_previous(after), document)
    if isinstance(checked, Err):
        raise note_errors_exit(file, checked.err_value)
    note = checked.ok_value
    size = len(canonical_json(note.document))
    if size > MAX_NOTE_BYTES:
        message = f"{file}: note: {size} bytes exceed the limit of the platform of {MAX_NOTE_BYTES}"
        raise error_exit(EXIT_INVALID, message)
    fronts, services = note.configuration.fronts_by_name, note.configuration.services_by_name
    typer.echo(
        f"Note {note.number} is correct: {len(fronts)} fronts, {len(services)} services, "
        f"digest {note.digest}."
    )
