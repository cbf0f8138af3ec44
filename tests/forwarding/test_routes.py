"""Tests of the routing of requests."""

from __future__ import annotations

from dataclasses import replace

from tests.forwarding.driving import HOST, single_route
from turmerictiller.forwarding.model import Configuration
from turmerictiller.forwarding.routes import find_route

SHORT = replace(single_route(), name="short", prefix="/a/")
LONG = replace(single_route(), name="long", prefix="/a/b/")
CONFIGURATION = Configuration(1, {HOST: {"/a/": SHORT, "/a/b/": LONG}}, {})


def test_longest_prefix_wins() -> None:
    """Guards against requests that reach the service of a shorter prefix."""
    assert find_route(CONFIGURATION, HOST, "/a/b/c") is LONG
    assert find_route(CONFIGURATION, HOST, "/a/b/") is LONG
    assert find_route(CONFIGURATION, HOST, "/a/b") is SHORT
    assert find_route(CONFIGURATION, HOST, "/a/bc/d") is SHORT
    assert find_route(CONFIGURATION, HOST.upper(), "/a/") is SHORT


def test_no_route_for_other_hosts_and_paths() -> None:
    """Guards against answers to requests without a configured route."""
    for host, path in (
        (HOST, "/"),
        (HOST, "/ab/"),
        (HOST, "a/"),
        ("other.example", "/a/"),
        (HOST, ""),
    ):
        assert find_route(CONFIGURATION, host, path) is None
