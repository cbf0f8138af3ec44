"""Command ``seal-note``: create a release note from changes."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import orjson
import typer
from pydantic import BaseModel, ConfigDict, ValidationError
from result import Err

from turmerictiller.cmd.note_files import (
    EXIT_INVALID,
    EXIT_UNREADABLE,
    error_exit,
    note_errors_exit,
    read_json,
    read_previous,
)
from turmerictiller.core.configuration.note_model import DefinitionsModel, WithdrawnModel
from turmerictiller.core.configuration.notes import seal_note


class Changes(BaseModel):
    """Input of an operator: the changes of a note, without its number, digest and result."""

    model_config = ConfigDict(extra="forbid", strict=True)

    added: DefinitionsModel = DefinitionsModel()
    changed: DefinitionsModel = DefinitionsModel()
    withdrawn: WithdrawnModel = WithdrawnModel()


def register(app: typer.Typer) -> None:
    """Add the command ``seal-note``."""
    app.command("seal-note")(seal_note_file)


def seal_note_file(
    changes: Annotated[Path, typer.Argument(help="JSON with added, changed and withdrawn.")],
    after: Annotated[
        Path | None, typer.Option(help="The note in force; omit it for the first note.")
    ] = None,
    out: Annotated[
        Path | None, typer.Option(help="File to write; standard output by default.")
    ] = None,
) -> None:
    """Write the release note that applies changes to the note in force.

    Exit status: 0 if the note was written, 1 if the changes are invalid, 2 if a file cannot be
    read or written.
    """
    parsed = _parse_changes(changes)
    sealed = seal_note(read_previous(after), parsed.added, parsed.changed, parsed.withdrawn)
    if isinstance(sealed, Err):
        raise note_errors_exit(changes, sealed.err_value)
    text = orjson.dumps(sealed.ok_value, option=orjson.OPT_INDENT_2).decode()
    if out is None:
        typer.echo(text)
        return
    try:
        out.write_text(text + "\n", encoding="utf-8")
    except OSError as error:
        raise error_exit(EXIT_UNREADABLE, f"{out}: {error.strerror}") from None


def _parse_changes(path: Path) -> Changes:
    try:
        return Changes.model_validate(read_json(path))
    except ValidationError as error:
        lines = [
            f"{path}: {'.'.join(str(part) for part in item['loc']) or 'changes'}: {item['msg']}"
            for item in error.errors(include_url=False, include_input=False)
        ]
        raise error_exit(EXIT_INVALID, *lines) from None
