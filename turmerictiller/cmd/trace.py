"""Command ``trace``: save the recent events of a running process."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from turmerictiller.cmd import http
from turmerictiller.cmd.note_files import EXIT_UNREADABLE, error_exit

TIMEOUT_S = 60.0


def register(app: typer.Typer) -> None:
    """Add the command ``trace``."""
    app.command("trace")(trace)


def trace(
    url: Annotated[str, typer.Argument(help="Address for operators, such as 127.0.0.1:8082.")],
    out: Annotated[Path, typer.Option(help="File to write.")] = Path("trace.jsonl"),
) -> None:
    """Save the recent events of a running process, to replay them offline.

    The file contains queries and answers of callers, but no secrets of the process.
    """
    body = http.get(f"{url.rstrip('/')}/trace", TIMEOUT_S)
    try:
        out.write_bytes(body)
    except OSError as error:
        raise error_exit(EXIT_UNREADABLE, f"{out}: {error.strerror}") from None
    typer.echo(f"Wrote {out}: {len(body)} bytes, {body.count(bytes([10]))} lines.")
