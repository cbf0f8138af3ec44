"""Start an instance on the platform with ``python -m turmerictiller.platform``.

Equivalent to ``turmerictiller serve``, but without importing the other commands: their imports
would take most of the time from a kill to the first answer.
"""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

import uvloop

from turmerictiller.errors import ConfigError
from turmerictiller.platform.settings import SETTINGS_VARIABLE, read_settings

EXIT_CAN_NOT_LISTEN = 1
EXIT_BAD_SETTINGS = 2


def serve(path: Path) -> int:
    """Run an instance with the given settings file; return the exit status."""
    try:
        node = read_settings(path)
    except ConfigError as error:
        for problem in error.problems:
            print(f"turmerictiller: {problem}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    from turmerictiller.platform.application import PlatformApplication

    async def run() -> None:
        await PlatformApplication(path, node).run()

    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(run())
    except OSError as error:
        print(f"turmerictiller: {error.strerror or error}", file=sys.stderr)
        return EXIT_CAN_NOT_LISTEN
    return 0


def main() -> int:
    """Run an instance with the settings file named by the environment."""
    name = os.environ.get(SETTINGS_VARIABLE)
    if not name:
        print(f"turmerictiller: {SETTINGS_VARIABLE} is not set", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    return serve(Path(name))


if __name__ == "__main__":
    sys.exit(main())
