"""Choice among the weighted services of a route."""

from __future__ import annotations

from typing import TYPE_CHECKING

from turmerictiller.forwarding.state import route_times

if TYPE_CHECKING:
    from turmerictiller.forwarding.model import Route
    from turmerictiller.forwarding.state import State


def next_service(state: State, route: Route) -> str:
    """Return the service of the next request, by a rotation that keeps the shares evenly.

    Each service gains its weight and the one that has gained most is taken. Random choice would
    miss the shares of a route with few requests.
    """
    if len(route.weights) == 1:
        return next(iter(route.weights))
    credit = route_times(state, route.name).weights
    for name in [name for name in credit if name not in route.weights]:
        del credit[name]
    if not credit:
        # Instances that start together would all begin with the same service.
        credit.update({name: state.rng.random() * weight for name, weight in route.weights.items()})
    for name, weight in route.weights.items():
        credit[name] = credit.get(name, 0.0) + weight
    chosen = max(credit, key=lambda name: credit[name])
    credit[chosen] -= sum(route.weights.values())
    return chosen
