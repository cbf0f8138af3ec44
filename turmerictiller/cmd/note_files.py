"""Reading of release notes from files, and reporting of errors, for several commands."""

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
MAX_FILE_BYTES = (
    4 * MAX_NOTE_BYTES
)  # indented JSON is longer than the canonical form that is published


def read_json(path: Path) -> Any:
    """Return the JSON value in a file; exit with status 2 if it cannot be read."""
    try:
        with path.open("rb") as file:
            raw = file.read(MAX_FILE_BYTES + 1)
        if len(raw) > MAX_FILE_BYTES:
            raise error_exit(EXIT_UNREADABLE, f"{path}: larger than {MAX_FILE_BYTES} bytes")
        return orjson.loads(raw)
    except OSError as error:
        raise error_exit(EXIT_UNREADABLE, f"{path}: {error.strerror}") from None
    except orjson.JSONDecodeError as error:
        message = f"{path}: not JSON: {error.msg} at line {error.lineno}"
        raise error_exit(EXIT_UNREADABLE, message) from None


def read_previous(path: Path | None) -> NoteInForce | None:
    """Return the previous note as the note in force; exit with status 1 if it is invalid."""
    if path is None:
        return None
    checked = check_note(None, read_json(path))
    if isinstance(checked, Err):
        raise note_errors_exit(path, checked.err_value)
    return checked.ok_value


def error_exit(status: int, *lines: str) -> typer.Exit:
    """Print lines to standard error and return the exit exception to raise."""
    for line in lines:
        typer.echo(line, err=True)
    return typer.Exit(status)


def note_errors_exit(path: Path, errors: NoteErrors) -> typer.Exit:
    """Print every error with its path and return the exit exception to raise."""
    return error_exit(EXIT_INVALID, *(f"{path}: {_error_line(error)}" for error in errors))


def _error_line(error: NoteError) -> str:
    return f"{error.place}: {error.message} [{error.type.value}]"
