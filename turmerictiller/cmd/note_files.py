"""Release notes in files, for the commands that check and seal them."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import orjson
import typer
from result import Err

from turmerictiller.config import Settings
from turmerictiller.core.configuration.notes import NoteError, NoteErrors, check_note
from turmerictiller.core.fronts import NoteInForce

EXIT_INVALID = 1
EXIT_UNREADABLE = 2
MAX_NOTE_BYTES: int = Settings.model_fields["max_note_bytes"].default
MAX_FILE_BYTES = 4 * MAX_NOTE_BYTES  # an indented note is longer than its published form


def read_json(path: Path) -> Any:
    """Return the JSON value in a file; exit with 2 if there is none."""
    try:
        with path.open("rb") as file:
            raw = file.read(MAX_FILE_BYTES + 1)
        if len(raw) > MAX_FILE_BYTES:
            raise fail(EXIT_UNREADABLE, f"{path}: is larger than {MAX_FILE_BYTES} bytes")
        return orjson.loads(raw)
    except OSError as error:
        raise fail(EXIT_UNREADABLE, f"{path}: {error.strerror}") from None
    except orjson.JSONDecodeError as error:
        message = f"{path}: is not JSON: {error.msg} at line {error.lineno}"
        raise fail(EXIT_UNREADABLE, message) from None


def read_previous(path: Path | None) -> NoteInForce | None:
    """Return the preceding note as it is in force; exit with 1 if it has mistakes."""
    if path is None:
        return None
    checked = check_note(None, read_json(path))
    if isinstance(checked, Err):
        raise fail_with_errors(path, checked.err_value)
    return checked.ok_value


def fail(code: int, *lines: str) -> typer.Exit:
    """Print lines to standard error and return the exit to raise."""
    for line in lines:
        typer.echo(line, err=True)
    return typer.Exit(code)


def fail_with_errors(path: Path, errors: NoteErrors) -> typer.Exit:
    """Print every mistake with its place and return the exit to raise."""
    return fail(EXIT_INVALID, *(f"{path}: {_line(error)}" for error in errors))


def _line(error: NoteError) -> str:
    return f"{error.place}: {error.message} [{error.type.value}]"
