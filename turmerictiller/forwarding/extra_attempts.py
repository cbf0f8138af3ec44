"""Budget of attempts beyond the first of each request, per service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from turmerictiller.forwarding.fleet_size import instance_count

if TYPE_CHECKING:
    from turmerictiller.forwarding.state import ServiceState, State

# The part that grows with requests is not used up, because instances count their windows at
# different times.
USABLE_RATIO_SHARE = 0.85


def charge_extra_attempt(state: State, service: ServiceState) -> bool:
    """Charge one attempt beyond the first; return whether the budget of the service allows it.

    Instances can not ask each other, so each uses a share that is safe whatever the others do.
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
    """Take back the charge of an attempt that was not sent."""
    service.extra_attempts.add(state.now, -1)
