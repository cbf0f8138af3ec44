"""HTTP server for operators, on a port that callers can not reach."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import orjson
from aiohttp import web

if TYPE_CHECKING:
    from collections.abc import Callable


def operator_application(state_dump: Callable[[], dict[str, Any]]) -> web.Application:
    """Return the aiohttp application for operators."""

    async def on_state(request: web.Request) -> web.Response:
        body = orjson.dumps(state_dump(), option=orjson.OPT_INDENT_2 | orjson.OPT_NON_STR_KEYS)
        return web.Response(body=body, content_type="application/json")

    app = web.Application()
    app.router.add_get("/state", on_state)
    return app
