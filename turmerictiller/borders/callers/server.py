"""HTTP server for callers."""

from __future__ import annotations

import asyncio
import itertools
from collections import Counter
from typing import TYPE_CHECKING, Any

from aiohttp import web

from turmerictiller.borders.callers.answers import (
    Reply,
    half_closed,
    headers_too_large,
    internal_refusal,
    json_response,
    refusal_of,
    refusal_response,
    reply_response,
    shutting_down,
)
from turmerictiller.borders.callers.bodies import RunBody, SearchBody, TicketBody, parse_json
from turmerictiller.borders.callers.connections import CallerConnection, CallerListener
from turmerictiller.core.effects import ReplyRefusal
from turmerictiller.core.events import CallerGone, Event, RunArrived, SearchArrived, TicketRequested
from turmerictiller.errors import Ran, Refusal, RefusalType
from turmerictiller.logs import part_logger

if TYPE_CHECKING:
    from collections.abc import Callable, Container

    from turmerictiller.clock import Clock
    from turmerictiller.config import Settings

# The reducer replies by the deadline; only a bug leaves a call open for longer than this.
ANSWER_SLACK_MS = 1_000

log = part_logger("callers")


class CallerServer:
    """Translate HTTP requests into events, and replies into HTTP responses."""

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        dispatch: Callable[[Event], None],
        health: Callable[[], dict[str, Any]],
        is_leaving: Callable[[], bool] = lambda: False,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._dispatch = dispatch
        self._health = health
        self._call_ids = itertools.count(1)
        self._replies_by_call: dict[int, asyncio.Future[Reply]] = {}
        self._search_call_ids: set[int] = set()
        self.counters: Counter[str] = Counter()
        self.listener = CallerListener(settings, is_leaving, self.count_refusal)

    def application(self) -> web.Application:
        """Return the aiohttp application."""
        app = web.Application(
            client_max_size=self._settings.max_body_bytes, middlewares=[self._error_middleware]
        )
        app.router.add_get("/health", self._on_health)
        for name, handler in (
            ("search", self._on_search),
            ("tickets", self._on_ticket),
            ("run", self._on_run),
        ):
            path = f"/v1/fronts/{{front}}/{name}"
            app.router.add_post(path, handler, expect_handler=self._on_expect)
        return app

    def count_refusal(self, refusal: Refusal) -> Refusal:
        """Count a refusal that is made outside the reducer, and return it."""
        self.counters[f"refusals.{refusal.type.value}"] += 1
        return refusal

    def reply(self, reply: Reply) -> None:
        """Pass a reply to the HTTP handler of its call."""
        future = self._replies_by_call.get(reply.call_id)
        if future is not None and not future.done():
            future.set_result(reply)

    def fail_call(self, call_id: int) -> None:
        """Refuse a call that an internal error has ended."""
        if call_id in self._replies_by_call:
            self.reply(ReplyRefusal(call_id, self.count_refusal(internal_refusal())))

    def fail_orphaned_searches(self, active_call_ids: Container[int]) -> None:
        """Refuse the searches that the state of the reducer no longer contains."""
        for call_id in list(self._search_call_ids):
            if call_id not in active_call_ids and not self._replies_by_call[call_id].done():
                self.fail_call(call_id)

    def refuse_open_calls(self) -> None:
        """Refuse all calls that are still open when the process stops."""
        for call_id in list(self._replies_by_call):
            self.reply(ReplyRefusal(call_id, self.count_refusal(shutting_down(Ran.MAYBE))))
        for connection in list(self.listener.connections):
            connection.refuse_incomplete_request()

    async def _on_health(self, request: web.Request) -> web.Response:
        health = self._health()
        return json_response(200 if health["ready"] else 503, health)

    async def _on_search(self, request: web.Request) -> web.Response:
        at = self._clock.now_ms()
        body = SearchBody.model_validate(await self._json_body(request))
        call_id = next(self._call_ids)
        event = SearchArrived(
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
        self._search_call_ids.add(call_id)
        try:
            return await self._reply_to(request, event)
        finally:
            self._search_call_ids.discard(call_id)

    async def _on_ticket(self, request: web.Request) -> web.Response:
        at = self._clock.now_ms()
        TicketBody.model_validate(await self._json_body(request, required=False))
        front = request.match_info["front"]
        return await self._reply_to(request, TicketRequested(at, next(self._call_ids), front))

    async def _on_run(self, request: web.Request) -> web.Response:
        at = self._clock.now_ms()
        raw = await self._json_body(request)
        if isinstance(raw, dict) and "ticket" not in raw:
            refusal = Refusal(RefusalType.TICKET_REQUIRED, "ask for a ticket first")
            return refusal_response(self.count_refusal(refusal))
        body = RunBody.model_validate(raw)
        event = RunArrived(
            at=at,
            call_id=next(self._call_ids),
            front=request.match_info["front"],
            ticket=body.ticket,
            action=body.action,
            body=body.body,
            deadline_ms=body.deadline_ms,
            service=body.service,
        )
        return await self._reply_to(request, event)

    async def _on_expect(self, request: web.Request) -> None:
        if request.headers.get("Expect", "").lower() != "100-continue":
            raise web.HTTPExpectationFailed
        # A body that is refused for its declared length is not requested from the caller.
        if not self._is_too_long(request):
            await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
            request.writer.output_size = 0

    def _is_too_long(self, request: web.Request) -> bool:
        return (request.content_length or 0) > self._settings.max_body_bytes

    async def _json_body(self, request: web.Request, required: bool = True) -> Any:
        _check_media_type(request)
        if self._is_too_long(request):
            limit = self._settings.max_body_bytes
            raise web.HTTPRequestEntityTooLarge(limit, request.content_length or 0)
        if request.content.is_eof():
            raw = await request.read()
        elif isinstance(request.protocol, CallerConnection) and request.protocol.is_half_closed:
            raise web.RequestPayloadError("the body is not complete")
        else:
            raw = await asyncio.wait_for(request.read(), self._settings.read_timeout_ms / 1000)
        if not raw and not required:
            return {}
        return parse_json(raw)

    async def _reply_to(
        self, request: web.Request, event: SearchArrived | TicketRequested | RunArrived
    ) -> web.Response:
        call_id = event.call_id
        connection = request.protocol
        if isinstance(connection, CallerConnection):
            if connection.is_half_closed:
                return refusal_response(self.count_refusal(half_closed(Ran.NO)))
            connection.on_half_close = lambda: self._on_half_close(call_id)
        loop = asyncio.get_running_loop()
        future: asyncio.Future[Reply] = loop.create_future()
        self._replies_by_call[call_id] = future
        limit_s = (self._settings.max_deadline_ms + ANSWER_SLACK_MS) / 1000
        timer = loop.call_later(limit_s, self._on_reply_timeout, call_id)
        try:
            self._dispatch(event)
            return reply_response(await future)
        except asyncio.CancelledError:
            self._dispatch(CallerGone(self._clock.now_ms(), call_id))
            raise
        finally:
            timer.cancel()
            del self._replies_by_call[call_id]
            if isinstance(connection, CallerConnection):
                connection.on_half_close = None

    def _on_reply_timeout(self, call_id: int) -> None:
        log("The reducer did not reply to a call in time.", call_id=call_id)
        self._dispatch(CallerGone(self._clock.now_ms(), call_id))
        self.fail_call(call_id)

    def _on_half_close(self, call_id: int) -> None:
        if self._replies_by_call[call_id].done():
            return
        self._dispatch(CallerGone(self._clock.now_ms(), call_id))
        self.reply(ReplyRefusal(call_id, self.count_refusal(half_closed(Ran.MAYBE))))

    @web.middleware
    async def _error_middleware(self, request: web.Request, handler: Any) -> web.StreamResponse:
        try:
            if _header_bytes(request) > self._settings.max_header_bytes:
                return refusal_response(self.count_refusal(headers_too_large()))
            response: web.StreamResponse = await handler(request)
            return response
        except Exception as error:  # An exception in a handler fails only its own call.
            return self._error_response(error)

    def _error_response(self, error: Exception) -> web.Response:
        if isinstance(error, ConnectionError):
            raise error
        refusal = self.count_refusal(refusal_of(error))
        if refusal.type is RefusalType.INTERNAL:
            log("Failed to handle a request.", error=type(error).__name__, reason=str(error))
        headers = {}
        if isinstance(error, web.HTTPMethodNotAllowed):
            headers["Allow"] = ", ".join(sorted(error.allowed_methods))
        return refusal_response(refusal, headers)


def _header_bytes(request: web.Request) -> int:
    return sum(len(name) + len(value) + 4 for name, value in request.raw_headers)


def _check_media_type(request: web.Request) -> None:
    media_type = request.content_type if "Content-Type" in request.headers else ""
    charset = (request.charset or "utf-8").lower()
    encoding = request.headers.get("Content-Encoding", "identity").lower()
    if media_type not in ("", "application/json") or charset not in ("utf-8", "utf8", "us-ascii"):
        raise web.HTTPUnsupportedMediaType
    if encoding != "identity":
        raise web.HTTPUnsupportedMediaType
