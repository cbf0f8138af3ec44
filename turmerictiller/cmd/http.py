"""HTTP calls of the command line to a running process."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import aiohttp
import orjson

from turmerictiller.cmd.note_files import EXIT_UNREADABLE, fail

if TYPE_CHECKING:
    import typer

MAX_ANSWER_BYTES = 256 * 1024 * 1024  # a trace of the largest size that the settings are meant for
MARGIN_S = 5.0


def get(url: str, timeout_s: float = 10.0) -> bytes:
    """Return the body at a URL; exit with 2 if there is no answer with status 200."""
    status, body = asyncio.run(_call("GET", _full(url), None, timeout_s))
    if status != 200:
        raise fail(EXIT_UNREADABLE, f"{url}: answered with status {status}")
    return body


def post_json(url: str, value: Any, timeout_s: float) -> tuple[int, Any]:
    """Post JSON; return the status and the JSON of the answer."""
    status, body = asyncio.run(_call("POST", _full(url), orjson.dumps(value), timeout_s))
    try:
        return status, orjson.loads(body)
    except orjson.JSONDecodeError:
        message = f"{url}: answered with status {status} and no JSON"
        raise fail(EXIT_UNREADABLE, message) from None


def _full(url: str) -> str:
    return url if "://" in url else f"http://{url}"


async def _call(method: str, url: str, data: bytes | None, timeout_s: float) -> tuple[int, bytes]:
    timeout = aiohttp.ClientTimeout(total=timeout_s)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.request(
                method, url, data=data, headers={"Content-Type": "application/json"}
            ) as response,
        ):
            return response.status, await _read(response)
    except TimeoutError:
        raise _failure(url, f"no answer within {timeout_s:g} s") from None
    except (aiohttp.ClientError, OSError, ValueError) as error:
        raise _failure(url, str(error) or type(error).__name__) from None


async def _read(response: aiohttp.ClientResponse) -> bytes:
    body = bytearray()
    async for chunk in response.content.iter_any():
        body += chunk
        if len(body) > MAX_ANSWER_BYTES:
            raise ValueError("the answer is too large")
    return bytes(body)


def _failure(url: str, reason: str) -> typer.Exit:
    return fail(EXIT_UNREADABLE, f"{url}: {reason}")
