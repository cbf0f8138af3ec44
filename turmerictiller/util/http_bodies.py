"""Bounded reading of HTTP bodies."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import aiohttp


async def read_body(response: aiohttp.ClientResponse, limit: int) -> bytes:
    """Return the whole body of an answer.

    :param limit: size in bytes above which the connection is closed.
    :raises ValueError: if the body is larger.
    """
    body = bytearray()
    async for chunk in response.content.iter_any():
        body += chunk
        if len(body) > limit:
            response.close()
            raise ValueError("answer is too large")
    return bytes(body)
