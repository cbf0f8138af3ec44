"""What an adapter has to translate: requests and answers between the wire and the product."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from turmerictiller.errors import Refusal
    from turmerictiller.forwarding.effects import SendMergedAnswer
    from turmerictiller.forwarding.events import Failure, UpstreamAnswer
    from turmerictiller.transport.messages import RawRequest, RawResponse


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """What the product needs to know of a request.

    :param budget_ms: how long the caller will wait; ``None`` if it did not say.
    """

    request_id: str
    host: str
    path: str
    budget_ms: float | None


@dataclass(frozen=True, slots=True)
class Dialect:
    """The functions of one adapter.

    :param read_request: returns ``None`` for a request that can not be forwarded.
    :param prepare: the part of a request that is the same for all attempts.
    :param write_attempt: a prepared request to a server, with the time that is left.
    :param accepts: whether a response belongs to the request with this identity; takes whether it
        has to name one.
    :param read_answer: what a response to an attempt says, or why it is none.
    """

    read_request: Callable[[RawRequest], CallerRequest | None]
    prepare: Callable[[RawRequest], bytes]
    write_attempt: Callable[[bytes, bytes, str, float], bytes]
    accepts: Callable[[RawResponse, bytes, bool], bool]
    read_answer: Callable[[RawResponse], UpstreamAnswer | Failure]
    write_answer: Callable[[UpstreamAnswer, bool], bytes]
    write_merged: Callable[[SendMergedAnswer, str, bool], bytes]
    write_refusal: Callable[[Refusal, bool], bytes]
