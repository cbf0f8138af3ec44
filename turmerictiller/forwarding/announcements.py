"""Shutdowns and pauses that servers announce in the headers of their answers.

An announcement holds for the whole incarnation of a server: a later answer without it may have been
written earlier, and entries of the registry lag behind. Announcements are stored apart from the
servers, so that a server that announced its shutdown stays out of use when its entry expires and
returns.

Servers under overload reject requests for some seconds and state for how long. Requests before that
time only occupy places in their queues. After a pause, instances resume spread over a fraction of
its length, each with one request at a time at first, as with a server that has just started.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from turmerictiller.forwarding.effects import CloseServerConnections, WriteLog
from turmerictiller.forwarding.limits import MIN_LIMIT
from turmerictiller.forwarding.state import Announcement

if TYPE_CHECKING:
    from turmerictiller.forwarding.events import UpstreamAnswer
    from turmerictiller.forwarding.state import ServerState, State

# A longer pause is treated as an error: a server that stops for good leaves the registry.
MAX_PAUSE_MS = 3_600_000.0
# Jitter on the end of a pause, as a share of the pause, and its maximum.
RETURN_SPREAD = 0.1
MAX_RETURN_SPREAD_MS = 1_000.0
MAX_ANNOUNCEMENTS = 4_096  # equals the number of removed servers whose revisions are kept


def on_announcement(state: State, server_id: str, answer: UpstreamAnswer) -> None:
    """Apply the announcements in an answer to the state of its server."""
    server = state.servers_by_id.get(server_id)
    if server is None:
        return
    announcement = _get_or_add_announcement(state, server)
    if answer.malformed_headers and not announcement.malformed_headers_logged:
        announcement.malformed_headers_logged = True
        fields = {"server": server_id, "headers": answer.malformed_headers[:200]}
        state.out.append(WriteLog("announcement_unreadable", fields, urgent=True))
    if answer.leaving:
        _on_shutdown_announced(state, server, announcement)
    if answer.pause_ms:
        _on_pause_requested(state, server, announcement, answer.pause_ms)


def is_paused(state: State, server: ServerState) -> bool:
    """Return whether a pause that the server requested is still running."""
    return server.announcement is not None and state.now < server.announcement.paused_until


def _get_or_add_announcement(state: State, server: ServerState) -> Announcement:
    if server.announcement is None:
        server.announcement = Announcement()
        lifetime = (server.entry.id, server.entry.incarnation)
        state.announcements_by_lifetime[lifetime] = server.announcement
        while len(state.announcements_by_lifetime) > MAX_ANNOUNCEMENTS:
            del state.announcements_by_lifetime[next(iter(state.announcements_by_lifetime))]
    return server.announcement


def _on_shutdown_announced(state: State, server: ServerState, announcement: Announcement) -> None:
    state.out.append(CloseServerConnections(server.entry.address))
    if announcement.leaving_at is not None:
        return
    announcement.leaving_at = state.now
    if server.draining_at is None:
        server.draining_at = state.now
    state.counters["servers.said_leaving"] += 1
    fields = {"server": server.entry.id, "service": server.entry.service}
    state.out.append(WriteLog("server_leaving", fields, urgent=True))


def _on_pause_requested(
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
        state.out.append(WriteLog("server_paused", fields, urgent=True))
    # Answers may arrive out of order.
    announcement.paused_until = max(announcement.paused_until, paused_until)
