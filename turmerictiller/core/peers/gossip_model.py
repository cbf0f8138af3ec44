"""Data that instances exchange by gossip."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class PeerStatus(Enum):
    """Lifecycle status of an entry instance; the value is the number on the wire."""

    STARTING = 1
    READY = 2
    DRAINING = 3
    GONE = 4


@dataclass(frozen=True, slots=True)
class Member:
    """Membership entry of an entry instance, as that instance published it.

    :param heartbeat: counter that increases with each gossip round of this incarnation.
    """

    id: str
    incarnation: str
    heartbeat: int
    address: str
    domain: str
    status: PeerStatus


@dataclass(frozen=True, slots=True)
class DrainingServer:
    """An incarnation of an upstream server that accepts no new requests."""

    id: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class QuarantineEntry:
    """A request that is quarantined because it crashes upstream servers.

    :param servers: ids of the servers that were lost while the request ran.
    :param remaining_ms: time until one call may test the request again.
    :param tests_failed: number of tests in which a server was lost again.
    """

    fingerprint: str
    blame: float
    servers: tuple[str, ...]
    remaining_ms: float
    tests_failed: int = 0


@dataclass(frozen=True, slots=True)
class GossipMessage:
    """A gossip message.

    :param note_number: number of the sender's note in force, 0 for none.
    :param ask: number of the ask that the receiver must answer immediately, 0 for none.
    :param answer_to: number of the ask that this message answers, 0 for none.
    :param answer_incarnation: incarnation of the instance that asked.
    """

    sender: Member
    note_number: int = 0
    note_digest: str = ""
    draining: tuple[DrainingServer, ...] = ()
    quarantine: tuple[QuarantineEntry, ...] = ()
    members: tuple[Member, ...] = ()
    ask: int = 0
    answer_to: int = 0
    answer_incarnation: str = ""
