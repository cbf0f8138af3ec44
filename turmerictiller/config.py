"""Settings of an entry instance, validated together before the process starts."""

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

    # Validate defaults too: an integer default of a float setting would become a float when a trace
    # is loaded, and the effects of the replay would differ.
    model_config = ConfigDict(frozen=True, extra="forbid", validate_default=True)

    instance_id: str = Field(description="Name of this instance.", pattern=r"^[A-Za-z0-9_-]{1,64}$")
    failure_domain: str = Field(description="Failure domain of this instance.", min_length=1)
    caller_address: str = Field("127.0.0.1:8080", description="IP:PORT to listen on for callers.")
    peer_address: str = Field(
        "127.0.0.1:8081", description="IP:PORT to listen on for other instances."
    )
    operator_address: str = Field(
        "127.0.0.1:8082", description="IP:PORT to listen on for operators."
    )
    platform_address: str = Field("", description="IP:PORT of the platform; empty for none.")
    peers: tuple[str, ...] = Field((), description="IP:PORT of the seed peers, comma-separated.")
    incarnation: str = Field(
        "", description="Identifier of this start of the process; random if empty."
    )
    seed: int = Field(0, description="Seed of the random number generator; random if 0.", ge=0)
    ticket_secret: SecretStr = Field(
        SecretStr(""),
        description="Secret key of the digests of tickets; random if empty.",
        exclude=True,
        repr=False,
    )

    max_searches: int = Field(512, description="Maximum number of searches in flight.", ge=1)
    max_queue_per_service: int = Field(
        256, description="Maximum number of queued calls per service.", ge=1
    )
    max_tickets: int = Field(20_000, description="Maximum number of records of used tickets.", ge=1)
    max_runs: int = Field(
        512, description="Maximum number of run requests in flight, own and forwarded.", ge=1
    )
    max_waiters_per_ticket: int = Field(
        16, description="Maximum number of calls that wait for one run.", ge=1
    )
    max_calls_per_ticket: int = Field(
        32, description="Maximum number of forwarded calls recorded per ticket.", ge=1
    )
    max_ticket_answer_bytes: int = Field(
        8_388_608,
        description="Maximum total size of the answers stored for repeated requests.",
        ge=0,
    )
    max_peers: int = Field(
        1_000, description="Maximum number of peers in the membership list.", ge=1
    )
    max_suspects: int = Field(1_000, description="Maximum number of quarantine entries.", ge=1)
    max_snapshots: int = Field(16, description="Maximum number of shard maps.", ge=2)
    max_body_bytes: int = Field(65_536, description="Maximum size of a request body.", ge=1_024)
    max_header_bytes: int = Field(
        16_384, description="Maximum size of the headers of a request.", ge=1_024
    )
    max_answer_bytes: int = Field(
        4_194_304, description="Maximum size of a response body of an upstream.", ge=1_024
    )
    max_note_bytes: int = Field(1_000_000, description="Maximum size of a release note.", ge=1_024)
    max_frame_bytes: int = Field(
        1_100_000, description="Maximum size of a frame between peers.", ge=1_024
    )
    max_caller_connections: int = Field(
        1_024, description="Maximum number of connections of callers.", ge=1
    )
    max_peer_connections: int = Field(
        1_024, description="Maximum number of connections of peers.", ge=1
    )
    max_trace_events: int = Field(
        5_000, description="Maximum number of recent events recorded for replay.", ge=0
    )
    max_trace_bytes: int = Field(
        8_388_608, description="Maximum total size of the recorded events.", ge=0
    )
    max_equal_logs: int = Field(
        10, description="Maximum number of equal log lines in ten seconds.", ge=1
    )
    max_logs: int = Field(200, description="Maximum number of log lines in ten seconds.", ge=1)
    max_histograms: int = Field(
        256, description="Maximum number of histograms of fronts and services.", ge=2
    )
    read_timeout_ms: float = Field(
        5_000,
        description="Timeout for a caller to send headers, to send a body or to read a response.",
        gt=0,
    )
    caller_idle_ms: float = Field(
        75_000, description="Idle time after which a caller's connection is closed.", gt=0
    )

    ticket_lifetime_ms: float = Field(600_000, description="Lifetime of a ticket.", gt=0)
    run_deadline_ms: float = Field(2_000, description="Default deadline of a run request.", gt=0)
    run_connect_timeout_ms: float = Field(
        250, description="Connect timeout of a run request.", gt=0
    )
    min_run_budget_ms: float = Field(
        1, description="Minimum remaining time with which a run request is sent.", gt=0
    )
    return_margin_ms: float = Field(
        2, description="Part of the deadline reserved for the return of a response.", ge=0
    )
    hedge_share: float = Field(
        0.03, description="Budget of hedged calls, per primary call.", ge=0, le=0.2
    )
    retry_share: float = Field(
        0.05, description="Budget of retries, per primary call.", ge=0, le=0.5
    )
    connection_margin: float = Field(
        0.9,
        description="Share of a server's connection limit that all instances together use.",
        gt=0,
        le=1,
    )
    platform_interval_ms: float = Field(
        1_000, description="Minimum time between requests of one watch of the platform.", ge=650
    )
    health_interval_ms: float = Field(1_000, description="Time between health polls.", gt=0)
    gossip_interval_ms: float = Field(1_000, description="Time between gossip rounds.", gt=0)
    gossip_fanout: int = Field(3, description="Number of peers per gossip round.", ge=1, le=16)
    peer_timeout_ms: float = Field(
        5_000, description="Time without a heartbeat after which a peer is considered down.", gt=0
    )
    peer_forget_ms: float = Field(
        60_000,
        description="Time without a heartbeat after which a peer may no longer count as live.",
        gt=0,
    )
    gossip_bytes_per_s: int = Field(
        9_000,
        description="Bandwidth of gossip per second, sent and received, packet headers included.",
        ge=2_000,
    )
    join_wait_ms: float = Field(
        2_000,
        description="Time to wait for answers of peers before the first note comes into force.",
        gt=0,
    )
    join_contacts: int = Field(
        32, description="Number of peers asked per round while joining.", ge=1
    )
    note_fetch_timeout_ms: float = Field(
        5_000, description="Timeout of fetching a note from a peer.", gt=0
    )
    max_refused_notes: int = Field(
        32, description="Maximum number of records of refused notes.", ge=1
    )
    peer_connect_timeout_ms: float = Field(1_000, description="Connect timeout to a peer.", gt=0)
    peer_idle_ms: float = Field(
        60_000, description="Idle time after which a peer connection is closed.", gt=0
    )
    max_peer_requests: int = Field(
        128, description="Maximum number of outstanding requests per peer connection.", ge=1
    )
    pause_threshold_ms: float = Field(
        1_000, description="Gap between events that counts as a pause of the process.", gt=0
    )

    drain_notice_ms: float = Field(
        5_000, description="Time for the load balancer to detect a shutdown.", ge=0
    )
    quiet_close_ms: float = Field(
        2_000, description="Idle time after which a connection is closed during shutdown.", ge=0
    )
    shutdown_limit_ms: float = Field(
        30_000, description="Maximum duration of a graceful shutdown.", gt=0
    )
    max_deadline_ms: float = Field(
        10_000, description="Maximum deadline of any front or run request.", gt=0
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
    def _check_combinations(self) -> Settings:
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
        """Return the settings with random values for a missing incarnation, seed or secret."""
        return self.model_copy(
            update={
                "incarnation": self.incarnation or secrets.token_hex(16),
                "seed": self.seed or secrets.randbits(63) + 1,
                "ticket_secret": self.ticket_secret or SecretStr(secrets.token_hex(32)),
            }
        )


def load_settings(values: dict[str, Any]) -> Settings:
    """Return the settings for the given values.

    :raises ConfigError: with all problems, not only the first.
    """
    try:
        return Settings(**values)
    except ValidationError as error:
        raise ConfigError(_problem_lines(values, error)) from None


def _problem_lines(values: dict[str, Any], error: ValidationError) -> list[str]:
    """Return one line per problem.

    Pydantic runs the checks that involve several settings only if each setting is valid. So they
    are run again without the invalid values, and their problems count if they name none of these.
    """
    problems = _error_lines(error)
    invalid_names = {str(item["loc"][0]) for item in error.errors() if item["loc"]}
    if not invalid_names:
        return problems
    required = {name for name, field in Settings.model_fields.items() if field.is_required()}
    valid_values = {name: value for name, value in values.items() if name not in invalid_names}
    try:
        Settings(**dict.fromkeys(required, "x") | valid_values)
    except ValidationError as second_error:
        problems += [
            line
            for line in _error_lines(second_error)
            if not any(name in line for name in invalid_names)
        ]
    return problems


def _error_lines(error: ValidationError) -> list[str]:
    return [
        f"{'.'.join(str(part) for part in item['loc']) or 'settings'}: {item['msg']}"
        for item in error.errors()
    ]
