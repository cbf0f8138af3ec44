"""Budgets of extra calls per service: tokens that grow with primary calls."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from turmerictiller.core.state import State

MAX_TOKENS = 10.0
MIN_RETRIES_PER_S = 1.0


def on_primary_call(state: State, service: str) -> None:
    """Let the budgets of a service grow by its share of one call."""
    tokens = state.services_by_name[service]
    tokens.hedge_tokens = min(MAX_TOKENS, tokens.hedge_tokens + state.settings.hedge_share)
    tokens.retry_tokens = min(MAX_TOKENS, tokens.retry_tokens + state.settings.retry_share)


def take_hedge_token(state: State, service: str) -> bool:
    """Charge one hedged call; return whether the budget allows it."""
    tokens = state.services_by_name[service]
    if tokens.hedge_tokens < 1:
        return False
    tokens.hedge_tokens -= 1
    return True


def refund_hedge_token(state: State, service: str) -> None:
    """Give back the charge of a hedged call that was not sent."""
    state.services_by_name[service].hedge_tokens += 1


def take_retry_token(state: State, service: str) -> bool:
    """Charge one retried call; return whether the budget allows it.

    The budget also grows with time, because a front with few searches would never have a token.
    """
    tokens = state.services_by_name[service]
    earned = (state.now - tokens.retry_tokens_at) / 1000 * MIN_RETRIES_PER_S
    tokens.retry_tokens = min(MAX_TOKENS, tokens.retry_tokens + earned)
    tokens.retry_tokens_at = state.now
    if tokens.retry_tokens < 1:
        return False
    tokens.retry_tokens -= 1
    return True
