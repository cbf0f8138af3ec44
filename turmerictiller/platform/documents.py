"""Values of the platform's store: the operator's configuration and the entries of servers."""

from __future__ import annotations

import ipaddress
from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Struct, field

from turmerictiller.errors import TurmericError
from turmerictiller.forwarding.model import (
    CallerLimits,
    Configuration,
    Route,
    ServerEntry,
    Service,
)

IDEMPOTENT = "idempotent"

Text = Annotated[str, Meta(min_length=1)]
Count = Annotated[int, Meta(ge=1)]
Positive = Annotated[float, Meta(gt=0)]
NotNegative = Annotated[float, Meta(ge=0)]
Share = Annotated[float, Meta(ge=0, le=1)]


class DocumentError(TurmericError):
    """A value of the store that can not be used."""


class _ServerValue(Struct, frozen=True):
    service: Text
    address: Text
    zone: str
    slots: Count
    state: Literal["ready", "draining"]
    # How much longer the server stays slow after its start; it does not say that it is warming up.
    cold_ms: NotNegative = field(default=0.0, name="warmupLeftMs")
    # The Unix time of the start; here only a name of the incarnation.
    born: int = 0


def _check_address(value: str) -> None:
    host, _, port = value.rpartition(":")
    ipaddress.IPv4Address(host)
    if not port.isdecimal() or not 0 < int(port) < 65_536:
        raise ValueError(f"{value!r} is not of the form IP:PORT")


def read_server(server_id: str, revision: int, value: bytes) -> ServerEntry:
    """Read the entry of a server.

    :raises DocumentError: if the value is none, as other writers may leave it.
    """
    try:
        entry = msgspec.json.decode(value, type=_ServerValue)
        _check_address(entry.address)
    except (msgspec.DecodeError, ValueError) as error:
        raise DocumentError(str(error)[:200]) from None
    return ServerEntry(
        server_id,
        revision,
        entry.service,
        entry.address,
        entry.zone,
        entry.slots,
        entry.state == "draining",
        entry.born,
        entry.cold_ms,
    )


class _WeightedService(Struct, frozen=True):
    service: Text
    weight: NotNegative


class _RouteValue(Struct, frozen=True):
    name: Text
    host: Text
    prefix: Text
    kind: str
    timeout_ms: Positive = field(name="timeoutMs")
    target_ms: Positive = field(name="targetLatencyMs")
    # The number of servers on which one request may run, not of sendings.
    max_servers: Count = field(default=1, name="maxAttempts")
    priority: int = 0
    service: str | None = None
    split: tuple[_WeightedService, ...] = ()
    gather: tuple[Text, ...] = ()
    top: Annotated[int, Meta(ge=0)] = field(default=0, name="topK")
    min_share: Share = field(default=1.0, name="minShare")


class _ServiceValue(Struct, frozen=True):
    name: Text
    max_connections: Count = field(default=8, name="maxConns")


class _LimitsValue(Struct, frozen=True):
    max_header_bytes: Count = field(default=16_384, name="maxHeaderBytes")
    max_body_bytes: Count = field(default=262_144, name="maxBodyBytes")
    header_timeout_ms: Positive = field(default=3_000.0, name="headerTimeoutMs")
    idle_timeout_ms: Positive = field(default=15_000.0, name="idleTimeoutMs")


class _ConfigurationValue(Struct, frozen=True):
    version: int
    routes: tuple[_RouteValue, ...]
    services: tuple[_ServiceValue, ...] = ()
    limits: _LimitsValue = _LimitsValue()


def read_configuration(value: bytes) -> Configuration:
    """Read the operator's configuration.

    :raises DocumentError: if it can not be read.
    """
    try:
        document = msgspec.json.decode(value, type=_ConfigurationValue)
    except (msgspec.DecodeError, ValueError) as error:
        raise DocumentError(str(error)[:500]) from None
    routes_by_host: dict[str, dict[str, Route]] = {}
    for item in document.routes:
        routes_by_host.setdefault(item.host.lower(), {})[item.prefix] = _route(item)
    services = {item.name: Service(item.name, item.max_connections) for item in document.services}
    limits = CallerLimits(**msgspec.structs.asdict(document.limits))
    return Configuration(document.version, routes_by_host, services, limits)


def _route(item: _RouteValue) -> Route:
    if item.split:
        weights = {part.service: part.weight for part in item.split if part.weight > 0}
    else:
        weights = {item.service: 1.0} if item.service else {}
    if not weights and not item.gather:
        raise DocumentError(f"route {item.name} names no service")
    return Route(
        name=item.name,
        host=item.host,
        prefix=item.prefix,
        shards=item.gather,
        weights=weights,
        # Merged answers are made of requests that may be repeated. Any other kind is not.
        idempotent=item.kind == IDEMPOTENT or bool(item.gather),
        timeout_ms=item.timeout_ms,
        target_ms=item.target_ms,
        priority=item.priority,
        max_servers=item.max_servers,
        top=item.top,
        min_share=item.min_share,
    )
