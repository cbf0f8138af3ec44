"""Tests of what demonstrations, load runs and tests of real processes share."""

from __future__ import annotations

import socket
from pathlib import Path

from bench.processes import CANDIDATE_PORTS, free_addresses

LOCAL_PORTS = Path("/proc/sys/net/ipv4/ip_local_port_range")


def test_no_connection_gets_a_port_that_was_found_free() -> None:
    """Guards against processes that can not listen because a connection got their port first."""
    first, _ = map(int, LOCAL_PORTS.read_text().split())
    ports = [int(address.rpartition(":")[2]) for address in free_addresses(200)]
    assert len(set(ports)) == 200
    assert max(ports) < first


def test_port_that_is_listened_on_is_not_free() -> None:
    """Guards against two processes at one address."""
    with socket.socket() as taken:
        (address,) = free_addresses(1)
        host, _, port = address.rpartition(":")
        taken.bind((host, int(port)))
        taken.listen()
        assert address not in free_addresses(len(CANDIDATE_PORTS) - 1_000)
