"""Exception hierarchy and typed refusals."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class TurmericError(Exception):
    """Base class of all exceptions of this package."""


class ConfigError(TurmericError):
    """Invalid settings.

    :param problems: one line per problem, each starting with the setting's name.
    """

    def __init__(self, problems: list[str]) -> None:
        super().__init__("; ".join(problems))
        self.problems = problems


class FrameError(TurmericError):
    """A peer frame that is malformed, oversized or of another protocol version."""


class PeerError(TurmericError):
    """A message to a peer that could not be sent or was not answered.

    :param reason: identifier of the cause, such as ``timed_out``.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class CursorError(TurmericError):
    """A pagination cursor that this system did not issue."""


class BodyError(TurmericError):
    """A caller's body that is not JSON or cannot be passed on unchanged."""


class ShutdownError(TurmericError):
    """The process stopped before a request was read completely."""


class TicketError(TurmericError):
    """A ticket that this incarnation did not issue."""


class MalformedTicketError(TicketError):
    """A string that is not in the format of a ticket."""


class ForeignTicketError(TicketError):
    """A ticket that names another incarnation."""


class ForgedTicketError(TicketError):
    """A ticket that names this incarnation but has a wrong digest."""


class TraceError(TurmericError):
    """A trace file that cannot be read or replayed."""


class RefusalType(Enum):
    """Type of a refusal; the value is its name on the wire."""

    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    UNKNOWN_FRONT = "unknown_front"
    UNKNOWN_ACTION = "unknown_action"
    UNKNOWN_SERVICE = "unknown_service"
    DEADLINE_TOO_SHORT = "deadline_too_short"
    BAD_CURSOR = "bad_cursor"
    NO_NOTE = "no_note"
    NO_SNAPSHOT = "no_snapshot"
    OVERLOADED = "overloaded"
    QUARANTINED = "quarantined"
    COVERAGE_BELOW_FLOOR = "coverage_below_floor"
    SHUTTING_DOWN = "shutting_down"
    TICKET_REQUIRED = "ticket_required"
    BAD_TICKET = "bad_ticket"
    TICKET_EXPIRED = "ticket_expired"
    TICKET_BODY_MISMATCH = "ticket_body_mismatch"
    NOT_FOUND = "not_found"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    TIMED_OUT_READING = "timed_out_reading"
    UNSUPPORTED_MEDIA_TYPE = "unsupported_media_type"
    EXPECTATION_FAILED = "expectation_failed"
    MALFORMED_HTTP = "malformed_http"
    HEADERS_TOO_LARGE = "headers_too_large"
    HALF_CLOSED = "half_closed"
    TOO_MANY_CONNECTIONS = "too_many_connections"
    INTERNAL = "internal"
    NO_SERVER = "no_server"
    UPSTREAM_FAILED = "upstream_failed"
    DEADLINE_PASSED = "deadline_passed"


HTTP_STATUS_BY_REFUSAL: dict[RefusalType, int] = {
    RefusalType.BAD_REQUEST: 400,
    RefusalType.BODY_TOO_LARGE: 413,
    RefusalType.UNKNOWN_FRONT: 404,
    RefusalType.UNKNOWN_ACTION: 404,
    RefusalType.UNKNOWN_SERVICE: 404,
    RefusalType.DEADLINE_TOO_SHORT: 400,
    RefusalType.BAD_CURSOR: 400,
    RefusalType.NO_NOTE: 503,
    RefusalType.NO_SNAPSHOT: 503,
    RefusalType.OVERLOADED: 429,
    RefusalType.QUARANTINED: 422,
    RefusalType.COVERAGE_BELOW_FLOOR: 504,
    RefusalType.SHUTTING_DOWN: 503,
    RefusalType.TICKET_REQUIRED: 428,
    RefusalType.BAD_TICKET: 400,
    RefusalType.TICKET_EXPIRED: 410,
    RefusalType.TICKET_BODY_MISMATCH: 409,
    RefusalType.NOT_FOUND: 404,
    RefusalType.METHOD_NOT_ALLOWED: 405,
    RefusalType.TIMED_OUT_READING: 408,
    RefusalType.UNSUPPORTED_MEDIA_TYPE: 415,
    RefusalType.EXPECTATION_FAILED: 417,
    RefusalType.MALFORMED_HTTP: 400,
    RefusalType.HEADERS_TOO_LARGE: 431,
    RefusalType.HALF_CLOSED: 400,
    RefusalType.TOO_MANY_CONNECTIONS: 503,
    RefusalType.INTERNAL: 500,
    RefusalType.NO_SERVER: 503,
    RefusalType.UPSTREAM_FAILED: 502,
    RefusalType.DEADLINE_PASSED: 504,
}


class Ran(Enum):
    """Whether an upstream may have run the refused call."""

    NO = "no"
    MAYBE = "maybe"


@dataclass(frozen=True, slots=True)
class Refusal:
    """A typed refusal of one call.

    :param retry_after_ms: delay after which to retry; ``None`` if a retry cannot succeed.
    """

    type: RefusalType
    message: str
    ran: Ran = Ran.NO
    retry_after_ms: int | None = None
    details: dict[str, object] = field(default_factory=dict)

    @property
    def http_status(self) -> int:
        """HTTP status code of the type of refusal."""
        return HTTP_STATUS_BY_REFUSAL[self.type]
