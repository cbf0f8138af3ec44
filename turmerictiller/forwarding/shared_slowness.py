"""Detection of slow servers from the answer times at all instances.

Where 68 instances share 108 servers, a seventh of which become ten times slower for some seconds,
one instance sends to a server once in four seconds. Each instance would detect each slow server by
itself, while the queues there grow.

Instances exchange the weights of their slow answers by gossip. In each exchange both keep half of
the sum, so the total weight stays that of the answers, however often they are propagated. One slow
answer, such as one from a server that paused for a moment, soon weighs little everywhere; a slow
server has slow answers at many instances, whose weights add up.

Only answers count. An instance behind a partition has many attempts without one, and would report
servers that are healthy as soon as the partition ends.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from turmerictiller.forwarding.effects import WriteLog
from turmerictiller.forwarding.fleet_size import instance_count
from turmerictiller.forwarding.peer_model import SlowServer
from turmerictiller.forwarding.state import service_state

if TYPE_CHECKING:
    from turmerictiller.forwarding.peer_model import GossipMessage
    from turmerictiller.forwarding.state import ServerState, State

SLOW_FACTOR = 3.0  # noise makes a server 2.5 times slower for a while
# Slow phases last for seconds. Weights propagate within two seconds and must decay a few seconds
# later.
HALF_LIFE_MS = 1_500.0
# The own estimate of an instance weighs as much as its own attempts within this time. Slow answers
# of a slow server add up to two thirds of that at each instance, those of a server that paused for
# 150 ms to a thirtieth. With 1 s, an instance avoided a server for over two seconds after each such
# pause.
OWN_WEIGHT_MS = 3_000.0
# Minimum weight of the own estimate, in slow answers divided among the instances: one of a hundred
# answers is slow by chance, and services with few requests have few others.
MIN_OWN_ANSWERS = 6.0
MIN_WEIGHT = 0.02  # a slow answer that was shared among 50 instances
MAX_SHARED_SERVERS = 64
# A slow server is less preferred than any healthy one, but preferred to one that failed recently,
# which costs 1.8 more than a healthy one: behind a partition, only slow servers may be reachable.
MAX_SHARED_SLOWNESS = 2.0
# An instance that observes more than this share of slow answers is slow or badly connected itself.
# Up to two fifths of the servers of a deployment are slow at a time.
MAX_SLOW_SHARE = 0.5
ANSWER_WEIGHT = 1 / 50  # two searches over 36 shards outweigh all earlier answers


def observe_slowness(state: State, server: ServerState, slowness: float) -> None:
    """Record one answer time, as a multiple of the median, for gossip if it is slow."""
    is_slow = slowness >= SLOW_FACTOR
    state.slow_share += ANSWER_WEIGHT * (is_slow - state.slow_share)
    if not is_slow:
        _clear(state, server)
        return
    _update_mean_slowness(state, server, 1.0, slowness)
    server.unshared_slow_answers += 1.0
    state.slow_server_ids[server.entry.id] = None


def merge_slow_servers(state: State, message: GossipMessage) -> None:
    """Merge the slow servers in a gossip message; keep half of the sum of both weights."""
    if _finds_most_slow(state):
        _discard_unshared(state)
    for server_id in list(state.slow_server_ids):
        server = state.servers_by_id.get(server_id)
        if server is None:
            del state.slow_server_ids[server_id]
            continue
        weight = _total_weight(state, server) / 2
        if weight < MIN_WEIGHT:
            _clear(state, server)
        else:
            (
                server.unshared_slow_answers,
                server.shared_slow_weight,
                server.shared_slow_weight_at,
            ) = (0.0, weight, state.now)
    for shared_server in message.slow_servers:
        server = state.servers_by_id.get(shared_server.server_id)
        if server is not None and shared_server.weight > 0:
            _update_mean_slowness(state, server, shared_server.weight / 2, shared_server.slowness)
            server.shared_slow_weight = shared_weight(state, server) + shared_server.weight / 2
            server.shared_slow_weight_at = state.now
            state.slow_server_ids[server.entry.id] = None
            _log_if_slow(state, server, message)


def slow_servers(state: State) -> tuple[SlowServer, ...]:
    """Return the slow servers for a gossip message, the heaviest first."""
    if _finds_most_slow(state):
        return ()
    reports = [
        SlowServer(server_id, weight, server.slow_answer_slowness)
        for server_id in state.slow_server_ids
        if (server := state.servers_by_id.get(server_id)) is not None
        and (weight := _total_weight(state, server)) >= MIN_WEIGHT
    ]
    return tuple(sorted(reports, key=lambda item: item.weight, reverse=True)[:MAX_SHARED_SERVERS])


def _finds_most_slow(state: State) -> bool:
    return state.slow_share > MAX_SLOW_SHARE


def _discard_unshared(state: State) -> None:
    for server_id in state.slow_server_ids:
        if (server := state.servers_by_id.get(server_id)) is not None:
            server.unshared_slow_answers = 0.0


def combined_slowness(state: State, server: ServerState, own_slowness: float) -> float:
    """Return the weighted mean of the own estimate and the shared slow answers, within bounds."""
    if not server.shared_slow_weight:
        return own_slowness
    service = service_state(state, server.entry.service)
    window_ms = state.settings.extra_window_ms
    attempts = service.first_attempts.value(state.now) / max(1, len(service.servers_by_id))
    own_weight = max(MIN_OWN_ANSWERS / instance_count(state), attempts * OWN_WEIGHT_MS / window_ms)
    weight = shared_weight(state, server)
    shared = (weight * server.slow_answer_slowness + own_weight * own_slowness) / (
        weight + own_weight
    )
    return max(own_slowness, min(MAX_SHARED_SLOWNESS, shared))


def shared_weight(state: State, server: ServerState) -> float:
    """Return the weight of the shared slow answers of a server, decayed by age."""
    return server.shared_slow_weight * math.pow(
        0.5, (state.now - server.shared_slow_weight_at) / HALF_LIFE_MS
    )


def _total_weight(state: State, server: ServerState) -> float:
    return shared_weight(state, server) + server.unshared_slow_answers


def _update_mean_slowness(
    state: State, server: ServerState, weight: float, slowness: float
) -> None:
    previous_weight = _total_weight(state, server)
    server.slow_answer_slowness = (
        previous_weight * server.slow_answer_slowness + weight * slowness
    ) / (previous_weight + weight)


def _log_if_slow(state: State, server: ServerState, message: GossipMessage) -> None:
    """Log once when a server becomes slow because of the answers at other instances."""
    slowness = combined_slowness(state, server, 1.0)
    if server.marked_slow_by_peers or slowness < MAX_SHARED_SLOWNESS:
        return
    server.marked_slow_by_peers = True
    fields = {
        "server": server.entry.id,
        "slowness": round(slowness, 1),
        "weight": round(shared_weight(state, server), 3),
        "peer": message.sender.id,
    }
    state.out.append(WriteLog("server_slow", fields, urgent=True))


def _clear(state: State, server: ServerState) -> None:
    if server.marked_slow_by_peers:
        server.marked_slow_by_peers = False
        state.out.append(WriteLog("server_not_slow", {"server": server.entry.id}, urgent=True))
    server.shared_slow_weight = server.unshared_slow_answers = 0.0
    state.slow_server_ids.pop(server.entry.id, None)
