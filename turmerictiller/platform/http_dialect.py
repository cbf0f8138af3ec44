"""Headers and statuses of the platform's callers and servers."""

from __future__ import annotations

import re
from http import HTTPStatus
from typing import TYPE_CHECKING

from turmerictiller.errors import RefusalType
from turmerictiller.forwarding.events import Failure, UpstreamAnswer
from turmerictiller.transport.dialect import CallerRequest, Dialect
from turmerictiller.transport.messages import RawResponse, end_to_end, write_response

if TYPE_CHECKING:
    from turmerictiller.clock import Millis
    from turmerictiller.errors import Refusal
    from turmerictiller.forwarding.effects import SendMergedAnswer
    from turmerictiller.transport.messages import RawRequest

REQUEST_ID = b"request-id"
# The time that is left, not a point in time.
BUDGET = b"deadline-ms"
TARGET_SERVER = b"Target-Instance"
SIGNATURE = b"server-stamp"
NOT_RUN = b"not-executed"
LEAVING = b"server-leaving"
# In seconds, which may have fractions; for this instance only.
PAUSE = b"retry-after"
SIGNATURES = b"Part-Stamps"
MISSING = b"Missing-Parts"

_SECONDS = re.compile(rb"\d+(\.\d*)?")
_SET_HERE = frozenset({BUDGET, b"target-instance"})
_REASON_BY_STATUS = {status.value: status.phrase.encode() for status in HTTPStatus}
# These say that the request has not run and never will.
_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
_STATUS_BY_REFUSAL = {RefusalType.QUARANTINED: 429}


def read_request(raw: RawRequest) -> CallerRequest | None:
    """Return what the product needs to know; ``None`` without an identity or a host."""
    values = raw.values_by_name
    request_id = values.get(REQUEST_ID, b"")
    host = values.get(b"host", b"")
    if not request_id or not host:
        return None
    text = values.get(BUDGET, b"").strip()
    budget_ms = float(text) if text.isdigit() else None
    path = raw.target.partition(b"?")[0].decode("latin-1")
    name = host.decode("latin-1").partition(":")[0]
    return CallerRequest(request_id.decode("latin-1"), name, path, budget_ms)


def prepare(raw: RawRequest) -> bytes:
    """Return a request up to the headers that differ for each server."""
    lines = [b"%s %s HTTP/1.1" % (raw.method, raw.target)]
    lines += [
        b"%s: %s" % (name, value)
        for name, value in end_to_end(raw.headers, raw.values_by_name)
        if name.lower() not in _SET_HERE
    ]
    if raw.body or raw.method not in (b"GET", b"HEAD"):
        lines.append(b"Content-Length: %d" % len(raw.body))
    lines.append(b"")
    return b"\r\n".join(lines)


def write_attempt(prepared: bytes, body: bytes, server_id: str, budget_ms: float) -> bytes:
    """Return the request for one server, with the time that is left."""
    return b"%sDeadline-Ms: %d\r\n%s: %s\r\n\r\n%s" % (
        prepared,
        budget_ms,
        TARGET_SERVER,
        server_id.encode("latin-1"),
        body,
    )


def accepts(response: RawResponse, request_id: bytes, must_name: bool) -> bool:
    """Return whether a response is not another request's."""
    named = response.values_by_name.get(REQUEST_ID)
    return not must_name if named is None else named == request_id


def read_answer(response: RawResponse) -> UpstreamAnswer | Failure:
    """Return the answer of a server, or why it is none."""
    values = response.values_by_name
    not_run = NOT_RUN in values
    if response.status == 421:
        return Failure.OTHER_SERVER
    signature = values.get(SIGNATURE, b"")
    if b"content-encoding" in values and not not_run:
        return Failure.BAD_ANSWER
    if 200 <= response.status < 300 and not signature:
        return Failure.BAD_ANSWER
    headers = tuple(end_to_end(response.headers, values))
    leaving, pause_ms, unreadable = _read_announcement(response)
    return UpstreamAnswer(
        response.status,
        signature,
        response.body,
        not_run,
        headers,
        response.reason,
        leaving,
        pause_ms,
        unreadable,
    )


def _read_announcement(response: RawResponse) -> tuple[bool, Millis | None, str]:
    """Return whether a server leaves, for how long it wants no work, and what can not be read.

    Of repeated headers the one that asks for more counts. A date is not read, because the time of day
    may jump here.
    """
    values = response.values_by_name
    tells_pause = response.status == HTTPStatus.SERVICE_UNAVAILABLE and PAUSE in values
    if LEAVING not in values and not tells_pause:
        return False, None, ""
    leaving, pause_ms, unreadable = False, None, []
    for name, value in response.headers:
        lower, text = name.lower(), value.strip()
        if lower == LEAVING and text == b"1":
            leaving = True
        elif lower == PAUSE and tells_pause and _SECONDS.fullmatch(text):
            pause_ms = max(pause_ms or 0.0, 1_000 * float(text))
        elif lower == LEAVING or (lower == PAUSE and tells_pause):
            unreadable.append(f"{name.decode('latin-1')}: {value.decode('latin-1')[:64]}")
    return leaving, pause_ms, "; ".join(unreadable)


def write_answer(answer: UpstreamAnswer, close: bool) -> bytes:
    """Return a server's answer for the caller."""
    reason = answer.reason or _REASON_BY_STATUS.get(answer.status, b"")
    return write_response(answer.status, reason, list(answer.headers), answer.body, close)


def write_merged(effect: SendMergedAnswer, request_id: str, close: bool) -> bytes:
    """Return a merged answer for the caller."""
    headers = [
        (REQUEST_ID, request_id.encode("latin-1")),
        (SIGNATURES, b", ".join(effect.signatures)),
        (MISSING, b"%d" % effect.missing),
    ]
    return write_response(200, b"OK", headers, effect.records, close)


def write_refusal(refusal: Refusal, close: bool) -> bytes:
    """Return a refusal for the caller."""
    status = _STATUS_BY_REFUSAL.get(refusal.type, refusal.http_status)
    headers = []
    if refusal.retry_after_ms is not None:
        # The platform's callers understand fractions of a second.
        headers.append((b"Retry-After", b"%.3f" % (refusal.retry_after_ms / 1000)))
    reason = _REASON_BY_STATUS.get(status, b"")
    return write_response(status, reason, headers, refusal.message.encode(), close)


DIALECT = Dialect(
    read_request,
    prepare,
    write_attempt,
    accepts,
    read_answer,
    write_answer,
    write_merged,
    write_refusal,
)
