"""Data that instances tell each other by gossip."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class PeerStatus(Enum):
    """Where an entry instance is in its life. The value is the number on the wire."""

    STARTING = 1
    READY = 2
    DRAINING = 3
    GONE = 4


@dataclass(frozen=True, slots=True)
class Member:
    """One entry instance as it describes itself.

    :param heartbeat: counter that grows with each gossip round of this incarnation.
    """

    id: str
    incarnation: str
    heartbeat: int
    address: str
    domain: str
    status: PeerStatus


@dataclass(frozen=True, slots=True)
class DrainingServer:
    """An incarnation of an upstream server that takes no new work."""

    id: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class QuarantineEntry:
    """A request that crashes upstreams.

    :param servers: ids of the servers that were lost while it ran.
    :param remaining_ms: time until one call may test it again.
    :param tests_failed: tests after which a server was lost again.
    """

    fingerprint: str
    blame: float
    servers: tuple[str, ...]
    remaining_ms: float
    tests_failed: int = 0


@dataclass(frozen=True, slots=True)
class GossipMessage:
    """One gossip message.

    :param note_number: number of the sender's note in force, 0 for none.
    :param ask: number of the ask that the receiver must answer at once, 0 for none.
    :param answer_to: the ask that this message answers, 0 for none.
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
