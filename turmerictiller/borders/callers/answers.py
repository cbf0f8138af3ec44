"""Responses to callers: JSON bodies, and a typed refusal for every kind of error."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING, Any

import orjson
from aiohttp import web
from aiohttp.http_exceptions import HttpProcessingError, LineTooLong
from pydantic import ValidationError

from turmerictiller.core.effects import ReplyOutcome, ReplyRefusal, ReplySearch, ReplyTicket
from turmerictiller.core.lifecycle import SHUTDOWN_RETRY_MS
from turmerictiller.errors import BodyError, Ran, Refusal, RefusalType, ShutdownError

if TYPE_CHECKING:
    from collections.abc import Mapping

Reply = ReplySearch | ReplyRefusal | ReplyTicket | ReplyOutcome

RETRY_AFTER_MS = 1_000
MAX_LISTED_ERRORS = 20

REFUSAL_BY_HTTP_ERROR: dict[type[BaseException], tuple[RefusalType, str]] = {
    web.HTTPRequestEntityTooLarge: (RefusalType.BODY_TOO_LARGE, "the body is too large"),
    web.HTTPNotFound: (RefusalType.NOT_FOUND, "there is nothing at this path"),
    web.HTTPMethodNotAllowed: (RefusalType.METHOD_NOT_ALLOWED, "this path takes another method"),
    web.HTTPUnsupportedMediaType: (
        RefusalType.UNSUPPORTED_MEDIA_TYPE,
        "the body must be application/json without a content encoding",
    ),
    web.HTTPExpectationFailed: (
        RefusalType.EXPECTATION_FAILED,
        "only 100-continue can be expected",
    ),
    web.RequestPayloadError: (RefusalType.MALFORMED_HTTP, "the body breaks its HTTP framing"),
}


def refusal_of(error: BaseException) -> Refusal:
    """Return the refusal for an error that ended a call outside the reducer."""
    if isinstance(error, ValidationError):
        return _validation_refusal(error)
    if isinstance(error, BodyError):
        return Refusal(RefusalType.BAD_REQUEST, str(error))
    if isinstance(error, ShutdownError):
        return shutting_down(Ran.NO)
    if isinstance(error, TimeoutError):
        return timed_out_reading("body")
    if isinstance(error, HttpProcessingError):
        return _parser_refusal(error)
    type_, message = REFUSAL_BY_HTTP_ERROR.get(type(error), (RefusalType.INTERNAL, ""))
    if type_ is not RefusalType.INTERNAL:
        return Refusal(type_, message)
    if isinstance(error, web.HTTPException) and error.status < HTTPStatus.INTERNAL_SERVER_ERROR:
        return Refusal(RefusalType.BAD_REQUEST, "the request can not be served")
    return internal_refusal()


def internal_refusal() -> Refusal:
    """Return the refusal for an internal error of this instance."""
    return Refusal(
        RefusalType.INTERNAL, "an internal error ended this call", Ran.MAYBE, RETRY_AFTER_MS
    )


def timed_out_reading(request_part: str) -> Refusal:
    """Return the refusal for a header or body that did not arrive in time."""
    return Refusal(
        RefusalType.TIMED_OUT_READING,
        f"the {request_part} did not arrive in time",
        Ran.NO,
        RETRY_AFTER_MS,
    )


def headers_too_large() -> Refusal:
    """Return the refusal for headers over their size or count limit."""
    return Refusal(RefusalType.HEADERS_TOO_LARGE, "the headers are too large or too many")


def shutting_down(ran: Ran) -> Refusal:
    """Return the refusal for a call that is still open when the process stops."""
    message = "the instance ended before the answer"
    return Refusal(RefusalType.SHUTTING_DOWN, message, ran, SHUTDOWN_RETRY_MS)


def half_closed(ran: Ran) -> Refusal:
    """Return the refusal for a caller that closed its sending side."""
    message = "the connection must stay open in both directions until the answer"
    return Refusal(RefusalType.HALF_CLOSED, message, ran)


def _validation_refusal(error: ValidationError) -> Refusal:
    details = [
        {"place": ".".join(str(part) for part in item["loc"]), "problem": item["msg"]}
        for item in error.errors(include_url=False, include_input=False)[:MAX_LISTED_ERRORS]
    ]
    return Refusal(
        RefusalType.BAD_REQUEST, "the body has the wrong form", details={"errors": details}
    )


def _parser_refusal(error: HttpProcessingError) -> Refusal:
    if isinstance(error, LineTooLong) or "Too many headers" in error.message:
        return headers_too_large()
    return Refusal(RefusalType.MALFORMED_HTTP, "the request is not valid HTTP/1.1")


def reply_response(reply: Reply) -> web.Response:
    """Return the HTTP response for a reply of the reducer."""
    match reply:
        case ReplySearch():
            return json_response(200, search_body(reply))
        case ReplyRefusal():
            return refusal_response(reply.refusal)
        case ReplyTicket():
            body: dict[str, Any] = {"ticket": reply.ticket, "expires_in_ms": reply.expires_in_ms}
            return json_response(200, body)
        case ReplyOutcome():
            body = {"outcome": reply.outcome, "answer": reply.answer}
            if reply.reason:
                body["reason"] = reply.reason
            return json_response(200, body, retry_after_ms=reply.retry_after_ms)


def search_body(reply: ReplySearch) -> dict[str, Any]:
    """Return the JSON body of a successful search."""
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


def refusal_body(refusal: Refusal) -> dict[str, Any]:
    """Return the JSON body of a refusal."""
    return {
        "error": refusal.type.value,
        "message": refusal.message,
        "ran": refusal.ran.value,
        "retry_after_ms": refusal.retry_after_ms,
        **refusal.details,
    }


def refusal_response(refusal: Refusal, headers: Mapping[str, str] | None = None) -> web.Response:
    """Return the HTTP response for a refusal."""
    return json_response(
        refusal.http_status, refusal_body(refusal), headers, refusal.retry_after_ms
    )


def refusal_bytes(refusal: Refusal) -> bytes:
    """Return the raw HTTP response for a refusal when no request could be parsed."""
    body = orjson.dumps(refusal_body(refusal))
    status = HTTPStatus(refusal.http_status)
    lines = [
        f"HTTP/1.1 {status.value} {status.phrase}",
        "Content-Type: application/json",
        f"Content-Length: {len(body)}",
        "Connection: close",
    ]
    if refusal.retry_after_ms is not None:
        lines.append(f"Retry-After: {_whole_seconds(refusal.retry_after_ms)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


def json_response(
    status: int,
    body: Any,
    headers: Mapping[str, str] | None = None,
    retry_after_ms: int | None = None,
) -> web.Response:
    """Return an HTTP response with a JSON body.

    :param retry_after_ms: value of the ``Retry-After`` header, which is rounded up to seconds.
    """
    all_headers = dict(headers or {})
    if retry_after_ms is not None:
        all_headers["Retry-After"] = str(_whole_seconds(retry_after_ms))
    return web.Response(
        status=status,
        body=orjson.dumps(body),
        content_type="application/json",
        headers=all_headers,
    )


def _whole_seconds(ms: int) -> int:
    return -(-ms // 1000)
