"""Merging of the records that servers return."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

RECORD_BYTES = 16


def merge_greatest(bodies: Iterable[bytes], top: int) -> bytes:
    """Return the greatest records of all bodies, greatest first; equal records all count.

    Bytes after the last whole record of a body are none.
    """
    records = [
        body[start : start + RECORD_BYTES]
        for body in bodies
        for start in range(0, len(body) - RECORD_BYTES + 1, RECORD_BYTES)
    ]
    records.sort(reverse=True)
    return b"".join(records[:top])
