"""Run an entry instance."""

from __future__ import annotations

import asyncio
import inspect
import re
from typing import TYPE_CHECKING, Annotated, Any

import typer

from turmerictiller.config import ENVIRONMENT_PREFIX, Settings, load_settings
from turmerictiller.errors import ConfigError
from turmerictiller.logs import set_up

if TYPE_CHECKING:
    from collections.abc import Callable

EXIT_CAN_NOT_LISTEN = 1
EXIT_BAD_SETTINGS = 2

# The first rule that matches the name of a setting gives the panel of its flag.
PANEL_RULES = (
    (r"instance_id|failure_domain|incarnation|seed", "Identity"),
    (r".*_address|peers", "Addresses"),
    (r"max_deadline_ms|.*(drain|close|shutdown).*", "Deadlines and shutdown"),
    (r"max_.*", "Bounds"),
    (r".*(peer|gossip|health|pause).*", "Peers and health"),
)
OTHER_PANEL = "Searches and runs"

HELP = f"""Run an entry instance until SIGTERM.

Every flag can also be given as an environment variable: --caller-address as
{ENVIRONMENT_PREFIX}CALLER_ADDRESS. A flag wins over its variable. All mistakes in the settings are
listed at once; then the exit status is {EXIT_BAD_SETTINGS} and nothing is started. It is {EXIT_CAN_NOT_LISTEN} if an address can
not be listened on.
"""


def register(app: typer.Typer) -> None:
    """Add the command ``entry``, with one flag per setting."""
    app.command("entry", help=HELP)(_with_flags(_entry))


def _entry(**flags: str | None) -> None:
    given = {name: value for name, value in flags.items() if value is not None}
    try:
        settings = load_settings(given).with_identity()
    except ConfigError as error:
        for problem in error.problems:
            typer.echo(f"turmerictiller: {with_flag_names(problem)}", err=True)
        raise typer.Exit(EXIT_BAD_SETTINGS) from None
    set_up(settings)
    from turmerictiller.borders.application import Application

    async def serve() -> None:
        await Application(settings).run()

    try:
        asyncio.run(serve())
    except OSError as error:
        typer.echo(f"turmerictiller: {error.strerror or error}", err=True)
        raise typer.Exit(EXIT_CAN_NOT_LISTEN) from None


def with_flag_names(problem: str) -> str:
    """Return a problem with each setting named by its flag."""
    names = "|".join(sorted(Settings.model_fields, key=len, reverse=True))
    return re.sub(rf"\b({names})\b", lambda match: _flag(match[1]), problem)


def _flag(name: str) -> str:
    return f"--{name.replace('_', '-')}"


def _panel(name: str) -> str:
    return next((panel for rule, panel in PANEL_RULES if re.fullmatch(rule, name)), OTHER_PANEL)


def _with_flags(function: Callable[..., None]) -> Callable[..., None]:
    """Give a function one optional flag per setting; the settings model checks the values."""

    def command(**flags: Any) -> None:
        function(**flags)

    parameters = []
    for name, field in Settings.model_fields.items():
        default = "required" if field.is_required() else f"default {field.default!r}"
        option = typer.Option(
            _flag(name),
            envvar=f"{ENVIRONMENT_PREFIX}{name.upper()}",
            help=f"{field.description} ({default})",
            show_default=False,
            show_envvar=False,
            rich_help_panel=_panel(name),
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
