"""Command ``explain``: print the timeline of a request from logs."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import typer

if TYPE_CHECKING:
    from collections.abc import Iterator

EXIT_NOT_FOUND = 1
EXIT_CAN_NOT_READ = 2


def register(app: typer.Typer) -> None:
    """Add the command ``explain``."""
    app.command("explain")(_explain)


def _explain(
    request_id: Annotated[str, typer.Argument(help="Request id that the caller sent.")],
    logs: Annotated[
        list[Path] | None, typer.Argument(help="Log files; standard input by default.")
    ] = None,
) -> None:
    """Print the timeline of a request, and the state that its instances had observed by its end."""
    from turmerictiller.explain import format_timeline, read_timeline

    try:
        timeline = read_timeline(request_id, _read_lines(logs))
    except OSError as error:
        typer.echo(f"turmerictiller: {error.filename}: {error.strerror}", err=True)
        raise typer.Exit(EXIT_CAN_NOT_READ) from None
    for line in format_timeline(timeline):
        typer.echo(line)
    if not timeline.lines:
        raise typer.Exit(EXIT_NOT_FOUND)


def _read_lines(logs: list[Path] | None) -> Iterator[bytes]:
    if not logs:
        yield from sys.stdin.buffer
        return
    for path in logs:
        with path.open("rb") as file:
            yield from file
