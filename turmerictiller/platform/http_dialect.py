"""Parsing and encoding of the platform's HTTP headers and statuses."""

from __future__ import annotations

import re
from http import HTTPStatus
from typing import TYPE_CHECKING

from turmerictiller.errors import RefusalType
from turmerictiller.forwarding.events import FailureKind, UpstreamAnswer
from turmerictiller.transport.dialect import CallerRequest, Dialect
from turmerictiller.transport.messages import RawResponse, encode_response, end_to_end_headers

if TYPE_CHECKING:
    from turmerictiller.clock import Millis
    from turmerictiller.errors import Refusal
    from turmerictiller.forwarding.effects import SendMergedAnswer
    from turmerictiller.transport.messages import RawRequest

REQUEST_ID_HEADER = b"request-id"
# Remaining time in milliseconds, not a point in time.
BUDGET_HEADER = b"deadline-ms"
TARGET_SERVER_HEADER = b"Target-Instance"
SIGNATURE_HEADER = b"server-stamp"
NOT_RUN_HEADER = b"not-executed"
LEAVING_HEADER = b"server-leaving"
# In seconds, possibly fractional; applies to this instance only.
RETRY_AFTER_HEADER = b"retry-after"
PART_SIGNATURES_HEADER = b"Part-Stamps"
MISSING_PARTS_HEADER = b"Missing-Parts"

_SECONDS = re.compile(rb"\d+(\.\d*)?")
_REPLACED_HEADERS = frozenset({BUDGET_HEADER, b"target-instance"})
_REASON_BY_STATUS = {status.value: status.phrase.encode() for status in HTTPStatus}
# Statuses by which callers learn that the request has not run and will not run. A server guarantees
# that only with the header, so its answer without the header is not passed on.
_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
_STATUS_BY_REFUSAL = {RefusalType.QUARANTINED: 429}


def parse_request(raw: RawRequest) -> CallerRequest | None:
    """Parse a request; return ``None`` if it has no request id or no host."""
    values = raw.values_by_name
    request_id = values.get(REQUEST_ID_HEADER, b"")
    host = values.get(b"host", b"")
    if not request_id or not host:
        return None
    text = values.get(BUDGET_HEADER, b"").strip()
    budget_ms = float(text) if text.isdigit() else None
    path = raw.target.partition(b"?")[0].decode("latin-1")
    name = host.decode("latin-1").partition(":")[0]
    return CallerRequest(request_id.decode("latin-1"), name, path, budget_ms)


def encode_shared_head(raw: RawRequest) -> bytes:
    """Encode the request line and the headers that are the same for every server."""
    lines = [b"%s %s HTTP/1.1" % (raw.method, raw.target)]
    lines += [
        b"%s: %s" % (name, value)
        for name, value in end_to_end_headers(raw.headers, raw.values_by_name)
        if name.lower() not in _REPLACED_HEADERS
    ]
    if raw.body or raw.method not in (b"GET", b"HEAD"):
        lines.append(b"Content-Length: %d" % len(raw.body))
    lines.append(b"")
    return b"\r\n".join(lines)


def encode_attempt(shared_head: bytes, body: bytes, server_id: str, budget_ms: float) -> bytes:
    """Encode the request for one server, with the remaining budget in milliseconds."""
    return b"%sDeadline-Ms: %d\r\n%s: %s\r\n\r\n%s" % (
        shared_head,
        budget_ms,
        TARGET_SERVER_HEADER,
        server_id.encode("latin-1"),
        body,
    )


def matches_request(response: RawResponse, request_id: bytes, require_request_id: bool) -> bool:
    """Return whether a response may belong to the request with this id.

    :param require_request_id: reject responses without a request id.
    """
    response_id = response.values_by_name.get(REQUEST_ID_HEADER)
    return not require_request_id if response_id is None else response_id == request_id


def parse_answer(response: RawResponse) -> UpstreamAnswer | FailureKind:
    """Parse the answer of a server, or return why it is unusable."""
    values = response.values_by_name
    not_run = NOT_RUN_HEADER in values
    if response.status == 421:
        return FailureKind.OTHER_SERVER
    signature = values.get(SIGNATURE_HEADER, b"")
    if b"content-encoding" in values and not not_run:
        return FailureKind.BAD_ANSWER
    if 200 <= response.status < 300 and not signature:
        return FailureKind.BAD_ANSWER
    headers = tuple(end_to_end_headers(response.headers, values))
    leaving, pause_ms, malformed = _parse_announcements(response)
    return UpstreamAnswer(
        response.status,
        signature,
        response.body,
        not_run,
        headers,
        response.reason,
        leaving,
        pause_ms,
        malformed,
        unconfirmed_refusal=response.status in _NOT_RUN_STATUSES and not not_run,
    )


def _parse_announcements(response: RawResponse) -> tuple[bool, Millis | None, str]:
    """Return whether the server is leaving, its pause in milliseconds, and malformed headers.

    Of repeated headers, the longest pause applies. A date is not accepted, because the wall
    clock of this instance may jump.
    """
    values = response.values_by_name
    has_retry_after = (
        response.status == HTTPStatus.SERVICE_UNAVAILABLE and RETRY_AFTER_HEADER in values
    )
    if LEAVING_HEADER not in values and not has_retry_after:
        return False, None, ""
    leaving, pause_ms, malformed = False, None, []
    for name, value in response.headers:
        lower, text = name.lower(), value.strip()
        if lower == LEAVING_HEADER and text == b"1":
            leaving = True
        elif lower == RETRY_AFTER_HEADER and has_retry_after and _SECONDS.fullmatch(text):
            pause_ms = max(pause_ms or 0.0, 1_000 * float(text))
        elif lower == LEAVING_HEADER or (lower == RETRY_AFTER_HEADER and has_retry_after):
            malformed.append(f"{name.decode('latin-1')}: {value.decode('latin-1')[:64]}")
    return leaving, pause_ms, "; ".join(malformed)


def encode_answer(answer: UpstreamAnswer, close: bool) -> bytes:
    """Encode a server's answer for the caller."""
    reason = answer.reason or _REASON_BY_STATUS.get(answer.status, b"")
    return encode_response(answer.status, reason, list(answer.headers), answer.body, close)


def encode_merged(effect: SendMergedAnswer, request_id: str, close: bool) -> bytes:
    """Encode a merged answer for the caller."""
    headers = [
        (REQUEST_ID_HEADER, request_id.encode("latin-1")),
        (PART_SIGNATURES_HEADER, b", ".join(effect.signatures)),
        (MISSING_PARTS_HEADER, b"%d" % effect.missing),
    ]
    return encode_response(200, b"OK", headers, effect.records, close)


def encode_refusal(refusal: Refusal, close: bool) -> bytes:
    """Encode a refusal for the caller."""
    status = _STATUS_BY_REFUSAL.get(refusal.type, refusal.http_status)
    headers = []
    if refusal.retry_after_ms is not None:
        # The platform's callers accept fractions of a second.
        headers.append((b"Retry-After", b"%.3f" % (refusal.retry_after_ms / 1000)))
    reason = _REASON_BY_STATUS.get(status, b"")
    return encode_response(status, reason, headers, refusal.message.encode(), close)


DIALECT = Dialect(
    parse_request,
    encode_shared_head,
    encode_attempt,
    matches_request,
    parse_answer,
    encode_answer,
    encode_merged,
    encode_refusal,
)
