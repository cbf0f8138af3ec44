"""HTTP server for callers."""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING, Annotated, Any

import orjson
from aiohttp import web
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from turmerictiller.effects import (
    ReplyOutcome,
    ReplyRefusal,
    ReplySearch,
    ReplyTicket,
)
from turmerictiller.errors import Refusal, RefusalType
from turmerictiller.events import CallerGone, Event, RunArrived, SearchArrived, TicketRequested

if TYPE_CHECKING:
    from collections.abc import Callable

    from turmerictiller.clock import Clock
    from turmerictiller.config import Settings

Reply = ReplySearch | ReplyRefusal | ReplyTicket | ReplyOutcome


class SearchBody(BaseModel):
    """Body of a search."""

    model_config = ConfigDict(extra="forbid", strict=True)

    query: str
    k: int | None = None
    deadline_ms: Annotated[float, Field(allow_inf_nan=False)] | None = None
    priority: str | None = None
    cursor: str | None = None


class RunBody(BaseModel):
    """Body of a non-idempotent request."""

    model_config = ConfigDict(extra="forbid", strict=True)

    ticket: str
    action: str
    body: dict[str, Any] = {}
    deadline_ms: Annotated[float, Field(allow_inf_nan=False)] | None = None
    service: str | None = None


class CallerServer:
    """Turns HTTP calls into events and replies into HTTP answers."""

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        dispatch: Callable[[Event], None],
        health: Callable[[], dict[str, Any]],
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._dispatch = dispatch
        self._health = health
        self._call_ids = itertools.count(1)
        self._replies_by_call: dict[int, asyncio.Future[Reply]] = {}

    def application(self) -> web.Application:
        """Return the aiohttp application."""
        app = web.Application(
            client_max_size=self._settings.max_body_bytes, middlewares=[self._errors]
        )
        app.router.add_get("/health", self._on_health)
        app.router.add_post("/v1/fronts/{front}/search", self._on_search)
        app.router.add_post("/v1/fronts/{front}/tickets", self._on_ticket)
        app.router.add_post("/v1/fronts/{front}/run", self._on_run)
        return app

    def reply(self, reply: Reply) -> None:
        """Hand a reply to the call that waits for it."""
        future = self._replies_by_call.get(reply.call_id)
        if future is not None and not future.done():
            future.set_result(reply)

    async def _on_health(self, request: web.Request) -> web.Response:
        health = self._health()
        return _json(200 if health["ready"] else 503, health)

    async def _on_search(self, request: web.Request) -> web.Response:
        at = self._clock.now_ms()
        body = SearchBody.model_validate(await self._json_body(request))
        return await self._call(
            lambda call_id: SearchArrived(
                at=at,
                call_id=call_id,
                front=request.match_info["front"],
                query=body.query,
                k=body.k,
                deadline_ms=body.deadline_ms,
                priority=body.priority,
                cursor=body.cursor,
                caller=request.remote or "",
            )
        )

    async def _on_ticket(self, request: web.Request) -> web.Response:
        at = self._clock.now_ms()
        await self._json_body(request, required=False)
        front = request.match_info["front"]
        return await self._call(lambda call_id: TicketRequested(at, call_id, front))

    async def _on_run(self, request: web.Request) -> web.Response:
        at = self._clock.now_ms()
        raw = await self._json_body(request)
        if isinstance(raw, dict) and "ticket" not in raw:
            return refusal_response(Refusal(RefusalType.TICKET_REQUIRED, "ask for a ticket first"))
        body = RunBody.model_validate(raw)
        return await self._call(
            lambda call_id: RunArrived(
                at=at,
                call_id=call_id,
                front=request.match_info["front"],
                ticket=body.ticket,
                action=body.action,
                body=body.body,
                deadline_ms=body.deadline_ms,
                service=body.service,
            )
        )

    async def _json_body(self, request: web.Request, required: bool = True) -> Any:
        timeout_s = self._settings.read_timeout_ms / 1000
        raw = await asyncio.wait_for(request.read(), timeout_s)
        if not raw and not required:
            return {}
        return orjson.loads(raw)

    async def _call(self, event_for: Callable[[int], Event]) -> web.Response:
        call_id = next(self._call_ids)
        future: asyncio.Future[Reply] = asyncio.get_running_loop().create_future()
        self._replies_by_call[call_id] = future
        try:
            self._dispatch(event_for(call_id))
            return _response(await future)
        except asyncio.CancelledError:
            self._dispatch(CallerGone(self._clock.now_ms(), call_id))
            raise
        finally:
            del self._replies_by_call[call_id]

    @web.middleware
    async def _errors(self, request: web.Request, handler: Any) -> web.StreamResponse:
        try:
            response: web.StreamResponse = await handler(request)
            return response
        except ValidationError as error:
            details = [
                {"place": ".".join(str(part) for part in item["loc"]), "problem": item["msg"]}
                for item in error.errors(include_url=False, include_input=False)
            ]
            refusal = Refusal(
                RefusalType.BAD_REQUEST, "the body has the wrong form", details={"errors": details}
            )
        except orjson.JSONDecodeError:
            refusal = Refusal(RefusalType.BAD_REQUEST, "the body is not JSON")
        except TimeoutError:
            refusal = Refusal(RefusalType.TIMED_OUT_READING, "the body did not arrive in time")
        except web.HTTPRequestEntityTooLarge:
            refusal = Refusal(RefusalType.BODY_TOO_LARGE, "the body is too large")
        except web.HTTPNotFound:
            refusal = Refusal(RefusalType.NOT_FOUND, "there is nothing at this path")
        except web.HTTPMethodNotAllowed:
            refusal = Refusal(RefusalType.METHOD_NOT_ALLOWED, "this path takes another method")
        return refusal_response(refusal)


