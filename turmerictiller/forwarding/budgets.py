"""Retry and hedge budget of each service: a fixed part and a share of its first attempts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from turmerictiller.forwarding.fleet_size import instance_count

if TYPE_CHECKING:
    from turmerictiller.forwarding.state import ServiceState, State

# Share of the proportional part of the budget that is used. The rest is a margin, because the
# windows of the instances are not aligned.
USABLE_RATIO_SHARE = 0.85


def charge_extra_attempt(state: State, service: ServiceState) -> bool:
    """Charge one retry or hedge to the budget of a service; return whether the budget allows it.

    Instances do not coordinate, so each uses a share that keeps their total within the budget.
    """
    settings = state.settings
    allowed = USABLE_RATIO_SHARE * settings.extra_ratio * service.first_attempts.value(
        state.now
    ) + settings.extra_slack / instance_count(state)
    if service.extra_attempts.value(state.now) + 1 > allowed:
        return False
    service.extra_attempts.add(state.now)
    return True


def refund_extra_attempt(state: State, service: ServiceState) -> None:
    """Refund the charge of an attempt that was not sent."""
    service.extra_attempts.add(state.now, -1)
