"""Structured logs by eliot, one prefix per part."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Any

import eliot

if TYPE_CHECKING:
    from collections.abc import Callable


def set_up(instance_id: str) -> None:
    """Write logs to standard error as one JSON object per line."""
    eliot.add_global_fields(instance=instance_id)
    eliot.to_file(sys.stderr)


def part_logger(part: str) -> Callable[..., None]:
    """Return a function that logs short sentences under the prefix of a part."""

    def log(message: str, **fields: Any) -> None:
        eliot.log_message(message_type=f"tiller.{part}", message=message, **fields)

    return log
