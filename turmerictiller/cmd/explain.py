"""Tell the story of a request from logs."""

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
    request_id: Annotated[str, typer.Argument(help="Identity that the caller gave its request.")],
    logs: Annotated[
        list[Path] | None, typer.Argument(help="Log files; standard input if left out.")
    ] = None,
) -> None:
    """Print what happened to a request, and what its instances believed at that time."""
    from turmerictiller.explain import read_story, tell

    try:
        story = read_story(request_id, _lines(logs))
    except OSError as error:
        typer.echo(f"turmerictiller: {error.filename}: {error.strerror}", err=True)
        raise typer.Exit(EXIT_CAN_NOT_READ) from None
    for line in tell(story):
        typer.echo(line)
    if not story.lines:
        raise typer.Exit(EXIT_NOT_FOUND)


def _lines(logs: list[Path] | None) -> Iterator[bytes]:
    if not logs:
        yield from sys.stdin.buffer
        return
    for path in logs:
        with path.open("rb") as file:
            yield from file
