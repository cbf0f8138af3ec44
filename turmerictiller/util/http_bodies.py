"""Reading of HTTP bodies with a size limit."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import aiohttp


async def read_body(response: aiohttp.ClientResponse, max_bytes: int) -> bytes:
    """Return the whole body of a response.

    :param max_bytes: size in bytes above which the connection is closed.
    :raises ValueError: if the body is larger.
    """
    body = bytearray()
    async for chunk in response.content.iter_any():
        body += chunk
        if len(body) > max_bytes:
            response.close()
            raise ValueError("the body is too large")
    return bytes(body)
