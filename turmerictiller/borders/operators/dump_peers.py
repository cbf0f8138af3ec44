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
    """Return the peers, the suspects, the join state and the notes that are not in force."""
    return {
        "join": _dump_join(state),
        "refused_notes": [
            _dump_refused_note(state, note) for note in state.notes.refused_by_digest.values()
        ],
        "conflicting_notes": sorted(state.notes.conflicting_digests),
        "peers": [_dump_peer(state, peer) for peer in state.peers.by_id.values()],
        "suspects": [
            _dump_suspect(state, suspect) for suspect in state.suspects_by_fingerprint.values()
        ],
    }


def _dump_join(state: State) -> dict[str, Any]:
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


def _dump_refused_note(state: State, note: RefusedNote) -> dict[str, Any]:
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


def _dump_peer(state: State, peer: Peer) -> dict[str, Any]:
    has_no_progress = peer.progress_at == NEVER
    return {
        "id": peer.id,
        "incarnation": peer.incarnation,
        "address": peer.address,
        "failure_domain": peer.domain,
        "status": peer.status.name.lower(),
        "heartbeat": peer.heartbeat,
        "last_progress_ms_ago": None if has_no_progress else round(state.now - peer.progress_at),
        "heard": has_recent_heartbeat(state, peer),
        "counted": not peer.is_dropped and peer.status is not PeerStatus.GONE,
        "listed": peer.is_listed,
        "note": peer.note_number,
    }


def _dump_suspect(state: State, suspect: Suspect) -> dict[str, Any]:
    remaining_ms = max(0.0, suspect.until - state.now)
    return {
        "fingerprint": suspect.fingerprint,
        "blame": round(suspect.blame, 2),
        "servers": sorted(suspect.server_ids),
        "remaining_ms": round(remaining_ms),
        "from_peer": suspect.is_foreign,
    }
