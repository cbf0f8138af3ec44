"""Pydantic models of a release note in the form in which operators publish it."""

from __future__ import annotations

import ipaddress
from typing import Annotated, Any, Literal

from pydantic import BaseModel, ConfigDict, Field, field_validator

Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9_.-]{1,64}$")]
Digest = Annotated[str, Field(pattern=r"^([0-9a-f]{64})?$")]


class _Model(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True, strict=True)


class ServerModel(_Model):
    """One upstream server."""

    id: Name
    address: str
    domain: Name

    @field_validator("address")
    @classmethod
    def _check_address(cls, value: str) -> str:
        host, _, port = value.rpartition(":")
        try:
            ipaddress.ip_address(host.strip("[]"))
        except ValueError:
            raise ValueError("must be IP:PORT") from None
        if not port.isdecimal() or not 1 <= int(port) <= 65535:
            raise ValueError("must have a port from 1 to 65535")
        return value


class ServiceModel(_Model):
    """A set of shards and the servers that hold all of them."""

    name: Name
    servers: Annotated[list[ServerModel], Field(min_length=1, max_length=1_000)]
    slots: Annotated[int, Field(ge=1, le=10_000)]
    connections: Annotated[int, Field(ge=1, le=100_000)]
    open_ms: Annotated[float, Field(ge=0, le=60_000)] = 1.0


class FrontModel(_Model):
    """A search front."""

    name: Name
    services: list[Name] = []
    includes: list[Name] = []
    actions: list[Name] = []
    k_max: Annotated[int, Field(ge=1, le=10_000)] = 100
    deadline_default_ms: Annotated[float, Field(ge=1, le=600_000)] = 500.0
    deadline_max_ms: Annotated[float, Field(ge=1, le=600_000)] = 5_000.0
    coverage_floor: Annotated[float, Field(ge=0, le=1)] = 0.0
    overload: Literal["refuse", "degrade"] = "refuse"
    priority: Literal["interactive", "batch"] = "interactive"


class DefinitionsModel(_Model):
    """Services and fronts that a note adds or changes, or that result from it."""

    services: list[ServiceModel] = []
    fronts: list[FrontModel] = []


class WithdrawnModel(_Model):
    """Names of services and fronts that a note withdraws."""

    services: list[Name] = []
    fronts: list[Name] = []


class NoteModel(_Model):
    """A release note."""

    number: Annotated[int, Field(ge=1, le=2**53)]
    previous: Digest
    added: DefinitionsModel = DefinitionsModel()
    changed: DefinitionsModel = DefinitionsModel()
    withdrawn: WithdrawnModel = WithdrawnModel()
    result: DefinitionsModel


def to_document(note: NoteModel) -> dict[str, Any]:
    """Return the note as JSON-compatible data."""
    return note.model_dump(mode="json")
