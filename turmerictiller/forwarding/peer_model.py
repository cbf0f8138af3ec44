"""State of other instances and the contents of gossip messages."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from turmerictiller.clock import Millis


@dataclass(frozen=True, slots=True)
class PeerEntry:
    """Gossip about one instance.

    :param age_ms: time since any instance last received a message from it.
    """

    id: str
    address: str
    incarnation: int
    age_ms: Millis
    domain: str = ""


@dataclass(frozen=True, slots=True)
class CrashReport:
    """Number of server crashes under a request, as observed by one instance.

    :param origin: incarnation of the observing instance.
    :param age_ms: time since that instance last changed the number.
    """

    fingerprint: int
    origin: int
    crashes: int
    age_ms: Millis


@dataclass(frozen=True, slots=True)
class SlowServer:
    """Gossip about a server with slow answers.

    :param weight: number of slow answers, decayed by age and halved with each exchange.
    :param slowness: mean ratio of their times to the median.
    """

    server_id: str
    weight: float
    slowness: float


@dataclass(frozen=True, slots=True)
class ContestedServer:
    """Gossip about a server that reset a new connection.

    :param age_ms: time since the reset.
    """

    server_id: str
    age_ms: Millis


@dataclass(frozen=True, slots=True)
class GossipMessage:
    """A gossip message between two instances.

    :param leaving: whether the sender is shutting down.
    :param version: version of its configuration; 0 without one.
    :param live_instances: number of instances that the sender counts, itself included; 0 if it is
        not specified.
    :param wants_documents: whether the sender cannot read documents from the registry itself.
    :param crash_reports: crash counts of the sender and of other instances.
    :param revision: revision of the registry up to which the sender has all changes.
    :param read_age_ms: time since the sender's copy of the registry was last current.
    :param follows: whether the sender requests the changes after its revision.
    :param declines_large_documents: whether the sender wants only small changes, because it is
        receiving documents from another instance.
    :param accepts_deflated: whether the reply may hold compressed documents.
    """

    sender: PeerEntry
    leaving: bool
    entries: tuple[PeerEntry, ...]
    version: int
    wants_documents: bool
    slow_servers: tuple[SlowServer, ...] = ()
    live_instances: int = 0
    contested_servers: tuple[ContestedServer, ...] = ()
    crash_reports: tuple[CrashReport, ...] = ()
    revision: int = 0
    read_age_ms: Millis = math.inf
    follows: bool = False
    declines_large_documents: bool = False
    accepts_deflated: bool = False


@dataclass(slots=True)
class PeerState:
    """State of another instance.

    :param last_seen_at: when any instance last received a message from it.
    """

    address: str
    incarnation: int
    last_seen_at: Millis
    domain: str = ""
