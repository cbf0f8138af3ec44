"""Reading and validation of the platform's settings file."""

from __future__ import annotations

import tomllib
from typing import TYPE_CHECKING, Annotated, Any

import msgspec
from msgspec import Meta, Struct, field

from turmerictiller.errors import ConfigError
from turmerictiller.forwarding.settings import ForwardingSettings

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

SETTINGS_VARIABLE = "TURMERICTILLER_NODE_FILE"

NonEmptyStr = Annotated[str, Meta(min_length=1)]
PositiveFloat = Annotated[float, Meta(gt=0)]
NonNegativeFloat = Annotated[float, Meta(ge=0)]


# Unknown fields are ignored, because the platform may add fields at any time.
class ListenAddresses(Struct, frozen=True):
    """Addresses of the listeners as ``IP:PORT``; ``front`` serves callers."""

    front: NonEmptyStr
    ready: NonEmptyStr


class Limits(Struct, frozen=True):
    """Resource limits of the machine."""

    max_descriptors: Annotated[int, Meta(ge=256)] = field(name="maxFds")


class Bounds(Struct, frozen=True):
    """Bounds that the platform checks; its ``budget`` limits extra attempts."""

    drain_ms: PositiveFloat = field(name="drainMs")
    apply_ms: PositiveFloat = field(name="applyMs")
    grace_s: PositiveFloat = field(name="graceS")
    extra_ratio: NonNegativeFloat = field(name="budgetRatio")
    extra_window_s: PositiveFloat = field(name="budgetWindowS")
    extra_slack: NonNegativeFloat = field(name="budgetSlack")
    # Time after a disturbance of an instance from which the other bounds hold for it again.
    contact_ms: PositiveFloat = field(name="contactMs")

    @property
    def registry_bound_ms(self) -> float:
        """Return the time within which a change of the store must take effect, in milliseconds."""
        return min(self.drain_ms, self.apply_ms)


class Store(Struct, frozen=True):
    """Address of the platform's metadata store."""

    address: NonEmptyStr


class NodeFile(Struct, frozen=True):
    """The fields of the settings file that this adapter uses."""

    instance_id: NonEmptyStr = field(name="node")
    failure_domain: NonEmptyStr = field(name="zone")
    listen: ListenAddresses = field(name="listenAddrs")
    limits: Limits
    bounds: Bounds
    store: Store = field(name="platform")
    ip: NonEmptyStr
    # Ports for the system's internal use, the same on all machines.
    internal_ports: Annotated[tuple[int, ...], Meta(min_length=1)] = field(name="portRange")
    # Addresses of up to three machines of the system, of which only the hosts are used.
    seeds: tuple[str, ...] = ()

    def forwarding_settings(self, seed: int) -> ForwardingSettings:
        """Return the settings of the forwarding core."""
        return ForwardingSettings(
            instance_id=self.instance_id,
            failure_domain=self.failure_domain,
            seed=seed,
            peer_address=f"{self.ip}:{self.internal_ports[0]}",
            seed_addresses=tuple(
                f"{seed.rpartition(':')[0]}:{self.internal_ports[0]}" for seed in self.seeds
            ),
            extra_ratio=self.bounds.extra_ratio,
            extra_slack=self.bounds.extra_slack,
            extra_window_ms=self.bounds.extra_window_s * 1000,
            drain_ms=self.bounds.drain_ms,
            registry_bound_ms=self.bounds.registry_bound_ms,
            grace_ms=self.bounds.grace_s * 1000,
        )


def read_settings(path: Path) -> NodeFile:
    """Read and validate the settings file.

    :raises ConfigError: with all errors, each prefixed with the name of its field.
    """
    try:
        values = tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise ConfigError([f"{path}: {error.strerror}"]) from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise ConfigError([f"{path}: {error}"]) from None
    problems = list(_validation_errors(values, NodeFile, ""))
    if problems:
        raise ConfigError(problems)
    return msgspec.convert(values, NodeFile)


def _validation_errors(values: Any, kind: type[Struct], prefix: str) -> Iterator[str]:
    """Yield all errors; converting the struct as a whole would report only the first."""
    if not isinstance(values, dict):
        yield f"{prefix.rstrip('.')}: must be a table"
        return
    for item in msgspec.structs.fields(kind):
        name = f"{prefix}{item.encode_name}"
        if item.encode_name not in values:
            yield f"{name}: is missing"
        elif isinstance(item.type, type) and issubclass(item.type, Struct):
            yield from _validation_errors(values[item.encode_name], item.type, f"{name}.")
        else:
            try:
                msgspec.convert(values[item.encode_name], item.type)
            except msgspec.ValidationError as error:
                yield f"{name}: {error}"
