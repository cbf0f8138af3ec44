"""Values of the platform's store: the operator's configuration and the entries of servers."""

from __future__ import annotations

import ipaddress
from typing import Annotated, Literal

from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    Field,
    StrictInt,
    StrictStr,
    ValidationError,
)

from turmerictiller.errors import TurmericError
from turmerictiller.forwarding.model import (
    CallerLimits,
    Configuration,
    Route,
    ServerEntry,
    Service,
)

NON_IDEMPOTENT = "non_idempotent"
IDEMPOTENT = "idempotent"


class DocumentError(TurmericError):
    """A value of the store that can not be used."""


def _check_address(value: str) -> str:
    host, _, port = value.rpartition(":")
    ipaddress.IPv4Address(host)
    if not port.isdecimal() or not 0 < int(port) < 65_536:
        raise ValueError("not of the form IP:PORT")
    return value


class _Model(BaseModel):
    model_config = ConfigDict(frozen=True, extra="ignore")


class _ServerValue(_Model):
    service: StrictStr = Field(min_length=1)
    address: Annotated[StrictStr, AfterValidator(_check_address)]
    zone: StrictStr
    slots: StrictInt = Field(ge=1)
    state: Literal["ready", "draining"]
    # How much longer the server stays slow after its start; it does not say that it is warming up.
    cold_ms: float = Field(0.0, alias="warmupLeftMs", ge=0)
    # The Unix time of the start; here only a name of the incarnation.
    born: StrictInt = 0


def read_server(server_id: str, revision: int, value: bytes) -> ServerEntry:
    """Read the entry of a server.

    :raises DocumentError: if the value is none, as other writers may leave it.
    """
    try:
        entry = _ServerValue.model_validate_json(value)
    except (ValidationError, ValueError) as error:
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


class _WeightedService(_Model):
    service: StrictStr
    weight: float = Field(ge=0)


class _RouteValue(_Model):
    name: StrictStr
    host: StrictStr
    prefix: StrictStr
    kind: StrictStr
    timeout_ms: float = Field(alias="timeoutMs", gt=0)
    target_ms: float = Field(alias="targetLatencyMs", gt=0)
    # The number of servers on which one request may run, not of sendings.
    max_servers: int = Field(1, alias="maxAttempts", ge=1)
    priority: int = 0
    service: StrictStr | None = None
    split: tuple[_WeightedService, ...] = ()
    gather: tuple[StrictStr, ...] = ()
    top: int = Field(0, alias="topK", ge=0)
    min_share: float = Field(1.0, alias="minShare", ge=0, le=1)


class _ServiceValue(_Model):
    name: StrictStr
    max_connections: int = Field(8, alias="maxConns", ge=1)


class _LimitsValue(_Model):
    max_header_bytes: int = Field(16_384, alias="maxHeaderBytes", ge=1)
    max_body_bytes: int = Field(262_144, alias="maxBodyBytes", ge=0)
    header_timeout_ms: float = Field(3_000, alias="headerTimeoutMs", gt=0)
    idle_timeout_ms: float = Field(15_000, alias="idleTimeoutMs", gt=0)


class _ConfigurationValue(_Model):
    version: StrictInt
    routes: tuple[_RouteValue, ...]
    services: tuple[_ServiceValue, ...] = ()
    limits: _LimitsValue | None = None


def read_configuration(value: bytes) -> Configuration:
    """Read the operator's configuration.

    :raises DocumentError: if it can not be read.
    """
    try:
        document = _ConfigurationValue.model_validate_json(value)
    except (ValidationError, ValueError) as error:
        raise DocumentError(str(error)[:500]) from None
    routes_by_host: dict[str, dict[str, Route]] = {}
    for item in document.routes:
        routes_by_host.setdefault(item.host.lower(), {})[item.prefix] = _route(item)
    services = {item.name: Service(item.name, item.max_connections) for item in document.services}
    limits = CallerLimits(**document.limits.model_dump()) if document.limits else CallerLimits()
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
