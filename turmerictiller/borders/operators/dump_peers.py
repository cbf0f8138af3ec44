"""Peers, notes and quarantine in the state dump."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from turmerictiller.core.peers.gossip_model import PeerStatus
from turmerictiller.core.peers.peer_membership import contact_addresses, has_recent_heartbeat
from turmerictiller.core.peers.peer_state import NEVER

if TYPE_CHECKING:
    from turmerictiller.core.configuration.note_state import RefusedNote
    from turmerictiller.core.peers.peer_state import Peer
    from turmerictiller.core.servers.suspects import Suspect
    from turmerictiller.core.state import State


def dump_peers(state: State) -> dict[str, Any]:
    """Return what is known of other instances and of notes that are not in force."""
    return {
        "join": _join(state),
        "refused_notes": [_refused(state, note) for note in state.notes.refused_by_digest.values()],
        "conflicting_notes": sorted(state.notes.conflicting_digests),
        "peers": [_peer(state, peer) for peer in state.peers.by_id.values()],
        "suspects": [_quarantined(state, item) for item in state.suspects_by_fingerprint.values()],
    }


def _join(state: State) -> dict[str, Any]:
    join = state.notes.join
    return {
        "phase": join.phase.value,
        "candidate": join.candidate.number if join.candidate else None,
        "contacts": len(contact_addresses(state)),
        "asked": sorted(join.first_asked_at),
        "answers": {
            address: {"peer": answer.peer_id, "note": answer.note_number}
            for address, answer in join.answers_by_address.items()
        },
    }


def _refused(state: State, note: RefusedNote) -> dict[str, Any]:
    return {
        "number": note.number,
        "digest": note.digest,
        "source": note.source,
        "times": note.times,
        "last_ms_ago": round(state.now - note.last_at),
        "errors": [
            {"type": error.type.value, "place": error.place, "message": error.message}
            for error in note.errors
        ],
    }


def _peer(state: State, peer: Peer) -> dict[str, Any]:
    is_silent = peer.progress_at == NEVER
    return {
        "id": peer.id,
        "incarnation": peer.incarnation,
        "address": peer.address,
        "failure_domain": peer.domain,
        "status": peer.status.name.lower(),
        "heartbeat": peer.heartbeat,
        "last_progress_ms_ago": None if is_silent else round(state.now - peer.progress_at),
        "heard": has_recent_heartbeat(state, peer),
        "counted": not peer.is_dropped and peer.status is not PeerStatus.GONE,
        "listed": peer.is_listed,
        "note": peer.note_number,
    }


def _quarantined(state: State, item: Suspect) -> dict[str, Any]:
    remaining_ms = max(0.0, item.until - state.now)
    return {
        "fingerprint": item.fingerprint,
        "blame": round(item.blame, 2),
        "servers": sorted(item.server_ids),
        "remaining_ms": round(remaining_ms),
        "from_peer": item.is_foreign,
    }
