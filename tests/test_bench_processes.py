"""Tests of the choice of free addresses for demonstrations, load tests and process tests."""

from __future__ import annotations

import socket
from pathlib import Path

from bench.processes import CANDIDATE_PORTS, free_addresses

EPHEMERAL_RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")


def test_free_ports_are_below_the_ephemeral_range() -> None:
    """Guards against ports that an outgoing connection takes before the process listens on them."""
    first_ephemeral_port, _ = map(int, EPHEMERAL_RANGE.read_text().split())
    ports = [int(address.rpartition(":")[2]) for address in free_addresses(200)]
    assert len(set(ports)) == 200
    assert max(ports) < first_ephemeral_port


def test_port_with_a_listener_is_not_free() -> None:
    """Guards against two processes that are given the same address."""
    with socket.socket() as listener:
        (address,) = free_addresses(1)
        host, _, port = address.rpartition(":")
        listener.bind((host, int(port)))
        listener.listen()
        assert address not in free_addresses(len(CANDIDATE_PORTS) - 1_000)
