"""Settings of the decisions about forwarding."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ForwardingSettings:
    """Settings of one instance. Times are in milliseconds.

    :param peer_address: ``IP:PORT`` at which other instances reach this one; empty for none.
    :param seed_addresses: where some other instances may be found.
    :param extra_ratio: attempts beyond the first per request to a service, over all instances.
    :param extra_slack: such attempts that are allowed besides, over all instances.
    :param extra_window_ms: time over which these attempts are counted.
    :param drain_ms: time within which a server that leaves must get no new work.
    :param registry_bound_ms: time within which a change of the registry must take effect.
    :param grace_ms: time from the order to stop until the process is killed.
    """

    instance_id: str
    failure_domain: str
    seed: int = 1
    peer_address: str = ""
    seed_addresses: tuple[str, ...] = ()
    extra_ratio: float = 0.2
    extra_slack: float = 0.0
    extra_window_ms: float = 10_000.0
    drain_ms: float = 3_000.0
    registry_bound_ms: float = 3_000.0
    grace_ms: float = 6_000.0
    max_requests: int = 1_024
