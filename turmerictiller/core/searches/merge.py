"""Merging of hits and paging cursors."""

from __future__ import annotations

import base64
import binascii
import heapq
from dataclasses import dataclass
from typing import TYPE_CHECKING

import orjson

from turmerictiller.errors import CursorError

if TYPE_CHECKING:
    from collections.abc import Iterable

    from turmerictiller.core.events import Hit

MAX_CURSOR_CHARS = 512


Rank = tuple[float, str, str]


def rank(hit: Hit) -> Rank:
    """Return the sort key of a hit: best score first, ties by shard and document id."""
    return (-float(hit.score), hit.shard, hit.id)


def hits_after(hits: Iterable[Hit], after: Rank | None) -> list[Hit]:
    """Return the hits that belong to pages behind ``after``."""
    return [hit for hit in hits if after is None or rank(hit) > after]


def top_k(hits: Iterable[Hit], k: int) -> list[Hit]:
    """Return the best ``k`` hits in order, the same on every instance."""
    return heapq.nsmallest(k, hits, key=rank)


@dataclass(frozen=True, slots=True)
class Cursor:
    """Position of the next page.

    :param after: rank of the last hit of the page before.
    :param fingerprint: fingerprint of the search, so that a cursor fits no other search.
    """

    snapshot: str
    after: Rank
    fingerprint: str


def encode_cursor(cursor: Cursor) -> str:
    """Return the cursor as text that is safe in a URL."""
    raw = orjson.dumps([cursor.snapshot, cursor.after, cursor.fingerprint])
    return base64.urlsafe_b64encode(raw).decode()


def decode_cursor(text: str) -> Cursor:
    """Return the cursor that ``encode_cursor`` made.

    :raises CursorError: if the text is not a cursor.
    """
    if len(text) > MAX_CURSOR_CHARS:
        raise CursorError("cursor is too long")
    try:
        parts = orjson.loads(base64.urlsafe_b64decode(text.encode("ascii")))
    except (ValueError, binascii.Error) as error:
        raise CursorError("cursor can not be decoded") from error
    match parts:
        case [str(snapshot), [float(score), str(shard), str(document)], str(fingerprint)]:
            return Cursor(snapshot, (score, shard, document), fingerprint)
    raise CursorError("cursor has the wrong form")
