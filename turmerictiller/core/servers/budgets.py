"""Token buckets per service that bound hedges and retries to a share of the other calls."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from turmerictiller.core.state import State

MAX_TOKENS = 10.0
MIN_RETRIES_PER_S = 1.0


def credit_budgets(state: State, service: str) -> None:
    """Credit the hedge and retry budgets of a service for one call that is not a hedge."""
    service_state = state.services_by_name[service]
    service_state.hedge_tokens = min(
        MAX_TOKENS, service_state.hedge_tokens + state.settings.hedge_share
    )
    service_state.retry_tokens = min(
        MAX_TOKENS, service_state.retry_tokens + state.settings.retry_share
    )


def charge_hedge_token(state: State, service: str) -> bool:
    """Charge one hedge to the budget of a service; return whether the budget allows it."""
    service_state = state.services_by_name[service]
    if service_state.hedge_tokens < 1:
        return False
    service_state.hedge_tokens -= 1
    return True


def refund_hedge_token(state: State, service: str) -> None:
    """Refund the token of a hedge that was not sent."""
    state.services_by_name[service].hedge_tokens += 1


def charge_retry_token(state: State, service: str) -> bool:
    """Charge one retry to the budget of a service; return whether the budget allows it.

    The budget is also refilled with time, by ``MIN_RETRIES_PER_S``: a front with few searches would
    otherwise never get a token.
    """
    service_state = state.services_by_name[service]
    refill = (state.now - service_state.retry_tokens_at) / 1000 * MIN_RETRIES_PER_S
    service_state.retry_tokens = min(MAX_TOKENS, service_state.retry_tokens + refill)
    service_state.retry_tokens_at = state.now
    if service_state.retry_tokens < 1:
        return False
    service_state.retry_tokens -= 1
    return True
