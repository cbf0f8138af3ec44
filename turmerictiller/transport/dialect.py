"""Interface of a platform adapter: parsing and encoding of HTTP requests and answers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from turmerictiller.errors import Refusal
    from turmerictiller.forwarding.effects import SendMergedAnswer
    from turmerictiller.forwarding.events import FailureKind, UpstreamAnswer
    from turmerictiller.transport.messages import RawRequest, RawResponse


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """The fields of a caller's request that forwarding uses.

    :param budget_ms: how long the caller will wait, in milliseconds; ``None`` if not specified.
    """

    request_id: str
    host: str
    path: str
    budget_ms: float | None


@dataclass(frozen=True, slots=True)
class Dialect:
    """The parsing and encoding functions of one adapter.

    :param parse_request: returns ``None`` for a request that cannot be forwarded.
    :param encode_shared_head: encodes the part of the head that is the same for all attempts.
    :param encode_attempt: encodes a request to one server from the shared head, the body, the
        server's id and the remaining budget in milliseconds.
    :param matches_request: returns whether a response belongs to the request with this id; the flag
        rejects responses without an id.
    :param parse_answer: parses the response to an attempt, or returns why it is unusable.
    :param encode_answer: encodes a server's answer for the caller; the flag of this and the
        following functions announces that the connection will be closed.
    :param encode_merged: encodes a merged answer; takes the request's id.
    :param encode_refusal: encodes an error response.
    """

    parse_request: Callable[[RawRequest], CallerRequest | None]
    encode_shared_head: Callable[[RawRequest], bytes]
    encode_attempt: Callable[[bytes, bytes, str, float], bytes]
    matches_request: Callable[[RawResponse, bytes, bool], bool]
    parse_answer: Callable[[RawResponse], UpstreamAnswer | FailureKind]
    encode_answer: Callable[[UpstreamAnswer, bool], bytes]
    encode_merged: Callable[[SendMergedAnswer, str, bool], bytes]
    encode_refusal: Callable[[Refusal, bool], bytes]
