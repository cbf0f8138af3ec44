"""Command ``version``: print the version."""

from __future__ import annotations

import typer

from turmerictiller import __version__


def register(app: typer.Typer) -> None:
    """Add the command ``version``."""
    app.command("version")(version)


def version() -> None:
    """Print the version."""
    typer.echo(__version__)
