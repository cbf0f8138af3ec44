"""Command ``state``: print the state of a running process."""

from __future__ import annotations

from typing import Annotated

import typer

from turmerictiller.cmd import http


def register(app: typer.Typer) -> None:
    """Add the command ``state``."""
    app.command("state")(state)


def state(
    url: Annotated[str, typer.Argument(help="Address for operators, such as 127.0.0.1:8082.")],
) -> None:
    """Print the state dump of a running process as JSON."""
    typer.echo(http.get(f"{url.rstrip('/')}/state").decode())
