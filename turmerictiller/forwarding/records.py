"""Merging of the records in servers' answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

RECORD_BYTES = 16


def merge_greatest(bodies: Iterable[bytes], top: int) -> bytes:
    """Return the greatest records of all bodies in descending order, duplicates included.

    Bytes after the last whole record of a body are ignored.

    :param top: maximum number of records.
    """
    records = [
        body[start : start + RECORD_BYTES]
        for body in bodies
        for start in range(0, len(body) - RECORD_BYTES + 1, RECORD_BYTES)
    ]
    records.sort(reverse=True)
    return b"".join(records[:top])
