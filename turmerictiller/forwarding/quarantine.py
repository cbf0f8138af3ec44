"""Requests that crash servers.

A server that breaks off an attempt and then refuses connections has crashed. Each request that it was
working on is suspected once per call. An answer to the same request takes the suspicion back, because
a request that crashes servers is never answered. Instances add up what they have seen.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from turmerictiller.forwarding.effects import LogDecision
from turmerictiller.forwarding.state import Suspect

if TYPE_CHECKING:
    from turmerictiller.forwarding.state import Attempt, ServerState, State

CRASH_WINDOW_MS = 2_000.0  # a server that crashed is back after some seconds
MAX_BROKEN = 16  # broken attempts that are remembered per server
CRASHES_TO_QUARANTINE = 3
QUARANTINE_MS = 30_000.0
MAX_SUSPECTS = 256


def on_broken_off(state: State, server: ServerState, attempt: Attempt) -> None:
    """Remember an attempt that its server broke off, until it shows whether the server crashed."""
    server.broken.append((state.now, attempt.fingerprint, attempt.call_id))
    del server.broken[:-MAX_BROKEN]


def on_refused(state: State, server: ServerState) -> None:
    """Suspect the requests that a server broke off shortly before it refuses connections."""
    broken, server.broken = server.broken, []
    for at, fingerprint, call_id in broken:
        if state.now - at <= CRASH_WINDOW_MS:
            _suspect(state, fingerprint, call_id, server)


def _suspect(state: State, fingerprint: int, call_id: int, server: ServerState) -> None:
    suspect = state.suspects_by_fingerprint.get(fingerprint)
    if suspect is None:
        if len(state.suspects_by_fingerprint) >= MAX_SUSPECTS:
            del state.suspects_by_fingerprint[next(iter(state.suspects_by_fingerprint))]
        suspect = state.suspects_by_fingerprint[fingerprint] = Suspect()
    if call_id in suspect.calls:
        return
    suspect.calls.add(call_id)
    suspect.crashes += 1
    suspect.last_at = state.now
    fields = {
        "fingerprint": f"{fingerprint:x}",
        "server": server.entry.id,
        "crashes": suspect.crashes,
    }
    state.out.append(LogDecision("request_suspected", fields, urgent=True))


def on_answered(state: State, fingerprint: int) -> None:
    """Take back the suspicion that an answer disproves."""
    state.suspects_by_fingerprint.pop(fingerprint, None)


def quarantined_ms(state: State, fingerprint: int) -> float:
    """Return for how long a request is still refused; 0 if it is not."""
    suspect = state.suspects_by_fingerprint.get(fingerprint)
    told = sum(crashes.get(fingerprint, 0) for crashes in state.crashes_by_peer.values() if crashes)
    own = suspect.crashes if suspect else 0
    if own + told < CRASHES_TO_QUARANTINE:
        return 0.0
    if suspect is None:
        # Others saw the crashes; how long this holds is theirs to say.
        return QUARANTINE_MS
    left_ms = suspect.last_at + QUARANTINE_MS - state.now
    if left_ms <= 0:
        del state.suspects_by_fingerprint[fingerprint]
        return 0.0
    return left_ms
