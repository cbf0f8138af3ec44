"""Slowness of servers as all instances together see it.

The load that this answers: 68 instances share 108 servers, a seventh of which become ten times slower
for some seconds. One instance asks a server once in four seconds, so it would meet each slow server
for itself, and the queues there would grow meanwhile.

Instances tell each other the weights of their slow answers. In each exchange both keep half of the sum,
so all weights together stay those of the answers, however often they are told. One slow answer, such
as one from a server that stood still for a moment, soon weighs little everywhere; a slow server has
slow answers at many instances, whose weights add up.

Only answers count. An instance behind a partition has many attempts without one, and would tell of servers
that are well as soon as the partition ends.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from turmerictiller.forwarding.effects import LogDecision
from turmerictiller.forwarding.fleet_size import instance_count
from turmerictiller.forwarding.peer_model import SlowServer
from turmerictiller.forwarding.state import service_state

if TYPE_CHECKING:
    from turmerictiller.forwarding.peer_model import GossipMessage
    from turmerictiller.forwarding.state import ServerState, State

SLOW_FACTOR = 3.0  # noise makes a server 2.5 times slower for a while
# Slow phases last for seconds. Weights are told within two, and must be gone a few seconds later.
HALF_LIFE_MS = 1_500.0
# What an instance assumes by itself weighs as much as its own attempts of this time. Slow answers of
# a slow server come to two thirds of that at each instance, those of one that stood still for 150 ms to
# a thirtieth. With 1 s, an instance avoided a server for over two seconds after each such pause.
OWN_WEIGHT_MS = 3_000.0
# It weighs at least as much as an instance's share of so many slow answers, because one of a hundred
# answers is slow by chance, and services with few requests have few others.
LEAST_ANSWERS = 6.0
LEAST_WEIGHT = 0.02  # a slow answer that was shared among 50 instances
MAX_SHARED_SERVERS = 64
# A slow server loses against any that is well, but not against one that failed lately, which costs 1.8
# more than a usual one: behind a partition, slow servers are all that can be reached.
MAX_SHARED_SLOWNESS = 2.0
# An instance that finds this share of its last answers slow is slow or badly connected itself. Up to two
# fifths of the servers of a deployment are slow at a time.
MAX_SLOW_SHARE = 0.5
ANSWER_WEIGHT = 1 / 50  # two searches over 36 shards outweigh what was before


def observe_slowness(state: State, server: ServerState, slowness: float) -> None:
    """Take one answer time, as a multiple of the usual one, into what other instances are told."""
    is_slow = slowness >= SLOW_FACTOR
    state.slow_share += ANSWER_WEIGHT * (is_slow - state.slow_share)
    if not is_slow:
        _clear(state, server)
        return
    _average(state, server, 1.0, slowness)
    server.unshared_slow_answers += 1.0
    state.slow_server_ids[server.entry.id] = None


def merge_slow_servers(state: State, gossip: GossipMessage) -> None:
    """Keep half of what this instance and another one know together."""
    if _is_slow_itself(state):
        _drop_untold(state)
    for server_id in list(state.slow_server_ids):
        server = state.servers_by_id.get(server_id)
        if server is None:
            del state.slow_server_ids[server_id]
            continue
        weight = _weight_to_tell(state, server) / 2
        if weight < LEAST_WEIGHT:
            _clear(state, server)
        else:
            (
                server.unshared_slow_answers,
                server.shared_slow_weight,
                server.shared_slow_weight_at,
            ) = (0.0, weight, state.now)
    for told in gossip.slow_servers:
        server = state.servers_by_id.get(told.server_id)
        if server is not None and told.weight > 0:
            _average(state, server, told.weight / 2, told.slowness)
            server.shared_slow_weight = shared_weight(state, server) + told.weight / 2
            server.shared_slow_weight_at = state.now
            state.slow_server_ids[server.entry.id] = None
            _note_belief(state, server, gossip)


def slow_servers(state: State) -> tuple[SlowServer, ...]:
    """Return what is told to another instance, the heaviest first."""
    if _is_slow_itself(state):
        return ()
    known = [
        SlowServer(server_id, weight, server.slow_answer_slowness)
        for server_id in state.slow_server_ids
        if (server := state.servers_by_id.get(server_id)) is not None
        and (weight := _weight_to_tell(state, server)) >= LEAST_WEIGHT
    ]
    return tuple(sorted(known, key=lambda told: told.weight, reverse=True)[:MAX_SHARED_SERVERS])


def _is_slow_itself(state: State) -> bool:
    return state.slow_share > MAX_SLOW_SHARE


def _drop_untold(state: State) -> None:
    for server_id in state.slow_server_ids:
        if (server := state.servers_by_id.get(server_id)) is not None:
            server.unshared_slow_answers = 0.0


def combined_slowness(state: State, server: ServerState, own_slowness: float) -> float:
    """Return the expected slowness from what this instance assumes and what all have seen."""
    if not server.shared_slow_weight:
        return own_slowness
    service = service_state(state, server.entry.service)
    window_ms = state.settings.extra_window_ms
    attempts = service.first_attempts.value(state.now) / max(1, len(service.servers_by_id))
    own_weight = max(LEAST_ANSWERS / instance_count(state), attempts * OWN_WEIGHT_MS / window_ms)
    weight = shared_weight(state, server)
    shared = (weight * server.slow_answer_slowness + own_weight * own_slowness) / (
        weight + own_weight
    )
    return max(own_slowness, min(MAX_SHARED_SLOWNESS, shared))


def shared_weight(state: State, server: ServerState) -> float:
    """Return the weight of slow answers that were told, by their age."""
    return server.shared_slow_weight * math.pow(
        0.5, (state.now - server.shared_slow_weight_at) / HALF_LIFE_MS
    )


def _weight_to_tell(state: State, server: ServerState) -> float:
    return shared_weight(state, server) + server.unshared_slow_answers


def _average(state: State, server: ServerState, weight: float, slowness: float) -> None:
    known = _weight_to_tell(state, server)
    server.slow_answer_slowness = (known * server.slow_answer_slowness + weight * slowness) / (
        known + weight
    )


def _note_belief(state: State, server: ServerState, gossip: GossipMessage) -> None:
    """Log once that a server counts as slow because of what others saw."""
    slowness = combined_slowness(state, server, 1.0)
    if server.marked_slow_by_peers or slowness < MAX_SHARED_SLOWNESS:
        return
    server.marked_slow_by_peers = True
    fields = {
        "server": server.entry.id,
        "slowness": round(slowness, 1),
        "weight": round(shared_weight(state, server), 3),
        "peer": gossip.sender.id,
    }
    state.out.append(LogDecision("server_slow", fields, urgent=True))


def _clear(state: State, server: ServerState) -> None:
    if server.marked_slow_by_peers:
        server.marked_slow_by_peers = False
        state.out.append(LogDecision("server_not_slow", {"server": server.entry.id}, urgent=True))
    server.shared_slow_weight = server.unshared_slow_answers = 0.0
    state.slow_server_ids.pop(server.entry.id, None)
