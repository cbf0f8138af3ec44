"""Command ``replay``: replay recorded events and compare their effects."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from turmerictiller.cmd.note_files import EXIT_UNREADABLE, error_exit
from turmerictiller.errors import TraceError
from turmerictiller.recording.codec import dumps
from turmerictiller.recording.replay import Step
from turmerictiller.recording.replay import replay as replay_trace

EXIT_DIFFERENT = 1


def register(app: typer.Typer) -> None:
    """Add the command ``replay``."""
    app.command("replay")(replay)


def replay(
    file: Annotated[Path, typer.Argument(help="File written by the command trace.")],
) -> None:
    """Replay recorded events and report the first one whose effects differ.

    Exit status: 0 if all effects are the same, 1 if some differ, 2 if the file cannot be read.
    """
    try:
        outcome = replay_trace(file.read_bytes().splitlines())
    except OSError as error:
        raise error_exit(EXIT_UNREADABLE, f"{file}: {error.strerror}") from None
    except TraceError as error:
        raise error_exit(EXIT_UNREADABLE, f"{file}: {error}") from None
    header = outcome.header
    if header.get("left_out"):
        typer.echo(f"Settings left out of the trace: {', '.join(header['left_out'])}.")
    if outcome.differing is not None:
        typer.echo("\n".join(difference_lines(outcome.differing)))
        raise typer.Exit(EXIT_DIFFERENT)
    typer.echo(
        f"Replayed {outcome.events} events of {header['settings']['instance_id']}: no difference."
    )


def difference_lines(step: Step) -> list[str]:
    """Return the description of the first event whose effects differ."""
    return [
        f"Line {step.line}: the effects differ (recorded {step.recorded_digest}, "
        f"now {step.replayed_digest}).",
        f"Event: {dumps(step.event).decode()}",
        *(f"Effect now: {dumps(effect).decode()}" for effect in step.effects),
    ]
