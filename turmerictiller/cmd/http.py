"""HTTP requests of the command line to a running process."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import aiohttp
import orjson

from turmerictiller.cmd.note_files import EXIT_UNREADABLE, error_exit

if TYPE_CHECKING:
    import typer

# A trace of the largest size that the settings are intended for.
MAX_RESPONSE_BYTES = 256 * 1024 * 1024
RESPONSE_MARGIN_S = 5.0


def get(url: str, timeout_s: float = 10.0) -> bytes:
    """Return the body at a URL; exit with status 2 unless the response status is 200."""
    status, body = asyncio.run(_request("GET", _with_scheme(url), None, timeout_s))
    if status != 200:
        raise error_exit(EXIT_UNREADABLE, f"{url}: response status {status}")
    return body


def post_json(url: str, value: Any, timeout_s: float) -> tuple[int, Any]:
    """Post JSON and return the status and the decoded JSON body of the response.

    Exit with status 2 if there is no response or its body is not JSON.
    """
    status, body = asyncio.run(_request("POST", _with_scheme(url), orjson.dumps(value), timeout_s))
    try:
        return status, orjson.loads(body)
    except orjson.JSONDecodeError:
        message = f"{url}: response status {status}, body is not JSON"
        raise error_exit(EXIT_UNREADABLE, message) from None


def _with_scheme(url: str) -> str:
    return url if "://" in url else f"http://{url}"


async def _request(
    method: str, url: str, data: bytes | None, timeout_s: float
) -> tuple[int, bytes]:
    timeout = aiohttp.ClientTimeout(total=timeout_s)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.request(
                method, url, data=data, headers={"Content-Type": "application/json"}
            ) as response,
        ):
            return response.status, await _read_body(response)
    except TimeoutError:
        raise _request_error_exit(url, f"no response within {timeout_s:g} s") from None
    except (aiohttp.ClientError, OSError, ValueError) as error:
        raise _request_error_exit(url, str(error) or type(error).__name__) from None


async def _read_body(response: aiohttp.ClientResponse) -> bytes:
    body = bytearray()
    async for chunk in response.content.iter_any():
        body += chunk
        if len(body) > MAX_RESPONSE_BYTES:
            raise ValueError("the response body is too large")
    return bytes(body)


def _request_error_exit(url: str, reason: str) -> typer.Exit:
    return error_exit(EXIT_UNREADABLE, f"{url}: {reason}")
