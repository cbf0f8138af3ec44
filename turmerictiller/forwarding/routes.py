"""Choice of the route of a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from turmerictiller.forwarding.model import Configuration, Route


def find_route(configuration: Configuration, host: str, path: str) -> Route | None:
    """Return the route of the host with the longest prefix that begins the path."""
    by_prefix = configuration.routes_by_host.get(host.lower())
    if by_prefix is None:
        return None
    # Every prefix ends with a slash, so only the parts of the path that end there can be prefixes.
    end = path.rfind("/")
    while end >= 0:
        route = by_prefix.get(path[: end + 1])
        if route is not None:
            return route
        end = path.rfind("/", 0, end)
    return None
