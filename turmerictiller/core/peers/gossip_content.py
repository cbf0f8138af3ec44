"""Content of a gossip message, filled up to a constant size."""

from __future__ import annotations

from typing import TYPE_CHECKING

from turmerictiller.core.effects import SendGossip
from turmerictiller.core.peers.gossip_model import (
    DrainingServer,
    GossipMessage,
    Member,
    PeerStatus,
    QuarantineEntry,
)
from turmerictiller.core.peers.peer_membership import gossip_targets
from turmerictiller.core.servers.quarantine import local_quarantines
from turmerictiller.phases import ProcessPhase

if TYPE_CHECKING:
    from turmerictiller.core.state import ServerState, State

PACKET_OVERHEAD_BYTES = 104  # IP and TCP headers of a segment and of its acknowledgement
MESSAGE_OVERHEAD_BYTES = 164  # frame, digest and the fields around the lists
MEMBER_OVERHEAD_BYTES = 47
DRAINING_OVERHEAD_BYTES = 15
QUARANTINE_OVERHEAD_BYTES = 45
MAX_QUARANTINE_SERVERS = 4
LIST_SHARE = 0.4  # of the room that is left, for each list before the members


def own_member(state: State) -> Member:
    """Return what this instance says of itself."""
    settings = state.settings
    return Member(
        id=settings.instance_id,
        incarnation=settings.incarnation,
        heartbeat=state.peers.heartbeat,
        address=settings.peer_address,
        domain=settings.failure_domain,
        status=own_status(state),
    )


def own_status(state: State) -> PeerStatus:
    """Return where this instance is in its life."""
    phase = state.lifecycle.phase
    if phase is ProcessPhase.STOPPED:
        return PeerStatus.GONE
    if phase in (ProcessPhase.DRAINING, ProcessPhase.CLOSING):
        return PeerStatus.DRAINING
    return PeerStatus.STARTING if state.note is None else PeerStatus.READY


def short_message(state: State, ask: int = 0, answer_to: int = 0, to: str = "") -> GossipMessage:
    """Return a message about this instance and its note only.

    :param to: incarnation of the instance whose ask is answered.
    """
    return GossipMessage(
        sender=own_member(state),
        note_number=state.note.number if state.note else 0,
        note_digest=state.note.digest if state.note else "",
        ask=ask,
        answer_to=answer_to,
        answer_incarnation=to,
    )


def farewell(state: State) -> list[SendGossip]:
    """Return the messages that tell random peers that this instance ends."""
    state.peers.heartbeat += 1
    message = short_message(state)
    return [SendGossip(address, message) for address in gossip_targets(state)]


def full_message(state: State) -> GossipMessage:
    """Return a message with samples of all that gossip spreads."""
    base = short_message(state)
    room = _message_bytes(state) - MESSAGE_OVERHEAD_BYTES - _member_bytes(base.sender)
    draining, used = _draining(state, LIST_SHARE * room)
    room -= used
    quarantine, used = _quarantine(state, LIST_SHARE * room)
    members = _members(state, room - used)
    return GossipMessage(
        base.sender, base.note_number, base.note_digest, draining, quarantine, members
    )


def _message_bytes(state: State) -> float:
    """Return the size of a message such that sending and receiving keep to the budget."""
    settings = state.settings
    per_round = settings.gossip_bytes_per_s * settings.gossip_interval_ms / 1000
    return per_round / (2 * settings.gossip_fanout) - PACKET_OVERHEAD_BYTES


def _member_bytes(member: Member) -> int:
    texts = (member.id, member.incarnation, member.address, member.domain)
    return MEMBER_OVERHEAD_BYTES + sum(len(item.encode()) for item in texts)


def _draining(state: State, room: float) -> tuple[tuple[DrainingServer, ...], float]:
    current = [
        DrainingServer(server.id, incarnation)
        for server in state.servers_by_id.values()
        if (incarnation := _draining_incarnation(server))
    ]
    chosen: list[DrainingServer] = []
    used = 0.0
    for server in state.rng.sample(current, len(current)):
        size = DRAINING_OVERHEAD_BYTES + len(server.id) + len(server.incarnation)
        if used + size > room:
            break
        chosen.append(server)
        used += size
    return tuple(chosen), used


def _draining_incarnation(server: ServerState) -> str:
    """Return the incarnation to warn others of; empty if the running one takes work."""
    known = server.draining_incarnations
    if server.incarnation in known:
        return server.incarnation
    return known[-1] if known and not server.incarnation else ""


def _quarantine(state: State, room: float) -> tuple[tuple[QuarantineEntry, ...], float]:
    known = local_quarantines(state)
    chosen: list[QuarantineEntry] = []
    used = 0.0
    for item in state.rng.sample(known, len(known)):
        size = QUARANTINE_OVERHEAD_BYTES + len(item.fingerprint)
        servers = tuple(sorted(item.server_ids))[:MAX_QUARANTINE_SERVERS]
        size += sum(4 + len(server) for server in servers)
        if used + size > room:
            break
        remaining_ms = item.until - state.now
        chosen.append(
            QuarantineEntry(item.fingerprint, item.blame, servers, remaining_ms, item.tests_failed)
        )
        used += size
    return tuple(chosen), used


def _members(state: State, room: float) -> tuple[Member, ...]:
    peers = state.peers
    known = [peer for peer in peers.by_id.values() if peer.heartbeats and not peer.is_dropped]
    chosen: list[Member] = []
    for peer in state.rng.sample(known, len(known)):
        member = Member(
            peer.id, peer.incarnation, peer.heartbeat, peer.address, peer.domain, peer.status
        )
        room -= _member_bytes(member)
        if room < 0:
            break
        chosen.append(member)
    return tuple(chosen)
