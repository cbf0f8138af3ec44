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
    proportional = state.settings.extra_ratio * service.first_attempts.value(state.now)
    allowed = USABLE_RATIO_SHARE * proportional + _fixed_share(state)
    if service.extra_attempts.value(state.now) + 1 > allowed:
        return False
    service.extra_attempts.add(state.now)
    return True


def _fixed_share(state: State) -> float:
    """Return this instance's share of the fixed part of the budget.

    What the process used before a restart is unknown and still counts, so there is no share in the
    first window after the start.
    """
    if state.now - state.started_at < state.settings.extra_window_ms:
        return 0.0
    return state.settings.extra_slack / instance_count(state)


def refund_extra_attempt(state: State, service: ServiceState) -> None:
    """Refund the charge of an attempt that was not sent."""
    service.extra_attempts.add(state.now, -1)
