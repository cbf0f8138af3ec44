"""What the shell tells the reducer. Every event carries the monotonic time at which it came."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from turmerictiller.clock import Millis
    from turmerictiller.forwarding.model import Configuration, ServerEntry
    from turmerictiller.forwarding.peer_model import GossipMessage
    from turmerictiller.forwarding.settings import ForwardingSettings


@dataclass(frozen=True, slots=True)
class Tick:
    """A timer may be due."""

    at: Millis


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A caller has sent a whole request.

    :param request_id: identity that the caller gave this request; for logs.
    :param budget_ms: how long the caller will wait; ``None`` if it did not say.
    :param fingerprint: equal for equal requests of any caller.
    """

    at: Millis
    call_id: int
    request_id: str
    host: str
    path: str
    budget_ms: float | None
    fingerprint: int


@dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """The caller of a request has closed its connection."""

    at: Millis
    call_id: int


@dataclass(frozen=True, slots=True)
class UpstreamAnswer:
    """A whole answer of a server to an attempt.

    :param signature: proof of the server that it gave this answer; empty without one.
    :param not_run: the server says that it has not run the request.
    :param headers: headers that are meant for the caller.
    :param leaving: the server says that it leaves.
    :param pause_ms: for so long the server wants no requests of this instance; ``None`` if it
        does not say.
    :param malformed_headers: what the server says of itself and that can not be read.
    """

    status: int
    signature: bytes
    body: bytes
    not_run: bool = False
    headers: tuple[tuple[bytes, bytes], ...] = ()
    reason: bytes = b""
    leaving: bool = False
    pause_ms: Millis | None = None
    malformed_headers: str = ""


@dataclass(frozen=True, slots=True)
class AttemptAnswered:
    """A server has answered an attempt."""

    at: Millis
    attempt_id: int
    answer: UpstreamAnswer


class Failure(Enum):
    """Why an attempt got no answer."""

    REFUSED = "refused"
    CONNECT_TIMEOUT = "connect_timeout"
    CLOSED = "closed"
    RESET = "reset"
    BAD_ANSWER = "bad_answer"
    OTHER_SERVER = "other_server"
    # The server reset a new connection at once, as it does with those beyond its limit.
    NOT_ACCEPTED = "not_accepted"
    # The server said that it wants no more requests while a connection to it was opened.
    WITHDRAWN = "withdrawn"

    @property
    def is_unreachable(self) -> bool:
        """Whether the failure says that the server can not be reached at all."""
        return self in (Failure.REFUSED, Failure.CONNECT_TIMEOUT)


@dataclass(frozen=True, slots=True)
class AttemptFailed:
    """An attempt ended without an answer.

    :param may_have_run: false only if no byte of the request was sent, or the server says so.
    """

    at: Millis
    attempt_id: int
    failure: Failure
    may_have_run: bool


@dataclass(frozen=True, slots=True)
class ConnectionProbed:
    """A connection to a server was opened, or could not be.

    :param failure: why it could not be opened; ``None`` if it was.
    """

    at: Millis
    server_id: str
    failure: Failure | None = None


@dataclass(frozen=True, slots=True)
class GossipReceived:
    """Another instance has asked or answered."""

    at: Millis
    gossip: GossipMessage


@dataclass(frozen=True, slots=True)
class ConfigurationReceived:
    """A configuration was read."""

    at: Millis
    configuration: Configuration


@dataclass(frozen=True, slots=True)
class ServerEntryReceived:
    """A server has published an entry.

    :param from_peer: another instance told it, not the registry.
    """

    at: Millis
    entry: ServerEntry
    from_peer: bool = False


@dataclass(frozen=True, slots=True)
class ServerEntryRemoved:
    """The entry of a server was removed at a revision, by the server or for its silence.

    :param from_peer: another instance told it, not the registry.
    """

    at: Millis
    server_id: str
    revision: int
    from_peer: bool = False


@dataclass(frozen=True, slots=True)
class ServersListed:
    """All entries were read; those known at ``revision`` that are not among them were removed.

    :param unreadable_ids: servers whose entries are there but can not be read.
    :param from_peer: another instance told it, not the registry.
    """

    at: Millis
    revision: int
    entries: tuple[ServerEntry, ...]
    unreadable_ids: frozenset[str] = frozenset()
    from_peer: bool = False


@dataclass(frozen=True, slots=True)
class RegistryLost:
    """Reads of the registry fail."""

    at: Millis
    reason: str


@dataclass(frozen=True, slots=True)
class RegistryRead:
    """All changes of the registry up to a revision were told.

    :param read_at: when the registry, here or for another instance, had nothing newer.
    """

    at: Millis
    revision: int
    read_at: Millis


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """The settings were read again."""

    at: Millis
    settings: ForwardingSettings


@dataclass(frozen=True, slots=True)
class ShutdownRequested:
    """The process is told to stop."""

    at: Millis


@dataclass(frozen=True, slots=True)
class CallersLeft:
    """No caller is connected any more."""

    at: Millis


Event = (
    Tick
    | RequestArrived
    | CallerDisconnected
    | AttemptAnswered
    | AttemptFailed
    | ConnectionProbed
    | GossipReceived
    | ConfigurationReceived
    | ServerEntryReceived
    | ServerEntryRemoved
    | ServersListed
    | RegistryLost
    | RegistryRead
    | SettingsChanged
    | ShutdownRequested
    | CallersLeft
)
