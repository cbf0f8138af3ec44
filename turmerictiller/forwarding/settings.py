"""Settings of the forwarding decisions."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ForwardingSettings:
    """Settings of one instance. Times are in milliseconds.

    :param peer_address: ``IP:PORT`` at which other instances reach this one; empty for none.
    :param seed_addresses: addresses at which gossip bootstraps.
    :param extra_ratio: budget of retries and hedges per request to a service, over all instances.
    :param extra_slack: fixed part of that budget per window, over all instances.
    :param extra_window_ms: length of the window over which the budget is counted.
    :param drain_ms: deadline after which a draining server must not get new requests.
    :param registry_bound_ms: deadline for a change of the registry to take effect.
    :param grace_ms: time between the shutdown request and the kill of the process.
    :param max_requests: maximum number of requests in flight.
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
