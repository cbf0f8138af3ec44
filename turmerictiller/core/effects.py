"""Effects: actions that the reducer requests from the shell."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from turmerictiller.clock import Millis
from turmerictiller.core.events import Hit
from turmerictiller.errors import Refusal


@dataclass(frozen=True, slots=True)
class SendSearch:
    """Send one search attempt to one server.

    :param wire_id: identifier of the attempt, unique across incarnations.
    :param budget_ms: time that the server may take: remaining deadline less the return margin.
    :param timeout_ms: time after which the shell reports the attempt as timed out.
    :param fresh: whether to open a new connection, because pooled ones may be silent.
    """

    attempt_id: int
    wire_id: str
    server_id: str
    address: str
    service: str
    snapshot: str
    query: str
    k: int
    after: tuple[float, str, str] | None
    budget_ms: float
    timeout_ms: float
    fresh: bool = False


@dataclass(frozen=True, slots=True)
class SendRun:
    """Send one non-idempotent request to one server, once."""

    attempt_id: int
    wire_id: str
    server_id: str
    address: str
    service: str
    action: str
    body: dict[str, Any]
    budget_ms: float
    timeout_ms: float


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel an attempt whose answer is no longer needed, and close its connection."""

    attempt_id: int


@dataclass(frozen=True, slots=True)
class MissingShard:
    """A shard that is missing from an answer, and the reason."""

    shard: str
    service: str
    reason: str


@dataclass(frozen=True, slots=True)
class Coverage:
    """Number of the front's shards that an answer covers.

    :param total: shards of the front in the shard map of the answer's snapshot.
    """

    merged: int
    total: int
    missing: tuple[MissingShard, ...]

    @property
    def share(self) -> float:
        return self.merged / self.total if self.total else 0.0


@dataclass(frozen=True, slots=True)
class ReplySearch:
    """Reply to a search with its hits.

    :param took_ms: time from the arrival of the search to this reply.
    """

    call_id: int
    hits: tuple[Hit, ...]
    snapshot: str
    coverage: Coverage
    cursor: str | None
    took_ms: float


@dataclass(frozen=True, slots=True)
class ReplyRefusal:
    """Reply to a call with a refusal."""

    call_id: int
    refusal: Refusal


@dataclass(frozen=True, slots=True)
class ReplyTicket:
    """Reply to a ticket request."""

    call_id: int
    ticket: str
    expires_in_ms: float


@dataclass(frozen=True, slots=True)
class ReplyOutcome:
    """Reply to a run request.

    :param outcome: ``done``, ``not_run`` or ``unknown``.
    """

    call_id: int
    outcome: str
    answer: dict[str, Any]
    reason: str = ""
    retry_after_ms: int | None = None


@dataclass(frozen=True, slots=True)
class ForwardRun:
    """Forward a run request to the instance that owns its ticket.

    :param incarnation: incarnation of the owner.
    :param budget_ms: time that the owner may take: remaining deadline less the return margin.
    :param wire_id: identifier of the call, unique across incarnations.
    """

    call_id: int
    address: str
    incarnation: str
    front: str
    ticket: str
    action: str
    body: dict[str, Any]
    budget_ms: float
    service: str | None = None
    wire_id: str = ""


@dataclass(frozen=True, slots=True)
class AnswerForward:
    """Reply to a run request that a peer forwarded.

    :param outcome: ``done``, ``not_run``, ``unknown`` or ``refused``. For ``refused``, ``reason``
        is the refusal's type and ``answer`` holds its ``message`` and ``ran``.
    """

    forward_id: int
    outcome: str
    answer: dict[str, Any]
    reason: str = ""
    retry_after_ms: int | None = None


@dataclass(frozen=True, slots=True)
class SendGossip:
    """Send a gossip message to a peer."""

    address: str
    message: Any


@dataclass(frozen=True, slots=True)
class FetchNote:
    """Fetch the release note in force from a peer."""

    peer_id: str
    address: str


@dataclass(frozen=True, slots=True)
class PollHealth:
    """Poll the health of a server."""

    server_id: str
    address: str


@dataclass(frozen=True, slots=True)
class FetchShardMap:
    """Fetch the shard map of a snapshot from a server."""

    server_id: str
    address: str
    snapshot: str


@dataclass(frozen=True, slots=True)
class ResetConnections:
    """Close the idle connections to a server."""

    server_id: str
    address: str


@dataclass(frozen=True, slots=True)
class CloseListeners:
    """Stop accepting connections from callers."""


@dataclass(frozen=True, slots=True)
class Stop:
    """Terminate the process."""


@dataclass(frozen=True, slots=True)
class WakeAt:
    """Deliver a ``Tick`` at the given time; this replaces any earlier request."""

    at: Millis


@dataclass(frozen=True, slots=True)
class WriteLog:
    """Write one log message.

    :param part: component that logs, such as ``quarantine``; it becomes part of the message type.
    """

    part: str
    message: str
    fields: dict[str, Any] = field(default_factory=dict)


Effect = (
    SendSearch
    | SendRun
    | CancelAttempt
    | ReplySearch
    | ReplyRefusal
    | ReplyTicket
    | ReplyOutcome
    | ForwardRun
    | AnswerForward
    | SendGossip
    | FetchNote
    | PollHealth
    | FetchShardMap
    | ResetConnections
    | CloseListeners
    | Stop
    | WakeAt
    | WriteLog
)
