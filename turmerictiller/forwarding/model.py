"""Routes, services and servers as the operator and the servers publish them."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from turmerictiller.clock import Millis


@dataclass(frozen=True, slots=True)
class Route:
    """What happens to requests of one host under one path prefix.

    :param shards: services that are all asked; empty if one service answers alone.
    :param weights: weight by service if one service answers alone.
    :param idempotent: whether a request may run more than once.
    :param timeout_ms: longest time that a caller is kept waiting.
    :param target_ms: time within which an answer is of full use.
    :param priority: rank; 0 is the most urgent.
    :param max_servers: servers of one service on which a request may run.
    :param top: records of a merged answer.
    :param min_share: least share of the shards in a merged answer.
    """

    name: str
    host: str
    prefix: str
    shards: tuple[str, ...]
    weights: Mapping[str, float]
    idempotent: bool
    timeout_ms: float
    target_ms: float
    priority: int = 0
    max_servers: int = 1
    top: int = 0
    min_share: float = 1.0

    @property
    def services(self) -> tuple[str, ...]:
        return self.shards or tuple(self.weights)


@dataclass(frozen=True, slots=True)
class Service:
    """A group of servers that answer equally well.

    :param max_connections: connections that one server accepts from all instances together.
    """

    name: str
    max_connections: int


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bounds on what a caller may send, in bytes and milliseconds."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of what the operator publishes.

    :param routes_by_host: for each host, the routes by their prefix.
    """

    version: int
    routes_by_host: Mapping[str, Mapping[str, Route]]
    services_by_name: Mapping[str, Service]
    limits: CallerLimits = field(default_factory=CallerLimits)


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """What a server publishes of itself.

    :param revision: revision of the registry at which the entry was written.
    :param incarnation: identity of one start of the server under its id.
    :param warmup_ms: how much longer the server is slow after its start.
    """

    id: str
    revision: int
    service: str
    address: str
    domain: str
    slots: int
    draining: bool = False
    incarnation: int = 0
    warmup_ms: Millis = 0.0