def _response(reply: Reply) -> web.Response:
    match reply:
        case ReplySearch():
            return _json(200, search_body(reply))
        case ReplyRefusal():
            return refusal_response(reply.refusal)
        case ReplyTicket():
            return _json(200, {"ticket": reply.ticket, "expires_in_ms": reply.expires_in_ms})
        case ReplyOutcome():
            body = {"outcome": reply.outcome, "answer": reply.answer}
            if reply.reason:
                body["reason"] = reply.reason
            return _json(200, body, reply.retry_after_ms)


def search_body(reply: ReplySearch) -> dict[str, Any]:
    """Return the JSON body of an answered search."""
    coverage = reply.coverage
    return {
        "hits": [
            {"score": hit.score, "shard": hit.shard, "id": hit.id, "fields": hit.fields}
            for hit in reply.hits
        ],
        "snapshot": reply.snapshot,
        "coverage": {
            "share": coverage.share,
            "merged": coverage.merged,
            "total": coverage.total,
            "missing": [
                {"shard": shard.shard, "service": shard.service, "reason": shard.reason}
                for shard in coverage.missing
            ],
        },
        "cursor": reply.cursor,
        "took_ms": round(reply.took_ms, 3),
    }


def refusal_response(refusal: Refusal) -> web.Response:
    """Return the HTTP answer for a refusal."""
    body: dict[str, Any] = {
        "error": refusal.type.value,
        "message": refusal.message,
        "ran": refusal.ran.value,
        "retry_after_ms": refusal.retry_after_ms,
        **refusal.details,
    }
    return _json(refusal.http_status, body, refusal.retry_after_ms)


def _json(status: int, body: Any, retry_after_ms: int | None = None) -> web.Response:
    headers = {}
    if retry_after_ms is not None:
        headers["Retry-After"] = str(-(-retry_after_ms // 1000))
    return web.Response(
        status=status,
        body=orjson.dumps(body),
        content_type="application/json",
        headers=headers,
    )
