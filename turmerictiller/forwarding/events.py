"""Events: inputs of the reducer.

``at`` is monotonic time in milliseconds.
"""

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
    """Report that a timer may be due."""

    at: Millis


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """Report a complete request of a caller.

    :param request_id: identifier that the caller gave this request; for logs.
    :param budget_ms: how long the caller will wait; ``None`` if it is not specified.
    :param fingerprint: hash of the request, the same for equal requests of any caller.
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
    """Report that the caller of a request has closed its connection."""

    at: Millis
    call_id: int


@dataclass(frozen=True, slots=True)
class UpstreamAnswer:
    """A complete answer of a server to an attempt.

    :param signature: the server's signature of this answer; empty without one.
    :param not_run: whether the server reports that it has not run the request.
    :param unconfirmed_refusal: whether callers would take the status as a promise that the request
        has not run, which the server does not make.
    :param headers: headers that are passed on to the caller.
    :param leaving: whether the server announces its shutdown.
    :param pause_ms: time for which the server requests no further attempts from this instance;
        ``None`` without such a request.
    :param malformed_headers: announcement headers that could not be parsed; empty if there are
        none.
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
    unconfirmed_refusal: bool = False

    @property
    def is_failure(self) -> bool:
        """Return whether the server failed the request."""
        return self.status >= 500 or self.unconfirmed_refusal


@dataclass(frozen=True, slots=True)
class AttemptAnswered:
    """Report the answer of a server to an attempt."""

    at: Millis
    attempt_id: int
    answer: UpstreamAnswer


class FailureKind(Enum):
    """Reason why an attempt got no answer."""

    REFUSED = "refused"
    CONNECT_TIMEOUT = "connect_timeout"
    CLOSED = "closed"
    RESET = "reset"
    BAD_ANSWER = "bad_answer"
    OTHER_SERVER = "other_server"
    # The server reset a new connection at once, as it does beyond its connection limit.
    NOT_ACCEPTED = "not_accepted"
    # The server became unusable while a connection to it was being opened.
    WITHDRAWN = "withdrawn"

    @property
    def is_unreachable(self) -> bool:
        """Return whether the failure shows that no connection to the server can be opened."""
        return self in (FailureKind.REFUSED, FailureKind.CONNECT_TIMEOUT)


@dataclass(frozen=True, slots=True)
class AttemptFailed:
    """Report that an attempt ended without an answer.

    :param may_have_run: false only if no byte of the request was sent or the server reported that
        it did not run the request.
    """

    at: Millis
    attempt_id: int
    failure: FailureKind
    may_have_run: bool


@dataclass(frozen=True, slots=True)
class ConnectionProbed:
    """Report the result of a connection probe.

    :param failure: why no connection could be opened; ``None`` if one was.
    """

    at: Millis
    server_id: str
    failure: FailureKind | None = None


@dataclass(frozen=True, slots=True)
class GossipReceived:
    """Report a gossip message, request or reply, of another instance."""

    at: Millis
    message: GossipMessage


@dataclass(frozen=True, slots=True)
class ConfigurationReceived:
    """Report a configuration from the registry or another instance."""

    at: Millis
    configuration: Configuration


@dataclass(frozen=True, slots=True)
class ServerEntryReceived:
    """Report that a server published an entry.

    :param from_peer: whether the entry comes from another instance instead of the registry.
    """

    at: Millis
    entry: ServerEntry
    from_peer: bool = False


@dataclass(frozen=True, slots=True)
class ServerEntryRemoved:
    """Report that the entry of a server was removed, by the server or because its lease expired.

    :param revision: revision of the registry at which the entry was removed.
    :param from_peer: whether the removal comes from another instance instead of the registry.
    """

    at: Millis
    server_id: str
    revision: int
    from_peer: bool = False


@dataclass(frozen=True, slots=True)
class ServersListed:
    """Report a full list of entries; older entries that are not listed were removed.

    :param revision: revision of the registry at which the list was read.
    :param unreadable_ids: servers whose entries are listed but cannot be parsed.
    :param from_peer: whether the list comes from another instance instead of the registry.
    """

    at: Millis
    revision: int
    entries: tuple[ServerEntry, ...]
    unreadable_ids: frozenset[str] = frozenset()
    from_peer: bool = False


@dataclass(frozen=True, slots=True)
class RegistryLost:
    """Report that reads of the registry fail."""

    at: Millis
    reason: str


@dataclass(frozen=True, slots=True)
class RegistryRead:
    """Report that all changes of the registry up to a revision were delivered.

    :param read_at: when this or another instance last found no newer revision in the registry.
    """

    at: Millis
    revision: int
    read_at: Millis


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """Report reloaded settings."""

    at: Millis
    settings: ForwardingSettings


@dataclass(frozen=True, slots=True)
class ShutdownRequested:
    """Report a request to stop the process."""

    at: Millis


@dataclass(frozen=True, slots=True)
class CallersLeft:
    """Report that the last caller has disconnected."""

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
