"""Search fronts, services and servers, as defined by a release note."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Any


class OverloadPolicy(Enum):
    """Reaction of a front to overload: refuse searches, or reduce their coverage first."""

    REFUSE = "refuse"
    DEGRADE = "degrade"


class Priority(Enum):
    """Priority of a search in the queues and in admission control."""

    INTERACTIVE = "interactive"
    BATCH = "batch"


@dataclass(frozen=True, slots=True)
class Server:
    """One upstream server.

    :param address: ``host:port`` with an IP number.
    """

    id: str
    address: str
    domain: str


@dataclass(frozen=True, slots=True)
class Service:
    """A set of shards that every server of the service holds completely.

    :param slots: calls that one server runs concurrently.
    :param connections: connections that one server accepts from all instances together.
    """

    name: str
    servers_by_id: dict[str, Server]
    slots: int
    connections: int
    open_ms: float


@dataclass(frozen=True, slots=True)
class Front:
    """A search front over one or more services."""

    name: str
    services_by_name: dict[str, Service]
    actions: frozenset[str] = frozenset()
    k_max: int = 100
    deadline_default_ms: float = 500
    deadline_max_ms: float = 5000
    coverage_floor: float = 0.0
    overload: OverloadPolicy = OverloadPolicy.REFUSE
    priority: Priority = Priority.INTERACTIVE


@dataclass(frozen=True, slots=True)
class Configuration:
    """Fronts and services in force, with the included fronts resolved."""

    fronts_by_name: dict[str, Front]
    services_by_name: dict[str, Service]


@dataclass(frozen=True, slots=True)
class NoteInForce:
    """An accepted release note.

    :param document: the note as published, for replication to peers.
    """

    number: int
    digest: str
    configuration: Configuration
    document: dict[str, Any] = field(repr=False, compare=False)
