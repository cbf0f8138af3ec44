"""Settings of an entry instance, checked as a whole before anything starts."""

from __future__ import annotations

import ipaddress
import secrets
from typing import Any

from pydantic import (
    BaseModel,
    ConfigDict,
    Field,
    SecretStr,
    ValidationError,
    field_validator,
    model_validator,
)

from turmerictiller.errors import ConfigError

ENVIRONMENT_PREFIX = "TURMERICTILLER_"


def _check_address(value: str) -> str:
    host, _, port = value.rpartition(":")
    ipaddress.ip_address(host.strip("[]"))
    if not port.isdecimal() or not 0 <= int(port) <= 65535:
        raise ValueError(f"{value!r} is not of the form IP:PORT")
    return value


class Settings(BaseModel):
    """All settings of one process. Times are in milliseconds, sizes in bytes."""

    # Defaults are validated too: a whole number given for a float would change its type on the way
    # through a trace, and then effects differ.
    model_config = ConfigDict(frozen=True, extra="forbid", validate_default=True)

    instance_id: str = Field(description="Name of this instance.", pattern=r"^[A-Za-z0-9_-]{1,64}$")
    failure_domain: str = Field(description="Failure domain of this instance.", min_length=1)
    caller_address: str = Field("127.0.0.1:8080", description="IP:PORT for callers.")
    peer_address: str = Field("127.0.0.1:8081", description="IP:PORT for other instances.")
    operator_address: str = Field("127.0.0.1:8082", description="IP:PORT for operators.")
    platform_address: str = Field("", description="IP:PORT of the platform; empty for none.")
    peers: tuple[str, ...] = Field((), description="IP:PORT of known peers, comma-separated.")
    incarnation: str = Field("", description="Identity of this start; drawn when empty.")
    seed: int = Field(0, description="Seed of the random generator; drawn when 0.", ge=0)
    ticket_secret: SecretStr = Field(
        SecretStr(""),
        description="Secret behind the digests of tickets; drawn when empty.",
        exclude=True,
        repr=False,
    )

    max_searches: int = Field(512, description="Searches in flight.", ge=1)
    max_queue_per_service: int = Field(256, description="Waiting calls per service.", ge=1)
    max_tickets: int = Field(20_000, description="Used tickets kept.", ge=1)
    max_runs: int = Field(512, description="Run requests in flight, own and forwarded.", ge=1)
    max_waiters_per_ticket: int = Field(16, description="Calls that wait for one run.", ge=1)
    max_calls_per_ticket: int = Field(
        32, description="Forwarded calls remembered per ticket.", ge=1
    )
    max_ticket_answer_bytes: int = Field(
        8_388_608, description="Size of all answers kept for repeats.", ge=0
    )
    max_peers: int = Field(1_000, description="Peers kept.", ge=1)
    max_suspects: int = Field(1_000, description="Quarantine entries kept.", ge=1)
    max_snapshots: int = Field(16, description="Shard maps kept.", ge=2)
    max_body_bytes: int = Field(65_536, description="Size of a caller's body.", ge=1_024)
    max_header_bytes: int = Field(16_384, description="Size of a caller's headers.", ge=1_024)
    max_answer_bytes: int = Field(4_194_304, description="Size of an upstream's answer.", ge=1_024)
    max_note_bytes: int = Field(1_000_000, description="Size of a release note.", ge=1_024)
    max_frame_bytes: int = Field(1_100_000, description="Size of a peer frame.", ge=1_024)
    max_caller_connections: int = Field(1_024, description="Connections of callers.", ge=1)
    max_peer_connections: int = Field(1_024, description="Connections of peers.", ge=1)
    max_trace_events: int = Field(5_000, description="Recent events kept for replay.", ge=0)
    max_trace_bytes: int = Field(8_388_608, description="Size of these events.", ge=0)
    max_equal_logs: int = Field(10, description="Equal log lines in ten seconds.", ge=1)
    max_logs: int = Field(200, description="Log lines in ten seconds.", ge=1)
    max_histograms: int = Field(256, description="Fronts and services with histograms.", ge=2)
    read_timeout_ms: float = Field(
        5_000,
        description="Time for a caller to send headers, to send a body or to take an answer.",
        gt=0,
    )
    caller_idle_ms: float = Field(
        75_000, description="Idle time after which a caller's connection is closed.", gt=0
    )

    ticket_lifetime_ms: float = Field(600_000, description="Life of a ticket.", gt=0)
    run_deadline_ms: float = Field(2_000, description="Default deadline of a run request.", gt=0)
    run_connect_timeout_ms: float = Field(
        250, description="Time to open a connection for a run request.", gt=0
    )
    min_run_budget_ms: float = Field(
        1, description="Shortest budget with which a run request is sent.", gt=0
    )
    return_margin_ms: float = Field(2, description="Time kept back for the way back.", ge=0)
    hedge_share: float = Field(0.03, description="Hedges per primary call.", ge=0, le=0.2)
    retry_share: float = Field(0.05, description="Retries per primary call.", ge=0, le=0.5)
    connection_margin: float = Field(
        0.9, description="Share of a server's connections that all instances use.", gt=0, le=1
    )
    platform_interval_ms: float = Field(
        1_000, description="Least time between calls of one watch of the platform.", ge=650
    )
    health_interval_ms: float = Field(1_000, description="Time between health polls.", gt=0)
    gossip_interval_ms: float = Field(1_000, description="Time between gossip rounds.", gt=0)
    gossip_fanout: int = Field(3, description="Peers per gossip round.", ge=1, le=16)
    peer_timeout_ms: float = Field(5_000, description="Silence after which a peer is down.", gt=0)
    peer_forget_ms: float = Field(
        60_000, description="Silence after which a peer may no longer count as live.", gt=0
    )
    gossip_bytes_per_s: int = Field(
        9_000, description="Gossip sent and received, packet headers included.", ge=2_000
    )
    join_wait_ms: float = Field(
        2_000, description="Time for peers to answer before the first note.", gt=0
    )
    join_contacts: int = Field(32, description="Peers asked per round before joining.", ge=1)
    note_fetch_timeout_ms: float = Field(
        5_000, description="Time to fetch a note from a peer.", gt=0
    )
    max_refused_notes: int = Field(32, description="Refused notes kept.", ge=1)
    peer_connect_timeout_ms: float = Field(
        1_000, description="Time to open a connection to a peer.", gt=0
    )
    peer_idle_ms: float = Field(
        60_000, description="Idle time after which a peer connection is closed.", gt=0
    )
    max_peer_requests: int = Field(
        128, description="Outstanding requests per peer connection.", ge=1
    )
    pause_threshold_ms: float = Field(1_000, description="Gap that counts as a pause.", gt=0)

    drain_notice_ms: float = Field(
        5_000, description="Time for the balancer to see a shutdown.", ge=0
    )
    quiet_close_ms: float = Field(
        2_000, description="Quiet time before idle connections are closed.", ge=0
    )
    shutdown_limit_ms: float = Field(30_000, description="Longest graceful shutdown.", gt=0)
    max_deadline_ms: float = Field(
        10_000, description="Longest deadline of any front or run request.", gt=0
    )

    @field_validator("caller_address", "peer_address", "operator_address")
    @classmethod
    def _listen_address(cls, value: str) -> str:
        return _check_address(value)

    @field_validator("platform_address")
    @classmethod
    def _optional_address(cls, value: str) -> str:
        return _check_address(value) if value else value

    @field_validator("peers", mode="before")
    @classmethod
    def _split_peers(cls, value: Any) -> Any:
        if isinstance(value, str):
            return tuple(part.strip() for part in value.split(",") if part.strip())
        return value

    @field_validator("peers")
    @classmethod
    def _peer_addresses(cls, value: tuple[str, ...]) -> tuple[str, ...]:
        return tuple(_check_address(part) for part in value)

    @model_validator(mode="after")
    def _check_together(self) -> Settings:
        problems = [*self._shutdown_problems(), *self._listener_problems()]
        if problems:
            raise ValueError("; ".join(problems))
        return self

    def _shutdown_problems(self) -> list[str]:
        if self.shutdown_limit_ms > self.drain_notice_ms + self.max_deadline_ms:
            return []
        return ["shutdown_limit_ms must be longer than drain_notice_ms plus max_deadline_ms"]

    def _listener_problems(self) -> list[str]:
        name_by_address: dict[str, str] = {}
        problems = []
        for name in ("caller_address", "peer_address", "operator_address"):
            address = getattr(self, name)
            other = name_by_address.setdefault(address, name)
            if other != name and not address.endswith(":0"):
                problems.append(f"{name} must not be the same as {other}")
        return problems

    def with_identity(self) -> Settings:
        """Return the settings with incarnation and seed drawn where they were left out."""
        return self.model_copy(
            update={
                "incarnation": self.incarnation or secrets.token_hex(16),
                "seed": self.seed or secrets.randbits(63) + 1,
                "ticket_secret": self.ticket_secret or SecretStr(secrets.token_hex(32)),
            }
        )


def load_settings(values: dict[str, Any]) -> Settings:
    """Check the given values together.

    :raises ConfigError: with every mistake, not only the first.
    """
    try:
        return Settings(**values)
    except ValidationError as error:
        raise ConfigError(_problems(values, error)) from None


def _problems(values: dict[str, Any], error: ValidationError) -> list[str]:
    """Return one line per mistake.

    Checks of several settings together run only when each passes its own. So they are run again
    with the wrong values left out, and count if they name none of these.
    """
    problems = _lines(error)
    wrong = {str(item["loc"][0]) for item in error.errors() if item["loc"]}
    if not wrong:
        return problems
    required = {name for name, field in Settings.model_fields.items() if field.is_required()}
    kept = {name: value for name, value in values.items() if name not in wrong}
    try:
        Settings(**dict.fromkeys(required, "x") | kept)
    except ValidationError as again:
        problems += [line for line in _lines(again) if not any(name in line for name in wrong)]
    return problems


def _lines(error: ValidationError) -> list[str]:
    return [
        f"{'.'.join(str(part) for part in item['loc']) or 'settings'}: {item['msg']}"
        for item in error.errors()
    ]
