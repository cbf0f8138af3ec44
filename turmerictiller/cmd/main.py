"""Entry point of the command line."""

from __future__ import annotations

import typer

from turmerictiller.cmd import entry

app = typer.Typer(
    name="turmerictiller",
    help="A query tier that answers searches over many shards from one snapshot.",
    no_args_is_help=True,
    add_completion=False,
)
entry.register(app)


@app.command()
def version() -> None:
    """Print the version."""
    from turmerictiller import __version__

    typer.echo(__version__)


def main() -> None:
    """Run the command line."""
    app()
