"""Validation of decoded wire values.

All functions return the value, or raise ``FrameError`` with the field name if it is invalid.
"""

from __future__ import annotations

import ipaddress
import math
from typing import Any

from turmerictiller.errors import FrameError

MAX_TEXT_CHARS = 64
MAX_LIST_LENGTH = 512


def check_text(value: Any, name: str, max_chars: int = MAX_TEXT_CHARS) -> str:
    """Check a string of limited length."""
    if not isinstance(value, str) or len(value) > max_chars:
        raise FrameError(f"{name} is not a string of at most {max_chars} characters")
    return value


def check_integer(value: Any, name: str) -> int:
    """Check a non-negative integer."""
    if not isinstance(value, int) or isinstance(value, bool) or value < 0:
        raise FrameError(f"{name} is not a non-negative integer")
    return value


def check_optional_integer(value: Any, name: str) -> int | None:
    """Check a non-negative integer or ``None``."""
    return None if value is None else check_integer(value, name)


def check_finite(value: Any, name: str) -> float:
    """Check a finite, non-negative number."""
    if not isinstance(value, float) or not math.isfinite(value) or value < 0:
        raise FrameError(f"{name} is not a finite non-negative number")
    return value


def check_list(value: Any, name: str) -> list[Any]:
    """Check a list of limited length."""
    if not isinstance(value, list) or len(value) > MAX_LIST_LENGTH:
        raise FrameError(f"{name} is not a list of at most {MAX_LIST_LENGTH} items")
    return value


def check_ip_address(value: Any, name: str) -> str:
    """Check an ``IP:PORT`` address with a port from 1 to 65535."""
    address = check_text(value, name)
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        raise FrameError(f"{name} is not IP:PORT") from None
    if not (port.isascii() and port.isdecimal()) or not 1 <= int(port) <= 65535:
        raise FrameError(f"{name} has no port from 1 to 65535")
    return address
