"""Other instances: which are there, and what instances tell each other.

Each instance asks one random instance a second, and both learn what the other knows. So the cost per
instance does not grow with their number, and news reach all within some seconds. Nothing depends on
being heard by all: shares of budgets follow the largest number that was seen lately, and documents
are compared by their versions.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from turmerictiller.forwarding.contention import contested_servers, merge_contested_servers
from turmerictiller.forwarding.effects import LogDecision, SendGossip
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
# News of a living instance are seldom older than this where every exchange tells of all instances.
MIN_PEER_TTL_MS = 8_000.0
# Where it tells of some, news take longer, and in a simulation of 68 to 300 instances the oldest of ten
# thousand was 1.3 times N/MAX_TOLD x ln(N) exchanges old.
PEER_TTL_FACTOR = 1.5
# Instances that an exchange tells of, so that it costs the same in a fleet of any size.
MAX_GOSSIP_PEERS = 24
MAX_PEERS = 2_000
SEED_SHARE = 0.1  # of the questions go to addresses from the settings, so that partitions heal
READER_SHARE = 0.7  # of the questions go to readers of the registry, where few instances read it
URGENT_GOSSIP_FANOUT = (
    3  # three questions by each reach 94% of a fleet, the next exchanges the rest
)


def start_gossip(state: State) -> None:
    """Begin to ask other instances."""
    if not state.gossip_started and state.settings.peer_address:
        state.gossip_started = True
        state.timers.add(state.now, TimerKind.GOSSIP)


def on_gossip_due(state: State, key: None) -> None:
    """Ask one other instance."""
    state.timers.add(state.now + GOSSIP_INTERVAL_MS, TimerKind.GOSSIP)
    _forget_silent(state)
    log_read_plan(state)
    addresses = _addresses_to_ask(state)
    if addresses:
        state.out.append(SendGossip(state.rng.choice(addresses), build_gossip(state)))


def on_urgent_gossip_due(state: State, key: None) -> None:
    """Ask several instances at once, so that news reach all within a second."""
    own = state.settings.peer_address
    addresses = [peer.address for peer in state.peers_by_id.values() if peer.address != own]
    gossip = build_gossip(state)
    for address in state.rng.sample(addresses, min(URGENT_GOSSIP_FANOUT, len(addresses))):
        state.out.append(SendGossip(address, gossip))


def _addresses_to_ask(state: State) -> list[str]:
    """Return the addresses of which one is asked.

    In a fleet in which few read the registry, instances ask mostly those few: that carries what they
    read, and all other news take two or three exchanges in a fleet of any size.
    """
    own = state.settings.peer_address
    others = [peer.address for peer in state.peers_by_id.values() if peer.address != own]
    seeds = [address for address in state.settings.seed_addresses if address != own]
    chance = state.rng.random()
    if seeds and (not others or chance < SEED_SHARE):
        return seeds
    plan = read_plan(state, state.now)
    if plan is ReadPlan.DIRECT or chance >= SEED_SHARE + READER_SHARE:
        return others
    if is_reader(state):
        return other_reader_addresses(state) or others
    return reader_addresses(state, state.settings.failure_domain) or others


def on_gossip_received(state: State, event: GossipReceived) -> None:
    """Take over what another instance tells."""
    gossip = event.gossip
    if gossip.leaving:
        if state.peers_by_id.pop(gossip.sender.id, None) is not None:
            state.out.append(LogDecision("peer_left", {"peer": gossip.sender.id}, urgent=True))
    else:
        _take(state, gossip.sender)
    life_ms = peer_ttl_ms(state)
    for entry in gossip.entries:
        if entry.age_ms < life_ms:
            _take(state, entry)
    update_instance_count(state, gossip.live_instances)
    merge_slow_servers(state, gossip)
    merge_contested_servers(state, gossip)
    merge_crash_reports(state, gossip)


def _take(state: State, entry: PeerEntry) -> None:
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
            state.out.append(LogDecision("peer_added", fields, urgent=True))
    elif last_seen_at > peer.last_seen_at:
        peer.address, peer.incarnation, peer.last_seen_at = (
            entry.address,
            entry.incarnation,
            last_seen_at,
        )
        peer.domain = entry.domain


def peer_ttl_ms(state: State) -> Millis:
    """Return after which silence an instance counts as gone."""
    number = max(len(state.peers_by_id) + 1, state.peak_instances)
    return max(
        MIN_PEER_TTL_MS,
        PEER_TTL_FACTOR * GOSSIP_INTERVAL_MS * number / MAX_GOSSIP_PEERS * math.log(max(1, number)),
    )


def _forget_silent(state: State) -> None:
    life_ms = peer_ttl_ms(state)
    for peer_id, peer in list(state.peers_by_id.items()):
        if state.now - peer.last_seen_at > life_ms:
            del state.peers_by_id[peer_id]
            fields = {"peer": peer_id, "silent_ms": round(state.now - peer.last_seen_at)}
            state.out.append(LogDecision("peer_lost", fields, urgent=True))
    update_instance_count(state)


def build_gossip(state: State) -> GossipMessage:
    """Return what this instance tells."""
    settings = state.settings
    known = list(state.peers_by_id.items())
    if len(known) > MAX_GOSSIP_PEERS:
        known = state.rng.sample(known, MAX_GOSSIP_PEERS)
    entries = tuple(
        PeerEntry(
            peer_id,
            peer.address,
            peer.incarnation,
            max(0.0, state.now - peer.last_seen_at),
            peer.domain,
        )
        for peer_id, peer in known
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
    )
