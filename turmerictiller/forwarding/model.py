"""Routes, services and servers, as published by the operator and by the servers."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from turmerictiller.clock import Millis


@dataclass(frozen=True, slots=True)
class Route:
    """Rules for the requests of one host under one path prefix.

    :param shards: services that are all queried; empty if one service answers alone.
    :param weights: weight by service if one service answers alone.
    :param idempotent: whether a request may run more than once.
    :param timeout_ms: maximum time until the caller gets an answer or a refusal.
    :param target_ms: latency target; a later answer is of less use to the caller.
    :param priority: rank; 0 is the most urgent.
    :param max_servers: maximum number of servers of one service on which a request may run.
    :param top: maximum number of records in a merged answer.
    :param min_share: minimum share of the shards in a merged answer.
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
    """A group of interchangeable servers.

    :param max_connections: maximum number of connections that one server accepts from all
        instances together.
    """

    name: str
    max_connections: int


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on callers' requests and connections, in bytes and milliseconds."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the configuration that the operator publishes.

    :param routes_by_host: routes by prefix, by host.
    """

    version: int
    routes_by_host: Mapping[str, Mapping[str, Route]]
    services_by_name: Mapping[str, Service]
    limits: CallerLimits = field(default_factory=CallerLimits)


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """The registry entry of a server.

    :param revision: revision of the registry at which the entry was written.
    :param slots: number of requests that the server runs at once.
    :param incarnation: identifier of one start of the server under its id.
    :param warmup_ms: remaining time for which the server is slow after its start.
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
