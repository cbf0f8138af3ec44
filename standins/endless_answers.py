"""Answers without end, in each form that HTTP allows, as faulty servers send them."""

from __future__ import annotations

import asyncio
import itertools
from contextlib import suppress
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

MAX_SENT_BYTES = 268_435_456  # ends a stand-in whose caller never closes the connection
BLOCK_BYTES = 65_536

_CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n%s\r\n"
_LENGTH = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n%s\r\n"


def _block(unit: bytes) -> bytes:
    return unit * max(1, BLOCK_BYTES // len(unit))


def _foreign(length: int) -> bytes:
    return _LENGTH % (length, b"Request-Id: other\r\nServer-Stamp: s.1.other\r\n") + b"b" * length


# First bytes and the block that is repeated; %(head)s stands for the headers of the right answer,
# and %(answer)s for all of it.
FORMS: dict[str, tuple[bytes, bytes]] = {
    "status": (b"HTTP/1.1 200 ", _block(b"O")),
    "header": (b"HTTP/1.1 200 OK\r\nX: ", _block(b"x")),
    "headers": (b"HTTP/1.1 200 OK\r\n", _block(b"a:b\r\n")),
    "empty_lines": (b"", _block(b"\r\n")),
    "interim": (b"", _block(b"HTTP/1.1 100 Continue\r\n\r\n")),
    "body": (b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n%(head)s\r\n", _block(b"b")),
    "until_close": (b"HTTP/1.1 200 OK\r\n%(head)s\r\n", _block(b"b")),
    "chunks": (_CHUNKED % b"%(head)s", _block(b"400\r\n%s\r\n" % (b"b" * 1_024))),
    "small_chunks": (_CHUNKED % b"%(head)s", _block(b"1\r\nb\r\n")),
    "chunk_size": (_CHUNKED % b"%(head)s", _block(b"0")),
    "extension": (_CHUNKED % b"%(head)s" + b"1;", _block(b"e")),
    "trailers": (_CHUNKED % b"%(head)s" + b"1\r\nb\r\n0\r\n", _block(b"a:b\r\n")),
    "foreign_answers": (b"", _block(_foreign(16))),
    "large_foreign_answers": (b"", _foreign(BLOCK_BYTES)),
    "unnamed_answers": (b"", _block(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")),
    "copies": (b"", b"%(answer)s" * 128),
    "garbage": (b"", _block(b"\x00\xff")),
}


def blocks(form: str, answer: bytes) -> Iterator[bytes]:
    """Return the blocks of an endless answer.

    :param answer: the right answer to the request, with a length.
    """
    head = b"".join(
        line + b"\r\n"
        for line in answer.partition(b"\r\n\r\n")[0].split(b"\r\n")[1:]
        if not line.startswith(b"Content-Length:")
    )
    first, block = (
        part.replace(b"%(head)s", head).replace(b"%(answer)s", answer) for part in FORMS[form]
    )
    return itertools.chain([first] if first else [], itertools.repeat(block))


async def send_endless_answer(writer: asyncio.StreamWriter, form: str, answer: bytes) -> int:
    """Send an endless answer until the caller closes; return the bytes that were sent."""
    sent_bytes = 0
    with suppress(ConnectionError):
        for block in blocks(form, answer):
            if writer.transport.is_closing() or sent_bytes > MAX_SENT_BYTES:
                break
            writer.write(block)
            sent_bytes += len(block)
            await writer.drain()
    return sent_bytes
