"""Servers that turn away new connections because instances together hold too many.

The load that this answers: 76 instances each keep a connection to a server that accepts 70. Those that
come last are turned away for as long as the others keep theirs, though most of these are idle. After
many instances have lost power, a server counts their old connections for some seconds as well.

An instance that is turned away tells the others, and all give back the connections to that server that
have been idle for a while.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from turmerictiller.forwarding.effects import CloseIdleConnections, LogDecision
from turmerictiller.forwarding.peer_model import ContestedServer

if TYPE_CHECKING:
    from turmerictiller.forwarding.peer_model import GossipMessage
    from turmerictiller.forwarding.state import ServerState, State

# A server counts the connections of instances that lost power for up to eight seconds.
CONTESTED_MS = 8_000.0
# An instance of a large fleet asks a server once in some seconds, so this gives back most connections.
CONTESTED_IDLE_MS = 1_000.0
MAX_SHARED_SERVERS = 64


def mark_contested(state: State, server: ServerState) -> None:
    """Note that a server has just turned away a new connection of this instance."""
    if not is_contested(state, server):
        fields = {"server": server.entry.id, "service": server.entry.service}
        state.out.append(LogDecision("server_contested", fields, urgent=True))
    state.counters["connections.not_accepted"] += 1
    server.contested_at = state.now
    state.contested_server_ids[server.entry.id] = None


def is_contested(state: State, server: ServerState) -> bool:
    """Return whether a server has turned away a connection of any instance lately."""
    return state.now - server.contested_at < CONTESTED_MS


def contested_servers(state: State) -> tuple[ContestedServer, ...]:
    """Return what is told to another instance, the latest first."""
    told = [
        ContestedServer(server_id, max(0.0, state.now - server.contested_at))
        for server_id in state.contested_server_ids
        if (server := state.servers_by_id.get(server_id)) is not None
        and is_contested(state, server)
    ]
    return tuple(sorted(told, key=lambda item: item.age_ms)[:MAX_SHARED_SERVERS])


def merge_contested_servers(state: State, gossip: GossipMessage) -> None:
    """Take over which servers have turned away connections of other instances."""
    for told in gossip.contested_servers:
        server = state.servers_by_id.get(told.server_id)
        if server is not None and told.age_ms < CONTESTED_MS:
            server.contested_at = max(server.contested_at, state.now - told.age_ms)
            state.contested_server_ids[told.server_id] = None


def close_idle_connections(state: State) -> None:
    """Give back idle connections to servers that have none left for others."""
    for server_id in list(state.contested_server_ids):
        server = state.servers_by_id.get(server_id)
        if server is None or not is_contested(state, server):
            del state.contested_server_ids[server_id]
        else:
            state.out.append(CloseIdleConnections(server.entry.address, CONTESTED_IDLE_MS))
