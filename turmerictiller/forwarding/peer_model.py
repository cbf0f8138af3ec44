"""Data about other instances, and what instances tell each other."""

from __future__ import annotations

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
class Hello:
    """What one instance tells another.

    :param crashes_by_fingerprint: calls that crashed a server, by request, as the sender saw it.
    :param version: version of its configuration; 0 without one.
    :param live_instances: how many the sender counts, itself included; 0 if it does not say.
    :param wants_documents: the sender can not read them where they are published.
    """

    sender: PeerEntry
    leaving: bool
    entries: tuple[PeerEntry, ...]
    crashes_by_fingerprint: dict[int, int]
    version: int
    wants_documents: bool
    slow_servers: tuple[SlowServer, ...] = ()
    live_instances: int = 0
    contested_servers: tuple[ContestedServer, ...] = ()


@dataclass(slots=True)
class PeerState:
    """Another instance."""

    address: str
    incarnation: int
    heard_at: Millis
