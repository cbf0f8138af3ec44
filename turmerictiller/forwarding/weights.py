"""Smooth weighted round robin among the services of a route."""

from __future__ import annotations

from typing import TYPE_CHECKING

from turmerictiller.forwarding.state import route_times

if TYPE_CHECKING:
    from turmerictiller.forwarding.model import Route
    from turmerictiller.forwarding.state import State


def next_service(state: State, route: Route) -> str:
    """Return the service of the next request by smooth weighted round robin.

    Each service gains its weight as credit, and the one with the most credit is chosen. Random
    choice would miss the shares of a route with few requests.
    """
    if len(route.weights) == 1:
        return next(iter(route.weights))
    credit = route_times(state, route.name).credit_by_service
    for name in [name for name in credit if name not in route.weights]:
        del credit[name]
    if not credit:
        # Random initial credits keep instances that start together from all choosing the same
        # service.
        credit.update({name: state.rng.random() * weight for name, weight in route.weights.items()})
    for name, weight in route.weights.items():
        credit[name] = credit.get(name, 0.0) + weight
    chosen = max(credit, key=lambda name: credit[name])
    credit[chosen] -= sum(route.weights.values())
    return chosen
