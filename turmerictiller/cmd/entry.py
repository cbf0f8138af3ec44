"""Command ``entry``: run an entry instance."""

from __future__ import annotations

import asyncio
import inspect
import re
from typing import TYPE_CHECKING, Annotated, Any

import typer

from turmerictiller.config import ENVIRONMENT_PREFIX, Settings, load_settings
from turmerictiller.errors import ConfigError
from turmerictiller.logs import configure_logging

if TYPE_CHECKING:
    from collections.abc import Callable

EXIT_CAN_NOT_LISTEN = 1
EXIT_BAD_SETTINGS = 2

# The first pattern that matches the name of a setting selects the help panel of its flag.
PANEL_PATTERNS = (
    (r"instance_id|failure_domain|incarnation|seed", "Identity"),
    (r".*_address|peers", "Addresses"),
    (r"max_deadline_ms|.*(drain|close|shutdown).*", "Deadlines and shutdown"),
    (r"max_.*", "Bounds"),
    (r".*(peer|gossip|health|pause).*", "Peers and health"),
)
DEFAULT_PANEL = "Searches and runs"

HELP = f"""Run an entry instance until SIGTERM.

Every flag can also be set by an environment variable, such as --caller-address by
{ENVIRONMENT_PREFIX}CALLER_ADDRESS. A flag takes precedence over its variable. All errors in the
settings are printed together, and the exit status is {EXIT_BAD_SETTINGS}. It is
{EXIT_CAN_NOT_LISTEN} if an address cannot be listened on.
"""


def register(app: typer.Typer) -> None:
    """Add the command ``entry``, with one flag per setting."""
    app.command("entry", help=HELP)(_command_with_flags(_entry))


def _entry(**flags: str | None) -> None:
    given_values = {name: value for name, value in flags.items() if value is not None}
    try:
        settings = load_settings(given_values).with_identity()
    except ConfigError as error:
        for problem in error.problems:
            typer.echo(f"turmerictiller: {with_flag_names(problem)}", err=True)
        raise typer.Exit(EXIT_BAD_SETTINGS) from None
    configure_logging(settings)
    from turmerictiller.borders.application import Application

    async def serve() -> None:
        await Application(settings).run()

    try:
        asyncio.run(serve())
    except OSError as error:
        typer.echo(f"turmerictiller: {error.strerror or error}", err=True)
        raise typer.Exit(EXIT_CAN_NOT_LISTEN) from None


def with_flag_names(problem: str) -> str:
    """Return a problem text with the names of settings replaced by their flags."""
    names = "|".join(sorted(Settings.model_fields, key=len, reverse=True))
    return re.sub(rf"\b({names})\b", lambda match: _flag_name(match[1]), problem)


def _flag_name(name: str) -> str:
    return f"--{name.replace('_', '-')}"


def _panel_name(name: str) -> str:
    return next(
        (panel for pattern, panel in PANEL_PATTERNS if re.fullmatch(pattern, name)), DEFAULT_PANEL
    )


def _command_with_flags(function: Callable[..., None]) -> Callable[..., None]:
    """Return a command with one optional flag per setting.

    The settings model validates the values.
    """

    def command(**flags: Any) -> None:
        function(**flags)

    parameters = []
    for name, field in Settings.model_fields.items():
        default = "required" if field.is_required() else f"default {field.default!r}"
        option = typer.Option(
            _flag_name(name),
            envvar=f"{ENVIRONMENT_PREFIX}{name.upper()}",
            help=f"{field.description} ({default})",
            show_default=False,
            show_envvar=False,
            rich_help_panel=_panel_name(name),
        )
        parameters.append(
            inspect.Parameter(
                name,
                inspect.Parameter.KEYWORD_ONLY,
                default=None,
                annotation=Annotated[str | None, option],
            )
        )
    command.__signature__ = inspect.Signature(parameters)  # type: ignore[attr-defined]
    command.__annotations__ = {item.name: item.annotation for item in parameters}
    return command
