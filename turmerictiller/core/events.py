"""Events: inputs of the reducer.

``at`` is monotonic time in milliseconds. The shell assigns a ``call_id`` to each call of a caller
or peer; the reducer assigns an ``attempt_id`` to each call to an upstream.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from turmerictiller.clock import Millis


class FailureKind(Enum):
    """How a call to an upstream failed."""

    UNSENT = "unsent"  # no byte of the request was sent
    SHED = "shed"  # the upstream reports that it did not run the request
    DRAINING = "draining"  # like SHED, and the server accepts no new work
    SNAPSHOT_GONE = "snapshot_gone"
    REJECTED = "rejected"  # the upstream answered with an error
    LOST = "lost"  # the connection ended after a byte may have been sent
    TIMED_OUT = "timed_out"
    BAD_ANSWER = "bad_answer"


@dataclass(frozen=True, slots=True)
class Hit:
    """One hit as an upstream returned it."""

    score: float
    shard: str
    id: str
    fields: dict[str, Any] = field(default_factory=dict, compare=False)


@dataclass(frozen=True, slots=True)
class UpstreamStatus:
    """Status that a server reports of itself; it may be stale or wrong.

    :param load: share of slots in use, 0 if unknown.
    :param age_ms: age of the load value.
    """

    incarnation: str
    draining: bool
    snapshots: tuple[str, ...]
    load: float = 0.0
    age_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Tick:
    """The requested wake-up time has come; due timers fire."""

    at: Millis


@dataclass(frozen=True, slots=True)
class SearchArrived:
    """A caller requested a search.

    :param deadline_ms: time from arrival within which the caller expects its answer.
    """

    at: Millis
    call_id: int
    front: str
    query: str
    k: int | None = None
    deadline_ms: float | None = None
    priority: str | None = None
    cursor: str | None = None
    caller: str = ""


@dataclass(frozen=True, slots=True)
class CallerGone:
    """A caller closed its connection before it was answered."""

    at: Millis
    call_id: int


@dataclass(frozen=True, slots=True)
class AttemptAnswered:
    """An upstream answered a search attempt."""

    at: Millis
    attempt_id: int
    snapshot: str
    shards: tuple[str, ...]
    hits: tuple[Hit, ...]
    status: UpstreamStatus | None = None


@dataclass(frozen=True, slots=True)
class RunAnswered:
    """An upstream ran a non-idempotent request and returned its answer."""

    at: Millis
    attempt_id: int
    answer: dict[str, Any]
    status: UpstreamStatus | None = None


@dataclass(frozen=True, slots=True)
class AttemptFailed:
    """A call to an upstream failed."""

    at: Millis
    attempt_id: int
    kind: FailureKind
    status: UpstreamStatus | None = None
    retry_after_ms: float | None = None


@dataclass(frozen=True, slots=True)
class TicketRequested:
    """A caller requested a ticket."""

    at: Millis
    call_id: int
    front: str


@dataclass(frozen=True, slots=True)
class RunArrived:
    """A caller requested the run of a non-idempotent request under a ticket."""

    at: Millis
    call_id: int
    front: str
    ticket: str
    action: str
    body: dict[str, Any]
    deadline_ms: float | None = None
    service: str | None = None


@dataclass(frozen=True, slots=True)
class RunForwarded:
    """A peer forwarded a run request whose ticket is owned by this instance.

    :param forward_id: identifier of the frame to answer, assigned by the shell.
    :param incarnation: incarnation of the ticket's owner.
    :param wire_id: identifier of the peer's call, the same in every copy of its frame.
    """

    at: Millis
    forward_id: int
    incarnation: str
    front: str
    ticket: str
    action: str
    body: dict[str, Any]
    deadline_ms: float
    service: str | None = None
    wire_id: str = ""


@dataclass(frozen=True, slots=True)
class ForwardAnswered:
    """The owner of a ticket answered a forwarded run request.

    :param outcome: as in ``AnswerForward``.
    """

    at: Millis
    call_id: int
    outcome: str
    answer: dict[str, Any]
    reason: str = ""
    retry_after_ms: int | None = None


@dataclass(frozen=True, slots=True)
class ForwardFailed:
    """The owner of a ticket could not be reached or did not answer in time."""

    at: Millis
    call_id: int
    reason: str


@dataclass(frozen=True, slots=True)
class NoteSeen:
    """A release note was read from the platform or from a peer.

    :param source: ``platform`` or the peer's instance id.
    """

    at: Millis
    source: str
    document: Any


@dataclass(frozen=True, slots=True)
class ListedInstance:
    """One row of the platform's instance list."""

    id: str
    kind: str  # "entry" or "upstream"
    address: str
    domain: str
    leaving: bool
    incarnation: str = ""


@dataclass(frozen=True, slots=True)
class InstanceListSeen:
    """The platform's instance list was read."""

    at: Millis
    revision: int
    instances: tuple[ListedInstance, ...]


@dataclass(frozen=True, slots=True)
class PlatformFailed:
    """A call to the platform failed."""

    at: Millis
    reason: str


@dataclass(frozen=True, slots=True)
class GossipReceived:
    """A gossip message from a peer arrived."""

    at: Millis
    message: Any


@dataclass(frozen=True, slots=True)
class PeerFailed:
    """A peer could not be reached."""

    at: Millis
    address: str
    reason: str


@dataclass(frozen=True, slots=True)
class HealthReported:
    """A server answered a health poll."""

    at: Millis
    server_id: str
    status: UpstreamStatus


@dataclass(frozen=True, slots=True)
class HealthFailed:
    """A server did not answer a health poll."""

    at: Millis
    server_id: str


@dataclass(frozen=True, slots=True)
class ShardMapSeen:
    """The shard map of a snapshot was read from a server."""

    at: Millis
    server_id: str
    snapshot: str
    shards_by_service: dict[str, tuple[str, ...]]


@dataclass(frozen=True, slots=True)
class ShutdownRequested:
    """Shutdown of the process was requested."""

    at: Millis


@dataclass(frozen=True, slots=True)
class CallersLeft:
    """The callers' listener is closed and no caller is connected."""

    at: Millis


Event = (
    Tick
    | SearchArrived
    | CallerGone
    | AttemptAnswered
    | RunAnswered
    | AttemptFailed
    | TicketRequested
    | RunArrived
    | RunForwarded
    | ForwardAnswered
    | ForwardFailed
    | NoteSeen
    | InstanceListSeen
    | PlatformFailed
    | GossipReceived
    | PeerFailed
    | HealthReported
    | HealthFailed
    | ShardMapSeen
    | ShutdownRequested
    | CallersLeft
)
