"""Run an entry instance."""

from __future__ import annotations

import asyncio
import inspect
from typing import TYPE_CHECKING, Annotated, Any

import typer

from turmerictiller.config import ENVIRONMENT_PREFIX, Settings, load_settings
from turmerictiller.errors import ConfigError
from turmerictiller.logs import set_up

if TYPE_CHECKING:
    from collections.abc import Callable

EXIT_BAD_SETTINGS = 2


def register(app: typer.Typer) -> None:
    """Add the command ``entry``, with one flag per setting."""
    app.command("entry", help="Run an entry instance until SIGTERM.")(_with_flags(_entry))


def _entry(**flags: str | None) -> None:
    given = {name: value for name, value in flags.items() if value is not None}
    try:
        settings = load_settings(given).with_identity()
    except ConfigError as error:
        for problem in error.problems:
            typer.echo(f"turmerictiller: {problem}", err=True)
        raise typer.Exit(EXIT_BAD_SETTINGS) from None
    set_up(settings.instance_id)
    from turmerictiller.application import Application

    async def serve() -> None:
        await Application(settings).run()

    asyncio.run(serve())


def _with_flags(function: Callable[..., None]) -> Callable[..., None]:
    """Give a function one optional flag per setting; the settings model checks the values."""

    def command(**flags: Any) -> None:
        function(**flags)

    parameters = []
    for name, field in Settings.model_fields.items():
        default = "required" if field.is_required() else f"default: {field.default!r}"
        option = typer.Option(
            f"--{name.replace('_', '-')}",
            envvar=f"{ENVIRONMENT_PREFIX}{name.upper()}",
            help=f"{field.description} [{default}]",
            show_default=False,
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
