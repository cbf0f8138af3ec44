"""HTTP server for operators, on a port that callers can not reach."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import orjson
from aiohttp import web

from turmerictiller.util.prometheus import CONTENT_TYPE

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator


@dataclass(frozen=True)
class OperatorViews:
    """What operators can read; each view is made when it is asked for."""

    state: Callable[[], dict[str, Any]]
    health: Callable[[], dict[str, Any]]
    trace: Callable[[], bytes]
    metrics: Callable[[], Iterator[str]]


def operator_application(views: OperatorViews) -> web.Application:
    """Return the aiohttp application for operators."""

    async def on_state(request: web.Request) -> web.Response:
        return _json(200, views.state())

    async def on_health(request: web.Request) -> web.Response:
        health = views.health()
        return _json(200 if health["ready"] else 503, health)

    async def on_trace(request: web.Request) -> web.Response:
        return web.Response(body=views.trace(), content_type="application/jsonl")

    async def on_metrics(request: web.Request) -> web.Response:
        pieces = []
        for piece in views.metrics():
            pieces.append(piece)
            await asyncio.sleep(0)  # a piece takes about 0.2 ms; searches run between pieces
        headers = {"Content-Type": CONTENT_TYPE}
        return web.Response(body="".join(pieces).encode(), headers=headers)

    app = web.Application()
    app.router.add_get("/state", on_state)
    app.router.add_get("/health", on_health)
    app.router.add_get("/trace", on_trace)
    app.router.add_get("/metrics", on_metrics)
    return app


def _json(status: int, body: Any) -> web.Response:
    raw = orjson.dumps(body, option=orjson.OPT_INDENT_2 | orjson.OPT_NON_STR_KEYS)
    return web.Response(status=status, body=raw, content_type="application/json")
