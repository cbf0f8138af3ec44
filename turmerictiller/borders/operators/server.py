"""HTTP server for operators, on a port that callers cannot reach."""

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
    """Read-only views for operators, each computed on request."""

    state: Callable[[], dict[str, Any]]
    health: Callable[[], dict[str, Any]]
    trace: Callable[[], bytes]
    metrics: Callable[[], Iterator[str]]


def operator_application(views: OperatorViews) -> web.Application:
    """Return the aiohttp application for operators."""

    async def on_state(request: web.Request) -> web.Response:
        return _json_response(200, views.state())

    async def on_health(request: web.Request) -> web.Response:
        health = views.health()
        return _json_response(200 if health["ready"] else 503, health)

    async def on_trace(request: web.Request) -> web.Response:
        return web.Response(body=views.trace(), content_type="application/jsonl")

    async def on_metrics(request: web.Request) -> web.Response:
        chunks = []
        for chunk in views.metrics():
            chunks.append(chunk)
            await asyncio.sleep(0)  # a chunk takes about 0.2 ms; let searches run between chunks
        headers = {"Content-Type": CONTENT_TYPE}
        return web.Response(body="".join(chunks).encode(), headers=headers)

    app = web.Application()
    app.router.add_get("/state", on_state)
    app.router.add_get("/health", on_health)
    app.router.add_get("/trace", on_trace)
    app.router.add_get("/metrics", on_metrics)
    return app


def _json_response(status: int, body: Any) -> web.Response:
    raw = orjson.dumps(body, option=orjson.OPT_INDENT_2 | orjson.OPT_NON_STR_KEYS)
    return web.Response(status=status, body=raw, content_type="application/json")
