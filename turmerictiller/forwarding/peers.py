"""Membership of the other instances and push-pull gossip between them.

Each instance exchanges messages with one random instance a second. The cost per instance therefore
does not grow with the size of the fleet, and updates reach all instances within some seconds.
Nothing depends on complete delivery: shares of budgets follow the largest recent number of
instances, and documents are compared by their versions.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from turmerictiller.forwarding.contention import contested_servers, merge_contested_servers
from turmerictiller.forwarding.effects import SendGossip, WriteLog
from turmerictiller.forwarding.fleet_size import update_instance_count
from turmerictiller.forwarding.peer_model import GossipMessage, PeerEntry, PeerState
from turmerictiller.forwarding.quarantine import crash_reports, merge_crash_reports
from turmerictiller.forwarding.readers import (
    ReadPlan,
    is_reader,
    log_read_plan,
    other_reader_addresses,
    read_plan,
    reader_addresses,
)
from turmerictiller.forwarding.shared_slowness import merge_slow_servers, slow_servers
from turmerictiller.forwarding.state import TimerKind
from turmerictiller.phases import ProcessPhase

if TYPE_CHECKING:
    from turmerictiller.clock import Millis
    from turmerictiller.forwarding.events import GossipReceived
    from turmerictiller.forwarding.state import State

GOSSIP_INTERVAL_MS = 1_000.0
# Entries of live instances are seldom older than this where every message covers all instances.
MIN_PEER_TTL_MS = 8_000.0
# Where a message covers a sample, entries get older: in a simulation of 68 to 300 instances the
# oldest of ten thousand was 1.3 times N/MAX_GOSSIP_PEERS x ln(N) gossip intervals old.
PEER_TTL_FACTOR = 1.5
# Maximum number of peers in a message, so that its size does not grow with the fleet.
MAX_GOSSIP_PEERS = 24
MAX_PEERS = 2_000
SEED_SHARE = 0.1  # share of messages to the seed addresses, so that partitions heal
READER_SHARE = 0.7  # share of messages to registry readers, where few instances read the registry
# Three messages by each instance reach 94% of a fleet; periodic gossip reaches the rest.
URGENT_GOSSIP_FANOUT = 3


def start_gossip(state: State) -> None:
    """Start periodic gossip if this instance has an address for it."""
    if not state.gossip_started and state.settings.peer_address:
        state.gossip_started = True
        state.timers.add(state.now, TimerKind.GOSSIP)


def on_gossip_due(state: State, key: None) -> None:
    """Send a gossip message to one random instance."""
    state.timers.add(state.now + GOSSIP_INTERVAL_MS, TimerKind.GOSSIP)
    _evict_silent_peers(state)
    log_read_plan(state)
    addresses = _gossip_targets(state)
    if addresses:
        state.out.append(SendGossip(state.rng.choice(addresses), build_gossip(state)))


def on_urgent_gossip_due(state: State, key: None) -> None:
    """Send gossip messages to several instances at once, to reach all within a second."""
    local_address = state.settings.peer_address
    addresses = [
        peer.address for peer in state.peers_by_id.values() if peer.address != local_address
    ]
    message = build_gossip(state)
    for address in state.rng.sample(addresses, min(URGENT_GOSSIP_FANOUT, len(addresses))):
        state.out.append(SendGossip(address, message))


def _gossip_targets(state: State) -> list[str]:
    """Return the addresses from which the receiver of the next message is chosen.

    Where few instances read the registry, most messages go to those readers. That propagates what
    they read, and all other updates take two or three rounds in a fleet of any size.
    """
    local_address = state.settings.peer_address
    others = [peer.address for peer in state.peers_by_id.values() if peer.address != local_address]
    seeds = [address for address in state.settings.seed_addresses if address != local_address]
    draw = state.rng.random()
    if seeds and (not others or draw < SEED_SHARE):
        return seeds
    plan = read_plan(state, state.now)
    if plan is ReadPlan.DIRECT or draw >= SEED_SHARE + READER_SHARE:
        return others
    if is_reader(state):
        return other_reader_addresses(state) or others
    return reader_addresses(state, state.settings.failure_domain) or others


def on_gossip_received(state: State, event: GossipReceived) -> None:
    """Merge a gossip message of another instance into the state."""
    message = event.message
    if message.leaving:
        if state.peers_by_id.pop(message.sender.id, None) is not None:
            state.out.append(WriteLog("peer_left", {"peer": message.sender.id}, urgent=True))
    else:
        _merge_peer(state, message.sender)
    ttl_ms = peer_ttl_ms(state)
    for entry in message.entries:
        if entry.age_ms < ttl_ms:
            _merge_peer(state, entry)
    update_instance_count(state, message.live_instances)
    merge_slow_servers(state, message)
    merge_contested_servers(state, message)
    merge_crash_reports(state, message)


def _merge_peer(state: State, entry: PeerEntry) -> None:
    if entry.id == state.settings.instance_id:
        return
    last_seen_at = state.now - entry.age_ms
    peer = state.peers_by_id.get(entry.id)
    if peer is None:
        if len(state.peers_by_id) < MAX_PEERS:
            state.peers_by_id[entry.id] = PeerState(
                entry.address, entry.incarnation, last_seen_at, entry.domain
            )
            fields = {"peer": entry.id, "address": entry.address, "age_ms": round(entry.age_ms)}
            state.out.append(WriteLog("peer_added", fields, urgent=True))
    elif last_seen_at > peer.last_seen_at:
        peer.address, peer.incarnation, peer.last_seen_at = (
            entry.address,
            entry.incarnation,
            last_seen_at,
        )
        peer.domain = entry.domain


def peer_ttl_ms(state: State) -> Millis:
    """Return the time without messages after which an instance is evicted."""
    count = max(len(state.peers_by_id) + 1, state.peak_instances)
    return max(
        MIN_PEER_TTL_MS,
        PEER_TTL_FACTOR * GOSSIP_INTERVAL_MS * count / MAX_GOSSIP_PEERS * math.log(max(1, count)),
    )


def _evict_silent_peers(state: State) -> None:
    ttl_ms = peer_ttl_ms(state)
    for peer_id, peer in list(state.peers_by_id.items()):
        if state.now - peer.last_seen_at > ttl_ms:
            del state.peers_by_id[peer_id]
            fields = {"peer": peer_id, "silent_ms": round(state.now - peer.last_seen_at)}
            state.out.append(WriteLog("peer_lost", fields, urgent=True))
    update_instance_count(state)


def build_gossip(state: State) -> GossipMessage:
    """Return a gossip message with the current state of this instance."""
    settings = state.settings
    peers = list(state.peers_by_id.items())
    if len(peers) > MAX_GOSSIP_PEERS:
        peers = state.rng.sample(peers, MAX_GOSSIP_PEERS)
    entries = tuple(
        PeerEntry(
            peer_id,
            peer.address,
            peer.incarnation,
            max(0.0, state.now - peer.last_seen_at),
            peer.domain,
        )
        for peer_id, peer in peers
    )
    configuration = state.configuration
    return GossipMessage(
        PeerEntry(
            settings.instance_id,
            settings.peer_address,
            state.own_incarnation,
            0.0,
            settings.failure_domain,
        ),
        state.phase not in (ProcessPhase.STARTING, ProcessPhase.RUNNING),
        entries,
        configuration.version if configuration else 0,
        configuration is None or not state.servers_listed or state.registry_lost,
        slow_servers(state),
        len(state.peers_by_id) + 1,
        contested_servers(state),
        crash_reports(state),
        state.registry_revision,
        state.now - state.registry_read_at,
        state.registry_lost or read_plan(state, state.now) is ReadPlan.FOLLOWER,
        accepts_deflated=True,
    )
