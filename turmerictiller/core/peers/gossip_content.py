"""Content of gossip messages, filled with samples up to a size derived from the budget."""

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
MAX_LIST_SHARE = 0.4  # of the remaining bytes, for each list that precedes the members


def local_member(state: State) -> Member:
    """Return the gossip entry of this instance."""
    settings = state.settings
    return Member(
        id=settings.instance_id,
        incarnation=settings.incarnation,
        heartbeat=state.peers.heartbeat,
        address=settings.peer_address,
        domain=settings.failure_domain,
        status=local_status(state),
    )


def local_status(state: State) -> PeerStatus:
    """Return the lifecycle status that this instance reports."""
    phase = state.lifecycle.phase
    if phase is ProcessPhase.STOPPED:
        return PeerStatus.GONE
    if phase in (ProcessPhase.DRAINING, ProcessPhase.CLOSING):
        return PeerStatus.DRAINING
    return PeerStatus.STARTING if state.note is None else PeerStatus.READY


def short_message(
    state: State, ask: int = 0, answer_to: int = 0, answer_incarnation: str = ""
) -> GossipMessage:
    """Return a message that contains only this instance and its note in force.

    :param ask: number of the ask to send, 0 for none.
    :param answer_to: number of the ask that is answered, 0 for none.
    :param answer_incarnation: incarnation of the instance whose ask is answered.
    """
    return GossipMessage(
        sender=local_member(state),
        note_number=state.note.number if state.note else 0,
        note_digest=state.note.digest if state.note else "",
        ask=ask,
        answer_to=answer_to,
        answer_incarnation=answer_incarnation,
    )


def shutdown_messages(state: State) -> list[SendGossip]:
    """Return messages that report the end of this instance to random peers."""
    state.peers.heartbeat += 1
    message = short_message(state)
    return [SendGossip(address, message) for address in gossip_targets(state)]


def full_message(state: State) -> GossipMessage:
    """Return a message with samples of draining servers, quarantined requests and members."""
    base = short_message(state)
    available_bytes = (
        _max_message_bytes(state) - MESSAGE_OVERHEAD_BYTES - _member_bytes(base.sender)
    )
    draining, used_bytes = _sample_draining(state, MAX_LIST_SHARE * available_bytes)
    available_bytes -= used_bytes
    quarantine, used_bytes = _sample_quarantine(state, MAX_LIST_SHARE * available_bytes)
    members = _sample_members(state, available_bytes - used_bytes)
    return GossipMessage(
        base.sender, base.note_number, base.note_digest, draining, quarantine, members
    )


def _max_message_bytes(state: State) -> float:
    """Return the message size at which sending and receiving together stay within the budget."""
    settings = state.settings
    bytes_per_round = settings.gossip_bytes_per_s * settings.gossip_interval_ms / 1000
    return bytes_per_round / (2 * settings.gossip_fanout) - PACKET_OVERHEAD_BYTES


def _member_bytes(member: Member) -> int:
    texts = (member.id, member.incarnation, member.address, member.domain)
    return MEMBER_OVERHEAD_BYTES + sum(len(item.encode()) for item in texts)


def _sample_draining(
    state: State, available_bytes: float
) -> tuple[tuple[DrainingServer, ...], float]:
    draining = [
        DrainingServer(server.id, incarnation)
        for server in state.servers_by_id.values()
        if (incarnation := _draining_incarnation(server))
    ]
    sampled: list[DrainingServer] = []
    used_bytes = 0.0
    for server in state.rng.sample(draining, len(draining)):
        entry_bytes = DRAINING_OVERHEAD_BYTES + len(server.id) + len(server.incarnation)
        if used_bytes + entry_bytes > available_bytes:
            break
        sampled.append(server)
        used_bytes += entry_bytes
    return tuple(sampled), used_bytes


def _draining_incarnation(server: ServerState) -> str:
    """Return the draining incarnation to report, or an empty string if there is none to report.

    While the current incarnation is unknown, it is the last one that was seen draining.
    """
    draining = server.draining_incarnations
    if server.incarnation in draining:
        return server.incarnation
    return draining[-1] if draining and not server.incarnation else ""


def _sample_quarantine(
    state: State, available_bytes: float
) -> tuple[tuple[QuarantineEntry, ...], float]:
    quarantines = local_quarantines(state)
    sampled: list[QuarantineEntry] = []
    used_bytes = 0.0
    for item in state.rng.sample(quarantines, len(quarantines)):
        entry_bytes = QUARANTINE_OVERHEAD_BYTES + len(item.fingerprint)
        servers = tuple(sorted(item.server_ids))[:MAX_QUARANTINE_SERVERS]
        entry_bytes += sum(4 + len(server) for server in servers)
        if used_bytes + entry_bytes > available_bytes:
            break
        remaining_ms = item.until - state.now
        sampled.append(
            QuarantineEntry(item.fingerprint, item.blame, servers, remaining_ms, item.tests_failed)
        )
        used_bytes += entry_bytes
    return tuple(sampled), used_bytes


def _sample_members(state: State, available_bytes: float) -> tuple[Member, ...]:
    peers = state.peers
    candidates = [peer for peer in peers.by_id.values() if peer.heartbeats and not peer.is_dropped]
    sampled: list[Member] = []
    for peer in state.rng.sample(candidates, len(candidates)):
        member = Member(
            peer.id, peer.incarnation, peer.heartbeat, peer.address, peer.domain, peer.status
        )
        available_bytes -= _member_bytes(member)
        if available_bytes < 0:
            break
        sampled.append(member)
    return tuple(sampled)
