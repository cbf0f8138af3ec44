"""Reading of HTTP bodies with a size limit."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import aiohttp

# Each chunk costs processor time, so a body may have this many, and one more for each of its
# BYTES_PER_CHUNK bytes.
MAX_SMALL_CHUNKS = 1_024
BYTES_PER_CHUNK = 64


async def read_body(response: aiohttp.ClientResponse, max_bytes: int) -> bytes:
    """Return the whole body of a response.

    :param max_bytes: size in bytes above which the connection is closed.
    :raises ValueError: if the body is larger, or comes in too many chunks.
    """
    body = bytearray()
    chunks = 0
    async for data, _ in response.content.iter_chunks():
        body += data
        chunks += 1
        if len(body) > max_bytes or chunks > MAX_SMALL_CHUNKS + len(body) // BYTES_PER_CHUNK:
            response.close()
            raise ValueError("the body is too large")
    return bytes(body)
