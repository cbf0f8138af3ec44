"""Gossip rounds and the handling of received gossip."""

from __future__ import annotations

from typing import TYPE_CHECKING

from turmerictiller.core.configuration import notes_in_force
from turmerictiller.core.effects import SendGossip
from turmerictiller.core.peers import peer_membership
from turmerictiller.core.peers.gossip_content import full_message, short_message
from turmerictiller.core.servers.membership import mark_draining
from turmerictiller.core.servers.quarantine import merge_quarantine
from turmerictiller.core.state import State, TimerKind

if TYPE_CHECKING:
    from turmerictiller.core.events import GossipReceived, PeerFailed
    from turmerictiller.core.peers.gossip_model import GossipMessage

ROUND_JITTER = 0.1


def on_gossip_round(state: State, _key: None = None) -> None:
    """Run one gossip round: update the live count and send gossip to random peers."""
    if state.peers.listening_since is None:
        state.peers.listening_since = state.now
    _schedule_round(state)
    state.peers.heartbeat += 1
    peer_membership.update_live_count(state)
    for address in peer_membership.gossip_targets(state):
        state.out.append(SendGossip(address, full_message(state)))
    notes_in_force.on_round(state)


def _schedule_round(state: State) -> None:
    jitter = 1 + ROUND_JITTER * (2 * state.rng.random() - 1)
    state.timers.add(state.now + state.settings.gossip_interval_ms * jitter, TimerKind.GOSSIP)


def on_gossip_received(state: State, event: GossipReceived) -> None:
    """Merge a gossip message into the state and answer its ask, if there is one."""
    message: GossipMessage = event.message
    sender = message.sender
    if sender.id == state.settings.instance_id:
        state.counters["gossip.own_id"] += 1
        return
    state.counters["gossip.received"] += 1
    if peer_membership.merge_member(state, sender, is_direct=True):
        peer = state.peers.by_id[sender.id]
        peer.note_number, peer.note_digest = message.note_number, message.note_digest
    for member in message.members:
        peer_membership.merge_member(state, member, is_direct=False)
    peer_membership.update_live_count(state)
    for server in message.draining:
        mark_draining(state, server.id, server.incarnation)
    for entry in message.quarantine:
        merge_quarantine(state, entry.fingerprint, entry.remaining_ms, entry.tests_failed)
    if message.ask:
        answer = short_message(state, answer_to=message.ask, answer_incarnation=sender.incarnation)
        state.out.append(SendGossip(sender.address, answer))
    notes_in_force.on_peer_note(state, message)


def on_peer_failed(state: State, event: PeerFailed) -> None:
    """Count the failure of a request to a peer and cancel a note fetch from it."""
    state.counters[f"peers.failed.{event.reason}"] += 1
    notes_in_force.on_peer_failed(state, event.address)
