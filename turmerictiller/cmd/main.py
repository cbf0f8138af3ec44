"""Entry point of the command-line interface."""

from __future__ import annotations

import typer

from turmerictiller.cmd import (
    check_note,
    entry,
    explain,
    replay,
    seal_note,
    search,
    serve,
    state,
    trace,
    version,
)

app = typer.Typer(
    name="turmerictiller",
    help="A query tier that answers searches over many shards from one snapshot.",
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_show_locals=False,
)
for command in (
    entry,
    serve,
    check_note,
    seal_note,
    state,
    search,
    explain,
    trace,
    replay,
    version,
):
    command.register(app)


def main() -> None:
    """Run the command-line interface."""
    app()
