"""Parsing of values in the platform's store: the configuration and the server entries."""

from __future__ import annotations

import ipaddress
import re
from typing import Annotated, Literal, TypeVar

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

IDEMPOTENT_KIND = "idempotent"
# JSON does not limit integers. No count or time of a server is larger.
MAX_INTEGER = 2**63 - 1
# Ids are sent to servers in a header, so they must not contain spaces or control characters.
_SERVER_ID = re.compile(r"[!-~]+")

T = TypeVar("T")

NonEmptyStr = Annotated[str, Meta(min_length=1)]
PositiveInt = Annotated[int, Meta(ge=1, le=MAX_INTEGER)]
PositiveFloat = Annotated[float, Meta(gt=0)]
NonNegativeFloat = Annotated[float, Meta(ge=0)]
UnitInterval = Annotated[float, Meta(ge=0, le=1)]


class DocumentError(TurmericError):
    """A value of the store is invalid."""


# The fields without a default are in every entry that a server writes, so an entry that lacks one
# comes from another writer, even if the field is not used here.
class _ServerValue(Struct, frozen=True):
    service: NonEmptyStr
    address: NonEmptyStr
    zone: str
    version: str
    slots: PositiveInt
    state: Literal["ready", "draining"]
    # How much longer the server is slow after its start; not an indication that it is warming up.
    warmup_left_ms: NonNegativeFloat = field(name="warmupLeftMs")
    sequence: int
    # Unix time of the server's start; used only to identify the incarnation.
    born: Annotated[int, Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)] = 0


def _decode(value: bytes, kind: type[T]) -> T:
    """Decode and validate a JSON document.

    :raises DocumentError: if it is invalid or nested too deeply.
    """
    try:
        return msgspec.json.decode(value, type=kind)
    except (msgspec.DecodeError, ValueError) as error:
        raise DocumentError(str(error)[:500]) from None
    except RecursionError:
        raise DocumentError("nested too deeply") from None


def _validate_address(value: str) -> None:
    host, _, port = value.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
        is_valid = value.isascii() and port.isdecimal() and 0 < int(port) < 65_536
    except ValueError:
        is_valid = False
    if not is_valid:
        raise DocumentError(f"{value[:64]!r} is not of the form IP:PORT")


def parse_server_entry(server_id: str, revision: int, value: bytes) -> ServerEntry:
    """Parse the entry of a server.

    :raises DocumentError: if the id or the value is invalid, since the store accepts any.
    """
    if not _SERVER_ID.fullmatch(server_id):
        raise DocumentError("the id is not visible ASCII text")
    entry = _decode(value, _ServerValue)
    _validate_address(entry.address)
    return ServerEntry(
        server_id,
        revision,
        entry.service,
        entry.address,
        entry.zone,
        entry.slots,
        entry.state == "draining",
        entry.born,
        entry.warmup_left_ms,
    )


class _WeightedService(Struct, frozen=True):
    service: NonEmptyStr
    weight: NonNegativeFloat


class _RouteValue(Struct, frozen=True):
    name: NonEmptyStr
    host: NonEmptyStr
    prefix: NonEmptyStr
    kind: str
    timeout_ms: PositiveFloat = field(name="timeoutMs")
    target_latency_ms: PositiveFloat = field(name="targetLatencyMs")
    # Number of servers on which one request may run, not of send attempts.
    max_servers: PositiveInt = field(default=1, name="maxAttempts")
    priority: int = 0
    service: str | None = None
    split: tuple[_WeightedService, ...] = ()
    gather: tuple[NonEmptyStr, ...] = ()
    top_k: Annotated[int, Meta(ge=0)] = field(default=0, name="topK")
    min_share: UnitInterval = field(default=1.0, name="minShare")


class _ServiceValue(Struct, frozen=True):
    name: NonEmptyStr
    max_connections: PositiveInt = field(default=8, name="maxConns")


class _LimitsValue(Struct, frozen=True):
    max_header_bytes: PositiveInt = field(default=16_384, name="maxHeaderBytes")
    max_body_bytes: PositiveInt = field(default=262_144, name="maxBodyBytes")
    header_timeout_ms: PositiveFloat = field(default=3_000.0, name="headerTimeoutMs")
    idle_timeout_ms: PositiveFloat = field(default=15_000.0, name="idleTimeoutMs")


class _ConfigurationValue(Struct, frozen=True):
    version: int
    routes: tuple[_RouteValue, ...]
    services: tuple[_ServiceValue, ...] = ()
    limits: _LimitsValue = _LimitsValue()


def parse_configuration(value: bytes) -> Configuration:
    """Parse the operator's configuration.

    :raises DocumentError: if it is invalid.
    """
    document = _decode(value, _ConfigurationValue)
    routes_by_host: dict[str, dict[str, Route]] = {}
    for item in document.routes:
        routes_by_host.setdefault(item.host.lower(), {})[item.prefix] = _build_route(item)
    services = {item.name: Service(item.name, item.max_connections) for item in document.services}
    limits = CallerLimits(**msgspec.structs.asdict(document.limits))
    return Configuration(document.version, routes_by_host, services, limits)


def _build_route(item: _RouteValue) -> Route:
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
        # Merged answers consist of repeatable requests. No other kind is idempotent.
        idempotent=item.kind == IDEMPOTENT_KIND or bool(item.gather),
        timeout_ms=item.timeout_ms,
        target_ms=item.target_latency_ms,
        priority=item.priority,
        max_servers=item.max_servers,
        top=item.top_k,
        min_share=item.min_share,
    )
