"""What servers say of themselves in their answers: that they leave, and for how long they want no work.

Both hold for one lifetime of a server, and for all of it: a later answer without the announcement may have
been written before it, and entries of the registry lag behind. They are kept apart from the servers,
so that an entry that lapses and comes back does not bring back a server that has said that it leaves.

The load that the pause answers: servers turn requests away for some seconds and name the time. Whoever asks
again sooner only takes up a place in their queues. When the time is over, instances return spread over a part of
it, each with one request at a time at first, as to a server that has just started.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from turmerictiller.forwarding.effects import CloseServerConnections, LogDecision
from turmerictiller.forwarding.limits import MIN_LIMIT
from turmerictiller.forwarding.state import Announcement

if TYPE_CHECKING:
    from turmerictiller.forwarding.events import UpstreamAnswer
    from turmerictiller.forwarding.state import ServerState, State

# A longer time is taken for a mistake: a server that goes for good leaves the registry.
MAX_PAUSE_MS = 3_600_000.0
# Share of a pause over which instances return, and the most that this may add.
RETURN_SPREAD = 0.1
MAX_RETURN_SPREAD_MS = 1_000.0
RETURN_MS = 500.0  # after a pause, in which a server gets no more than its limit allows
MAX_ANNOUNCEMENTS = 4_096  # as many as removed servers that are remembered


def on_announcement(state: State, server_id: str, answer: UpstreamAnswer) -> None:
    """Take over what an answer says of its server."""
    server = state.servers_by_id.get(server_id)
    if server is None:
        return
    announcement = _announcement_of(state, server)
    if answer.malformed_headers and not announcement.malformed_headers_logged:
        announcement.malformed_headers_logged = True
        fields = {"server": server_id, "headers": answer.malformed_headers[:200]}
        state.out.append(LogDecision("announcement_unreadable", fields, urgent=True))
    if answer.leaving:
        _on_leaving(state, server, announcement)
    if answer.pause_ms:
        _on_pause(state, server, announcement, answer.pause_ms)


def is_paused(state: State, server: ServerState) -> bool:
    """Return whether a server has asked for no requests and its time is not over."""
    return server.announcement is not None and state.now < server.announcement.paused_until


def is_returning(state: State, server: ServerState) -> bool:
    """Return whether the pause of a server has just ended."""
    return (
        server.announcement is not None and state.now < server.announcement.paused_until + RETURN_MS
    )


def _announcement_of(state: State, server: ServerState) -> Announcement:
    if server.announcement is None:
        server.announcement = Announcement()
        lifetime = (server.entry.id, server.entry.incarnation)
        state.announcements_by_lifetime[lifetime] = server.announcement
        while len(state.announcements_by_lifetime) > MAX_ANNOUNCEMENTS:
            del state.announcements_by_lifetime[next(iter(state.announcements_by_lifetime))]
    return server.announcement


def _on_leaving(state: State, server: ServerState, announcement: Announcement) -> None:
    state.out.append(CloseServerConnections(server.entry.address))
    if announcement.leaving_at is not None:
        return
    announcement.leaving_at = state.now
    if server.draining_at is None:
        server.draining_at = state.now
    state.counters["servers.said_leaving"] += 1
    fields = {"server": server.entry.id, "service": server.entry.service}
    state.out.append(LogDecision("server_leaving", fields, urgent=True))


def _on_pause(
    state: State, server: ServerState, announcement: Announcement, pause_ms: float
) -> None:
    pause_ms = min(pause_ms, MAX_PAUSE_MS)
    spread_ms = min(RETURN_SPREAD * pause_ms, MAX_RETURN_SPREAD_MS)
    paused_until = state.now + pause_ms + spread_ms * state.rng.random()
    server.limit = MIN_LIMIT
    if not is_paused(state, server):
        state.counters["servers.paused"] += 1
        fields = {
            "server": server.entry.id,
            "service": server.entry.service,
            "asked_ms": round(pause_ms),
            "ms": round(paused_until - state.now),
        }
        state.out.append(LogDecision("server_paused", fields, urgent=True))
    # Answers may come in another order than they were given.
    announcement.paused_until = max(announcement.paused_until, paused_until)
