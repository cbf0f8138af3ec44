"""Checks of decoded wire values; each raises ``FrameError``."""

from __future__ import annotations

import ipaddress
import math
from typing import Any

from turmerictiller.errors import FrameError

MAX_TEXT_CHARS = 64
MAX_LIST_LENGTH = 512


def text(value: Any, name: str, max_chars: int = MAX_TEXT_CHARS) -> str:
    """Return a string of bounded length."""
    if not isinstance(value, str) or len(value) > max_chars:
        raise FrameError(f"{name} is not a string of at most {max_chars} characters")
    return value


def integer(value: Any, name: str) -> int:
    """Return an integer from 0 up."""
    if not isinstance(value, int) or isinstance(value, bool) or value < 0:
        raise FrameError(f"{name} is not an integer from 0 up")
    return value


def optional_integer(value: Any, name: str) -> int | None:
    """Return an integer from 0 up, or ``None``."""
    return None if value is None else integer(value, name)


def finite(value: Any, name: str) -> float:
    """Return a finite number from 0 up."""
    if not isinstance(value, float) or not math.isfinite(value) or value < 0:
        raise FrameError(f"{name} is not a finite number from 0 up")
    return value


def items(value: Any, name: str) -> list[Any]:
    """Return a list of bounded length."""
    if not isinstance(value, list) or len(value) > MAX_LIST_LENGTH:
        raise FrameError(f"{name} is not a list of at most {MAX_LIST_LENGTH} items")
    return value


def ip_address(value: Any, name: str) -> str:
    """Return an ``IP:PORT`` that can be connected to."""
    address = text(value, name)
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        raise FrameError(f"{name} is not IP:PORT") from None
    if not (port.isascii() and port.isdecimal()) or not 1 <= int(port) <= 65535:
        raise FrameError(f"{name} has no port from 1 to 65535")
    return address
