"""The platform's settings file."""

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

Text = Annotated[str, Meta(min_length=1)]
Positive = Annotated[float, Meta(gt=0)]
NotNegative = Annotated[float, Meta(ge=0)]


# Fields that are not named here are ignored: the platform may add some at any time.
class ListenAddresses(Struct, frozen=True):
    """``IP:PORT`` of the listeners; ``front`` is the one for callers."""

    front: Text
    ready: Text


class Limits(Struct, frozen=True):
    """Limits of the machine."""

    max_descriptors: Annotated[int, Meta(ge=256)] = field(name="maxFds")


class Bounds(Struct, frozen=True):
    """Bounds that the platform judges by; its ``budget`` is that of extra attempts."""

    drain_ms: Positive = field(name="drainMs")
    apply_ms: Positive = field(name="applyMs")
    grace_s: Positive = field(name="graceS")
    extra_ratio: NotNegative = field(name="budgetRatio")
    extra_window_s: Positive = field(name="budgetWindowS")
    extra_slack: NotNegative = field(name="budgetSlack")

    @property
    def registry_ms(self) -> float:
        """Return the time within which a change of the store must take effect."""
        return min(self.drain_ms, self.apply_ms)


class Store(Struct, frozen=True):
    """Where the platform's metadata store listens."""

    address: Text


class NodeFile(Struct, frozen=True):
    """The fields of the settings file that this adapter uses."""

    instance_id: Text = field(name="node")
    failure_domain: Text = field(name="zone")
    listen: ListenAddresses = field(name="listenAddrs")
    limits: Limits
    bounds: Bounds
    store: Store = field(name="platform")
    ip: Text
    # Free ports for the system's own use, the same on all machines.
    own_ports: Annotated[tuple[int, ...], Meta(min_length=1)] = field(name="portRange")
    # Addresses of up to three machines of the system; only their hosts matter here.
    seeds: tuple[str, ...] = ()

    def forwarding_settings(self, seed: int) -> ForwardingSettings:
        """Return the product's settings."""
        return ForwardingSettings(
            instance_id=self.instance_id,
            failure_domain=self.failure_domain,
            seed=seed,
            peer_address=f"{self.ip}:{self.own_ports[0]}",
            seed_addresses=tuple(
                f"{seed.rpartition(':')[0]}:{self.own_ports[0]}" for seed in self.seeds
            ),
            extra_ratio=self.bounds.extra_ratio,
            extra_slack=self.bounds.extra_slack,
            extra_window_ms=self.bounds.extra_window_s * 1000,
            drain_ms=self.bounds.drain_ms,
            registry_bound_ms=self.bounds.registry_ms,
            grace_ms=self.bounds.grace_s * 1000,
        )


def read_settings(path: Path) -> NodeFile:
    """Read and check the settings file.

    :raises ConfigError: with every mistake, each beginning with the name of its field.
    """
    try:
        values = tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise ConfigError([f"{path}: {error.strerror}"]) from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise ConfigError([f"{path}: {error}"]) from None
    problems = list(_problems(values, NodeFile, ""))
    if problems:
        raise ConfigError(problems)
    return msgspec.convert(values, NodeFile)


def _problems(values: Any, kind: type[Struct], prefix: str) -> Iterator[str]:
    """Yield the mistakes of each field; a conversion as a whole would stop at the first."""
    if not isinstance(values, dict):
        yield f"{prefix.rstrip('.')}: must be a table"
        return
    for item in msgspec.structs.fields(kind):
        name = f"{prefix}{item.encode_name}"
        if item.encode_name not in values:
            yield f"{name}: is missing"
        elif isinstance(item.type, type) and issubclass(item.type, Struct):
            yield from _problems(values[item.encode_name], item.type, f"{name}.")
        else:
            try:
                msgspec.convert(values[item.encode_name], item.type)
            except msgspec.ValidationError as error:
                yield f"{name}: {error}"
