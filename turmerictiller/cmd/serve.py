"""Command ``serve``: run an instance on the users' platform."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer


def register(app: typer.Typer) -> None:
    """Add the command ``serve``."""
    app.command("serve")(_serve)


def _serve(
    settings: Annotated[
        Path,
        typer.Option(
            envvar="TURMERICTILLER_NODE_FILE", help="Settings file written by the platform."
        ),
    ],
) -> None:
    """Run an instance on the platform until SIGTERM; SIGHUP reloads the settings."""
    from turmerictiller.platform.__main__ import serve

    raise typer.Exit(serve(settings))
