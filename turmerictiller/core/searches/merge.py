"""Merging of hits, and pagination cursors."""

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
    """Return the sort key of a hit: descending score, then shard and document id."""
    return (-float(hit.score), hit.shard, hit.id)


def hits_after(hits: Iterable[Hit], after: Rank | None) -> list[Hit]:
    """Return the hits that sort after the rank ``after``, or all hits if it is ``None``."""
    return [hit for hit in hits if after is None or rank(hit) > after]


def top_k(hits: Iterable[Hit], k: int) -> list[Hit]:
    """Return the best ``k`` hits in a deterministic order."""
    return heapq.nsmallest(k, hits, key=rank)


@dataclass(frozen=True, slots=True)
class Cursor:
    """Start position of the next page of a search.

    :param after: rank of the last hit of the previous page.
    :param fingerprint: fingerprint of the search; a cursor is rejected for any other search.
    """

    snapshot: str
    after: Rank
    fingerprint: str


def encode_cursor(cursor: Cursor) -> str:
    """Encode a cursor as URL-safe text."""
    raw = orjson.dumps([cursor.snapshot, cursor.after, cursor.fingerprint])
    return base64.urlsafe_b64encode(raw).decode()


def decode_cursor(text: str) -> Cursor:
    """Decode a cursor from the text that ``encode_cursor`` returned.

    :raises CursorError: if the text is not a valid cursor.
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
