"""Data about other instances, and what instances tell each other."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from turmerictiller.clock import Millis


@dataclass(frozen=True, slots=True)
class PeerEntry:
    """What is told of an instance.

    :param age_ms: time since it was last heard, by anyone.
    """

    id: str
    address: str
    incarnation: int
    age_ms: Millis
    domain: str = ""


@dataclass(frozen=True, slots=True)
class CrashReport:
    """Calls of a request that crashed servers, as one instance saw them.

    :param origin: the incarnation of the instance that saw them.
    :param age_ms: time since that instance last changed the number.
    """

    fingerprint: int
    origin: int
    crashes: int
    age_ms: Millis


@dataclass(frozen=True, slots=True)
class SlowServer:
    """What is told of a server with slow answers.

    :param weight: number of slow answers, less by age and by what others were told.
    :param slowness: their times as a multiple of the usual one.
    """

    server_id: str
    weight: float
    slowness: float


@dataclass(frozen=True, slots=True)
class ContestedServer:
    """What is told of a server that turned away a new connection.

    :param age_ms: time since then.
    """

    server_id: str
    age_ms: Millis


@dataclass(frozen=True, slots=True)
class GossipMessage:
    """What one instance tells another.

    :param version: version of its configuration; 0 without one.
    :param live_instances: how many the sender counts, itself included; 0 if it does not say.
    :param wants_documents: the sender can not read them where they are published.
    :param crash_reports: what the sender and others have seen of requests that crash servers.
    :param revision: revision of the registry up to which the sender knows all changes.
    :param read_age_ms: time since the registry had nothing newer for the sender.
    :param follows: the sender wants the changes after its revision.
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


@dataclass(slots=True)
class PeerState:
    """Another instance."""

    address: str
    incarnation: int
    last_seen_at: Millis
    domain: str = ""
