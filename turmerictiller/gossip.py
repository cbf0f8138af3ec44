"""Gossip rounds and gossip received."""

from __future__ import annotations

from typing import TYPE_CHECKING

from turmerictiller import join_rule, notes_in_force, peer_membership
from turmerictiller.effects import SendGossip
from turmerictiller.gossip_content import full_message, short_message
from turmerictiller.membership import mark_draining
from turmerictiller.peer_state import QuarantinedRequest
from turmerictiller.state import State, TimerKind

if TYPE_CHECKING:
    from turmerictiller.events import GossipReceived, PeerFailed
    from turmerictiller.gossip_model import GossipMessage, QuarantineEntry

ROUND_JITTER = 0.1
MAX_QUARANTINE_MS = 3_600_000.0
MAX_QUARANTINE_SERVERS = 16


def on_gossip_round(state: State, _key: None = None) -> None:
    """Send gossip to random peers and bring the view of the members up to date."""
    _note_pause(state)
    _schedule(state)
    state.peers.heartbeat += 1
    peer_membership.recount(state)
    _expire_quarantine(state)
    for address in peer_membership.gossip_targets(state):
        state.out.append(SendGossip(address, full_message(state)))
    notes_in_force.on_round(state)


def _note_pause(state: State) -> None:
    """Discard the freshness of peers if the process was paused."""
    peers = state.peers
    if peers.next_round_at is None:
        peers.listening_since = state.now
    elif state.now - peers.next_round_at > state.settings.pause_threshold_ms:
        peers.listening_since = state.now
        join_rule.restart(state)


def _schedule(state: State) -> None:
    jitter = 1 + ROUND_JITTER * (2 * state.rng.random() - 1)
    state.peers.next_round_at = state.now + state.settings.gossip_interval_ms * jitter
    state.timers.add(state.peers.next_round_at, TimerKind.GOSSIP)


def on_gossip_received(state: State, event: GossipReceived) -> None:
    """Take in a message of a peer."""
    message: GossipMessage = event.message
    sender = message.sender
    if sender.id == state.settings.instance_id:
        state.counters["gossip.own_id"] += 1
        return
    state.counters["gossip.received"] += 1
    if peer_membership.observe_member(state, sender, is_direct=True):
        peer = state.peers.by_id[sender.id]
        peer.note_number, peer.note_digest = message.note_number, message.note_digest
    for member in message.members:
        peer_membership.observe_member(state, member, is_direct=False)
    peer_membership.recount(state)
    for server in message.draining:
        mark_draining(state, server.id, server.incarnation)
    for entry in message.quarantine:
        _merge_quarantine(state, entry)
    if message.ask:
        answer = short_message(state, answer_to=message.ask, to=sender.incarnation)
        state.out.append(SendGossip(sender.address, answer))
    notes_in_force.on_peer_note(state, message)


def on_peer_failed(state: State, event: PeerFailed) -> None:
    """Give up what was wanted from a peer that can not be reached."""
    state.counters[f"peers.failed.{event.reason}"] += 1
    notes_in_force.on_peer_failed(state, event.address)


def _merge_quarantine(state: State, entry: QuarantineEntry) -> None:
    known_by_fingerprint = state.peers.quarantine_by_fingerprint
    until = state.now + min(entry.remaining_ms, MAX_QUARANTINE_MS)
    known = known_by_fingerprint.get(entry.fingerprint)
    if known is None:
        if len(known_by_fingerprint) < state.settings.max_suspects and until > state.now:
            servers = entry.servers[:MAX_QUARANTINE_SERVERS]
            known_by_fingerprint[entry.fingerprint] = QuarantinedRequest(
                entry.fingerprint, entry.blame, servers, until
            )
        return
    known.blame = max(known.blame, entry.blame)
    servers = tuple(dict.fromkeys([*known.servers, *entry.servers]))
    known.servers = servers[:MAX_QUARANTINE_SERVERS]
    # Each hop adds its delay to the end; without slack, gossip would prolong an entry for ever.
    if until > known.until + state.settings.gossip_interval_ms:
        known.until = until


def _expire_quarantine(state: State) -> None:
    known_by_fingerprint = state.peers.quarantine_by_fingerprint
    for fingerprint, known in list(known_by_fingerprint.items()):
        if known.until <= state.now:
            del known_by_fingerprint[fingerprint]
