"""The platform's settings file."""

from __future__ import annotations

import tomllib
from pathlib import Path

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from turmerictiller.errors import ConfigError
from turmerictiller.forwarding.settings import ForwardingSettings

SETTINGS_VARIABLE = "TURMERICTILLER_NODE_FILE"


class _Model(BaseModel):
    # The platform may add fields at any time.
    model_config = ConfigDict(frozen=True, extra="ignore")


class ListenAddresses(_Model):
    """``IP:PORT`` of the listeners; ``front`` is the one for callers."""

    front: str
    ready: str


class Limits(_Model):
    max_descriptors: int = Field(alias="maxFds", ge=256)


class Bounds(_Model):
    """Bounds that the platform judges by; extra attempts are its ``budget``."""

    drain_ms: float = Field(alias="drainMs", gt=0)
    grace_s: float = Field(alias="graceS", gt=0)
    extra_ratio: float = Field(alias="budgetRatio", ge=0)
    extra_window_s: float = Field(alias="budgetWindowS", gt=0)
    extra_slack: float = Field(alias="budgetSlack", ge=0)


class Store(_Model):
    """Where the platform's metadata store listens."""

    address: str


class NodeFile(_Model):
    """The fields of the settings file that this adapter uses."""

    instance_id: str = Field(alias="node", min_length=1)
    failure_domain: str = Field(alias="zone", min_length=1)
    listen: ListenAddresses = Field(alias="listenAddrs")
    limits: Limits
    bounds: Bounds
    store: Store = Field(alias="platform")

    def forwarding_settings(self, seed: int) -> ForwardingSettings:
        """Return the product's settings."""
        return ForwardingSettings(
            instance_id=self.instance_id,
            failure_domain=self.failure_domain,
            seed=seed,
            extra_ratio=self.bounds.extra_ratio,
            extra_slack=self.bounds.extra_slack,
            extra_window_ms=self.bounds.extra_window_s * 1000,
            drain_ms=self.bounds.drain_ms,
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
    try:
        return NodeFile.model_validate(values)
    except ValidationError as error:
        raise ConfigError(
            [
                f"{'.'.join(str(part) for part in item['loc'])}: {item['msg']}"
                for item in error.errors()
            ]
        ) from None
