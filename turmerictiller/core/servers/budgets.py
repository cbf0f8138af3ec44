"""Token buckets per service that bound hedges and retries to a share of the primary calls."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from turmerictiller.core.state import State

MAX_TOKENS = 10.0
MIN_RETRIES_PER_S = 1.0


def credit_budgets(state: State, service: str) -> None:
    """Credit the hedge and retry budgets of a service for one primary call."""
    service_state = state.services_by_name[service]
    service_state.hedge_tokens = min(
        MAX_TOKENS, service_state.hedge_tokens + state.settings.hedge_share
    )
    service_state.retry_tokens = min(
        MAX_TOKENS, service_state.retry_tokens + state.settings.retry_share
    )


def charge_hedge_token(state: State, service: str) -> bool:
    """Take one token from the hedge budget; return whether there was one."""
    service_state = state.services_by_name[service]
    if service_state.hedge_tokens < 1:
        return False
    service_state.hedge_tokens -= 1
    return True


def refund_hedge_token(state: State, service: str) -> None:
    """Return the token of a hedged call that was not sent."""
    state.services_by_name[service].hedge_tokens += 1


def charge_retry_token(state: State, service: str) -> bool:
    """Take one token from the retry budget; return whether there was one.

    The budget is also refilled with time, by ``MIN_RETRIES_PER_S``: a front with few searches would
    otherwise never earn a token.
    """
    service_state = state.services_by_name[service]
    refill = (state.now - service_state.retry_tokens_at) / 1000 * MIN_RETRIES_PER_S
    service_state.retry_tokens = min(MAX_TOKENS, service_state.retry_tokens + refill)
    service_state.retry_tokens_at = state.now
    if service_state.retry_tokens < 1:
        return False
    service_state.retry_tokens -= 1
    return True
