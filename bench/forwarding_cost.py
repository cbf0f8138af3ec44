"""Measure the cost of forwarding decisions per part of a request, and the size of an exchange.

Run ``python -m bench.forwarding_cost``; times are processor time.
"""

from __future__ import annotations

import time

from turmerictiller.forwarding.effects import SendAttempt
from turmerictiller.forwarding.events import (
    AttemptAnswered,
    ConfigurationReceived,
    RequestArrived,
    ServersListed,
    UpstreamAnswer,
)
from turmerictiller.forwarding.model import Configuration, Route, ServerEntry, Service
from turmerictiller.forwarding.peer_model import PeerState
from turmerictiller.forwarding.peers import build_gossip
from turmerictiller.forwarding.reducer import reduce
from turmerictiller.forwarding.settings import ForwardingSettings
from turmerictiller.forwarding.state import State, new_state
from turmerictiller.transport.peer_messages import encode_exchange

HOST = "search.example"
SHARDS = (10, 36, 54, 370)
PEERS = (9, 90, 650)
PARTS_PER_SIZE = 60_000
WORK_MS = 20.0
SERVERS_PER_SHARD = 3


def configured_state(shards: int) -> State:
    """Return a state with one route over shards of ``SERVERS_PER_SHARD`` servers each."""
    names = tuple(f"s{index}" for index in range(shards))
    route = Route("r", HOST, "/", names, {}, True, 2_000.0, 144.0, 1, 2, 20, 0.89)
    services = {name: Service(name, 77) for name in names}
    state = new_state(ForwardingSettings("e1", "d0", peer_address="10.0.0.1:7000"))
    configuration = Configuration(1, {HOST: {"/": route}}, services)
    reduce(state, ConfigurationReceived(0.0, configuration))
    entries = tuple(
        ServerEntry(f"{name}-{number}", 1, name, f"10.1.0.{number}:80", f"d{number}", 3)
        for name in names
        for number in range(SERVERS_PER_SHARD)
    )
    reduce(state, ServersListed(0.0, 1, entries))
    return state


def part_us(shards: int) -> float:
    """Return microseconds per part: admission, choice of a server, answer and merging."""
    state = configured_state(shards)
    requests = PARTS_PER_SIZE // shards
    body = bytes(range(256)) + bytes(144)
    now = 1.0
    started_at = time.process_time()
    for call_id in range(1, requests + 1):
        now += 50.0
        effects = reduce(state, RequestArrived(now, call_id, "r", HOST, "/x", 2_000.0, call_id))
        for effect in effects:
            if isinstance(effect, SendAttempt):
                answer = UpstreamAnswer(200, b"signature", body)
                reduce(state, AttemptAnswered(now + WORK_MS, effect.attempt_id, answer))
    return (time.process_time() - started_at) / (requests * shards) * 1e6


def exchange_bytes(peers: int) -> int:
    """Return the bytes of one exchange message in a fleet with the given number of peers."""
    state = configured_state(1)
    for number in range(peers):
        state.peers_by_id[f"front-zone-{number}"] = PeerState("10.100.100.1:7000", 2**61, 0.0)
    return len(encode_exchange(build_gossip(state)))


def main() -> None:
    """Print the costs and the sizes."""
    for shards in SHARDS:
        print(f"{shards:4} shards: {part_us(shards):5.1f} us a part")
    for peers in PEERS:
        print(f"{peers:4} instances: {exchange_bytes(peers):6} bytes an exchange, one way")


if __name__ == "__main__":
    main()
