"""What the reducer asks the shell to do."""

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

    :param fresh: use no connection that has been idle for long, because a request that is lost on
        it can not be repeated.
    :param await_acceptance: send nothing on a new connection until the server has had time to reset it.
    """

    attempt_id: int
    call_id: int
    server_id: str
    address: str
    budget_ms: float
    fresh: bool = False
    await_acceptance: bool = False


@dataclass(frozen=True, slots=True)
class AbortAttempt:
    """Close the connection on which an attempt waits, so that its server stops."""

    attempt_id: int


@dataclass(frozen=True, slots=True)
class CloseServerConnections:
    """Close the idle connections to a server that is gone."""

    address: str


@dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    """Close the connections to a server that have been idle for some time."""

    address: str
    idle_ms: Millis


@dataclass(frozen=True, slots=True)
class ProbeConnection:
    """Open a connection to a server and tell whether that was possible."""

    server_id: str
    address: str


@dataclass(frozen=True, slots=True)
class SendGossip:
    """Tell another instance what is known here, and learn what it knows."""

    address: str
    gossip: GossipMessage


@dataclass(frozen=True, slots=True)
class RelayAnswer:
    """Give the caller the answer of one server unchanged."""

    call_id: int
    answer: UpstreamAnswer


@dataclass(frozen=True, slots=True)
class SendMergedAnswer:
    """Give the caller the merged records of several servers.

    :param missing: shards that are left out.
    """

    call_id: int
    signatures: tuple[bytes, ...]
    missing: int
    records: bytes


@dataclass(frozen=True, slots=True)
class Refuse:
    """Tell the caller that its request is not served."""

    call_id: int
    refusal: Refusal


@dataclass(frozen=True, slots=True)
class ApplyCallerLimits:
    """Apply new bounds to callers' connections."""

    limits: CallerLimits


@dataclass(frozen=True, slots=True)
class WakeAt:
    """Send a tick at this time."""

    at: Millis


@dataclass(frozen=True, slots=True)
class LogDecision:
    """Write one structured line.

    :param urgent: the line is among the last to be dropped under load.
    """

    event: str
    fields: dict[str, Any] = field(default_factory=dict)
    urgent: bool = False


@dataclass(frozen=True, slots=True)
class CloseListeners:
    """Stop listening and close callers' connections that are idle."""


@dataclass(frozen=True, slots=True)
class Stop:
    """End the process."""


Effect = (
    SendAttempt
    | AbortAttempt
    | CloseServerConnections
    | CloseIdleConnections
    | ProbeConnection
    | SendGossip
    | RelayAnswer
    | SendMergedAnswer
    | Refuse
    | ApplyCallerLimits
    | WakeAt
    | LogDecision
    | CloseListeners
    | Stop
)
