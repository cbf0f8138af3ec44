"""Effects: actions that the reducer requests from the shell."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from turmerictiller.clock import Millis
    from turmerictiller.errors import Refusal
    from turmerictiller.forwarding.events import UpstreamAnswer
    from turmerictiller.forwarding.model import CallerLimits
    from turmerictiller.forwarding.peer_model import GossipMessage


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Send the request of a call to one server.

    :param budget_ms: time that the server may take: remaining deadline less the return margin.
    :param fresh: do not reuse a connection that has been idle for long, because a request that is
        lost on it cannot be retried.
    :param await_acceptance: wait on a new connection until the server has had time to reset it
        before sending the request.
    """

    attempt_id: int
    call_id: int
    server_id: str
    address: str
    budget_ms: float
    fresh: bool = False
    await_acceptance: bool = False


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel an attempt, and close its connection so that its server stops working on it."""

    attempt_id: int


@dataclass(frozen=True, slots=True)
class CloseServerConnections:
    """Close the idle connections to a server that is removed or shutting down."""

    address: str


@dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    """Close the connections to a server that have been idle for at least ``idle_ms``."""

    address: str
    idle_ms: Millis


@dataclass(frozen=True, slots=True)
class ProbeConnection:
    """Open a connection to a server and report the result as ``ConnectionProbed``."""

    server_id: str
    address: str


@dataclass(frozen=True, slots=True)
class SendGossip:
    """Send a gossip message to another instance and receive its reply."""

    address: str
    message: GossipMessage


@dataclass(frozen=True, slots=True)
class RelayAnswer:
    """Send the answer of one server to the caller unchanged."""

    call_id: int
    answer: UpstreamAnswer


@dataclass(frozen=True, slots=True)
class SendMergedAnswer:
    """Send the merged records of several servers to the caller.

    :param missing: number of shards that are missing from the answer.
    """

    call_id: int
    signatures: tuple[bytes, ...]
    missing: int
    records: bytes


@dataclass(frozen=True, slots=True)
class ReplyRefusal:
    """Reply to a request with a refusal."""

    call_id: int
    refusal: Refusal


@dataclass(frozen=True, slots=True)
class ApplyCallerLimits:
    """Apply new limits to callers' connections."""

    limits: CallerLimits


@dataclass(frozen=True, slots=True)
class WakeAt:
    """Deliver a ``Tick`` at the given time; this replaces any earlier request."""

    at: Millis


@dataclass(frozen=True, slots=True)
class WriteLog:
    """Write one structured log line.

    :param urgent: whether the line is among the last to be dropped under load.
    """

    event: str
    fields: dict[str, Any] = field(default_factory=dict)
    urgent: bool = False


@dataclass(frozen=True, slots=True)
class CloseListeners:
    """Stop listening and close callers' connections that are idle."""


@dataclass(frozen=True, slots=True)
class Stop:
    """Terminate the process."""


Effect = (
    SendAttempt
    | CancelAttempt
    | CloseServerConnections
    | CloseIdleConnections
    | ProbeConnection
    | SendGossip
    | RelayAnswer
    | SendMergedAnswer
    | ReplyRefusal
    | ApplyCallerLimits
    | WakeAt
    | WriteLog
    | CloseListeners
    | Stop
)
