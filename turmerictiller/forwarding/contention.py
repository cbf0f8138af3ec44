"""Contested servers: servers whose connection limit is reached by the instances together.

With 76 instances that each keep a connection to a server that accepts 70, the last ones are
rejected for as long as the others keep their connections, although most of these are idle. After
many instances have lost power, a server also counts their stale connections for some seconds.

An instance whose connection is rejected reports the server by gossip, and all instances close their
connections to that server that have been idle for a while.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from turmerictiller.forwarding.effects import CloseIdleConnections, WriteLog
from turmerictiller.forwarding.peer_model import ContestedServer

if TYPE_CHECKING:
    from turmerictiller.forwarding.peer_model import GossipMessage
    from turmerictiller.forwarding.state import ServerState, State

# A server counts the connections of instances that lost power for up to eight seconds.
CONTESTED_MS = 8_000.0
# In a large fleet, an instance sends to a server once in some seconds, so this closes most
# connections.
CONTESTED_IDLE_MS = 1_000.0
MAX_SHARED_SERVERS = 64


def mark_contested(state: State, server: ServerState) -> None:
    """Mark a server as contested because it reset a new connection of this instance."""
    if not is_contested(state, server):
        fields = {"server": server.entry.id, "service": server.entry.service}
        state.out.append(WriteLog("server_contested", fields, urgent=True))
    state.counters["connections.not_accepted"] += 1
    server.contested_at = state.now
    state.contested_server_ids[server.entry.id] = None


def is_contested(state: State, server: ServerState) -> bool:
    """Return whether a server has recently reset a new connection of any instance."""
    return state.now - server.contested_at < CONTESTED_MS


def contested_servers(state: State) -> tuple[ContestedServer, ...]:
    """Return the contested servers for a gossip message, the latest first."""
    contested = [
        ContestedServer(server_id, max(0.0, state.now - server.contested_at))
        for server_id in state.contested_server_ids
        if (server := state.servers_by_id.get(server_id)) is not None
        and is_contested(state, server)
    ]
    return tuple(sorted(contested, key=lambda item: item.age_ms)[:MAX_SHARED_SERVERS])


def merge_contested_servers(state: State, message: GossipMessage) -> None:
    """Merge the contested servers in a gossip message into the state."""
    for contested in message.contested_servers:
        server = state.servers_by_id.get(contested.server_id)
        if server is not None and contested.age_ms < CONTESTED_MS:
            server.contested_at = max(server.contested_at, state.now - contested.age_ms)
            state.contested_server_ids[contested.server_id] = None


def close_idle_connections(state: State) -> None:
    """Close idle connections to contested servers."""
    for server_id in list(state.contested_server_ids):
        server = state.servers_by_id.get(server_id)
        if server is None or not is_contested(state, server):
            del state.contested_server_ids[server_id]
        else:
            state.out.append(CloseIdleConnections(server.entry.address, CONTESTED_IDLE_MS))
