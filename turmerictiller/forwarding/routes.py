"""Routing of requests by host and path prefix."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from turmerictiller.forwarding.model import Configuration, Route


def find_route(configuration: Configuration, host: str, path: str) -> Route | None:
    """Return the route of the host with the longest prefix of the path, or ``None``."""
    by_prefix = configuration.routes_by_host.get(host.lower())
    if by_prefix is None:
        return None
    # Every prefix ends with a slash, so only the parts of the path that end with one can match.
    end = path.rfind("/")
    while end >= 0:
        route = by_prefix.get(path[: end + 1])
        if route is not None:
            return route
        end = path.rfind("/", 0, end)
    return None
