"""Membership of entry instances and the count of live ones.

A member is identified by its id. Within an incarnation only a higher heartbeat updates the record,
so stale gossip has no effect. Incarnations are unordered: one reported by the member itself
replaces the recorded one if its heartbeat is new; one reported by a third party does so only if it
was not recorded before and the current one has ended or sent no gossip within the heartbeat
timeout.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from turmerictiller.core.peers.gossip_model import Member, PeerStatus
from turmerictiller.core.peers.peer_state import Peer

if TYPE_CHECKING:
    from turmerictiller.clock import Millis
    from turmerictiller.core.events import ListedInstance
    from turmerictiller.core.state import State

MAX_TRACKED_INCARNATIONS = 4
MEMBERS_PER_MESSAGE = 8
REFRESHES_PER_TIMEOUT = 4


def seed_addresses(state: State) -> list[str]:
    """Return the addresses of the peers in the settings, except the local one."""
    local_address = state.settings.peer_address
    return [address for address in dict.fromkeys(state.settings.peers) if address != local_address]


def contact_addresses(state: State) -> list[str]:
    """Return the addresses of the peers in the settings and in the instance list."""
    return list(dict.fromkeys([*seed_addresses(state), *state.peers.listed_addresses]))


def is_peer_address(state: State, address: str) -> bool:
    """Return whether an address is that of a peer in the settings, the instance list or gossip."""
    return address in state.peers.id_by_address or address in contact_addresses(state)


def merge_member(state: State, member: Member, is_direct: bool) -> bool:
    """Merge the gossip entry of a member, received from itself or from a third party.

    :param is_direct: whether the member itself sent the entry.
    :return: whether the entry belongs to another instance and was merged.
    """
    if _is_self(state, member.id, member.address):
        return False
    peer = state.peers.by_id.get(member.id)
    if peer is None:
        if not is_direct and _is_address_of_live_peer(state, member):
            return False
        peer = _add_peer(state, member)
        if peer is None:
            return False
    elif not _should_merge(state, peer, member, is_direct):
        return False
    _apply_update(state, peer, member, is_direct)
    return True


def _is_self(state: State, id_: str, address: str) -> bool:
    return id_ == state.settings.instance_id or address == state.settings.peer_address


def _is_address_of_live_peer(state: State, member: Member) -> bool:
    holder_id = state.peers.id_by_address.get(member.address)
    if holder_id is None or holder_id == member.id:
        return False
    return _has_recent_direct_gossip(state, state.peers.by_id[holder_id])


def _has_recent_direct_gossip(state: State, peer: Peer) -> bool:
    if peer.status is PeerStatus.GONE:
        return False
    return state.now - peer.direct_at <= heartbeat_timeout_ms(state)


def _should_merge(state: State, peer: Peer, member: Member, is_direct: bool) -> bool:
    if member.heartbeat <= peer.heartbeats.get(member.incarnation, -1):
        return False
    if is_direct:
        return True
    if _is_address_of_live_peer(state, member):
        return False
    if member.incarnation == peer.incarnation:
        return True
    return member.incarnation not in peer.heartbeats and not _has_recent_direct_gossip(state, peer)


def _apply_update(state: State, peer: Peer, member: Member, is_direct: bool) -> None:
    peer.incarnation = member.incarnation
    peer.status = member.status
    peer.heartbeat = member.heartbeat
    peer.heartbeats.pop(member.incarnation, None)
    peer.heartbeats[member.incarnation] = member.heartbeat
    while len(peer.heartbeats) > MAX_TRACKED_INCARNATIONS:
        del peer.heartbeats[next(iter(peer.heartbeats))]
    peer.domain = member.domain
    peer.progress_at = state.now
    peer.is_dropped = False
    if is_direct:
        peer.direct_at = state.now
    _set_address(state, peer, member.address)


def _set_address(state: State, peer: Peer, address: str) -> None:
    addresses = state.peers.id_by_address
    if peer.address != address and addresses.get(peer.address) == peer.id:
        del addresses[peer.address]
    peer.address = address
    holder_id = addresses.get(address)
    if holder_id is not None and holder_id != peer.id:
        # Only one process can use the address at a time, so its previous holder has ended.
        state.peers.by_id[holder_id].status = PeerStatus.GONE
    addresses[address] = peer.id


def _add_peer(state: State, member: Member) -> Peer | None:
    peers = state.peers
    if len(peers.by_id) >= state.settings.max_peers and not _evict_inactive_peer(state):
        state.counters["peers.table_full"] += 1
        return None
    peer = Peer(
        id=member.id,
        incarnation=member.incarnation,
        address=member.address,
        domain=member.domain,
        status=member.status,
        known_since=state.now,
    )
    peers.by_id[peer.id] = peer
    return peer


def _evict_inactive_peer(state: State) -> bool:
    candidates = [
        peer
        for peer in state.peers.by_id.values()
        if peer.is_dropped or peer.status is PeerStatus.GONE
    ]
    if not candidates:
        return False
    _remove_peer(state, min(candidates, key=lambda peer: peer.progress_at))
    return True


def _remove_peer(state: State, peer: Peer) -> None:
    del state.peers.by_id[peer.id]
    if state.peers.id_by_address.get(peer.address) == peer.id:
        del state.peers.id_by_address[peer.address]


def merge_instance_list(state: State, rows: list[ListedInstance]) -> None:
    """Merge the entry instances of an instance list, which may be out of date."""
    other_rows = [row for row in rows if not _is_self(state, row.id, row.address)]
    other_rows = other_rows[: state.settings.max_peers]
    state.peers.listed_addresses = tuple(row.address for row in other_rows)
    for peer in state.peers.by_id.values():
        peer.is_listed = False
    for row in other_rows:
        _merge_row(state, row)
    update_live_count(state)


def _merge_row(state: State, row: ListedInstance) -> None:
    peer = state.peers.by_id.get(row.id)
    if peer is None:
        if row.address in state.peers.id_by_address:
            return
        status = PeerStatus.DRAINING if row.leaving else PeerStatus.STARTING
        member = Member(row.id, row.incarnation, 0, row.address, row.domain, status)
        peer = _add_peer(state, member)
        if peer is None:
            return
        _set_address(state, peer, row.address)
    peer.is_listed = not row.leaving
    is_same_incarnation = bool(row.incarnation) and row.incarnation == peer.incarnation
    if row.leaving and is_same_incarnation and peer.status.value < PeerStatus.DRAINING.value:
        peer.status = PeerStatus.DRAINING


def heartbeat_timeout_ms(state: State) -> float:
    """Return the time without a new heartbeat after which a member counts as silent.

    It grows with the number of peers, because each message carries a sample of constant size.
    """
    settings = state.settings
    rounds = len(state.peers.by_id) / (MEMBERS_PER_MESSAGE * settings.gossip_fanout)
    refresh_ms = rounds * settings.gossip_interval_ms
    return settings.peer_timeout_ms + REFRESHES_PER_TIMEOUT * refresh_ms


def has_recent_heartbeat(state: State, peer: Peer) -> bool:
    """Return whether a member has not ended and its heartbeat increased within the timeout."""
    if peer.status is PeerStatus.GONE:
        return False
    return state.now - peer.progress_at <= heartbeat_timeout_ms(state)


def update_live_count(state: State) -> None:
    """Update the number of instances that count as live.

    A silent member is dropped from the count only after the expiry timeout, if the instance list
    does not hold it as live and most of the counted members have a recent heartbeat. An instance
    without heartbeats from most of the others is probably partitioned itself; it drops no member,
    so that its share of upstream connections does not grow.
    """
    peers = state.peers
    counted_peers = [
        peer
        for peer in peers.by_id.values()
        if peer.status is not PeerStatus.GONE and not peer.is_dropped
    ]
    seeds = _unidentified_seeds(state)
    recent_count = sum(has_recent_heartbeat(state, peer) for peer in counted_peers)
    if 2 * (1 + recent_count) > 1 + len(counted_peers) + len(seeds):
        seeds = _drop_silent_seeds(state, seeds)
        counted_peers = _drop_silent_peers(state, counted_peers)
    peers.live_count = 1 + len(counted_peers) + len(seeds)
    _remove_expired_peers(state)


def _unidentified_seeds(state: State) -> list[str]:
    peers = state.peers
    return [
        address
        for address in seed_addresses(state)
        if address not in peers.id_by_address and address not in peers.silent_seed_addresses
    ]


def _silent_since(state: State, last_seen_at: Millis) -> Millis:
    listening_since = state.peers.listening_since
    return max(
        last_seen_at, state.resumed_at, state.now if listening_since is None else listening_since
    )


def _expiry_timeout_ms(state: State) -> float:
    return state.settings.peer_forget_ms + heartbeat_timeout_ms(state)


def _drop_silent_seeds(state: State, seeds: list[str]) -> list[str]:
    silent_ms = state.now - _silent_since(state, float("-inf"))
    if silent_ms <= _expiry_timeout_ms(state):
        return seeds
    state.peers.silent_seed_addresses.update(seeds)
    return []


def _drop_silent_peers(state: State, counted_peers: list[Peer]) -> list[Peer]:
    timeout_ms = _expiry_timeout_ms(state)
    for peer in counted_peers:
        last_seen_at = max(peer.progress_at, peer.known_since)
        is_silent = state.now - _silent_since(state, last_seen_at) > timeout_ms
        peer.is_dropped = is_silent and not peer.is_listed
    return [peer for peer in counted_peers if not peer.is_dropped]


def _remove_expired_peers(state: State) -> None:
    timeout_ms = _expiry_timeout_ms(state)
    for peer in list(state.peers.by_id.values()):
        last_seen_at = max(peer.progress_at, peer.known_since)
        if peer.status is PeerStatus.GONE and state.now - last_seen_at > timeout_ms:
            _remove_peer(state, peer)


def gossip_targets(state: State) -> list[str]:
    """Return random addresses for one gossip round.

    A dropped member is included with a probability of 1/4, or whenever fewer active addresses than
    ``gossip_fanout`` exist, so that a healed partition merges without the instance list.
    """
    peers = state.peers
    running_peers = [peer for peer in peers.by_id.values() if peer.status is not PeerStatus.GONE]
    active_addresses = [peer.address for peer in running_peers if not peer.is_dropped]
    active_addresses += _unidentified_seeds(state)
    dropped_addresses = [peer.address for peer in running_peers if peer.is_dropped]
    dropped_addresses += sorted(peers.silent_seed_addresses - peers.id_by_address.keys())
    fanout = state.settings.gossip_fanout
    targets = state.rng.sample(active_addresses, min(fanout, len(active_addresses)))
    if dropped_addresses and (len(targets) < fanout or state.rng.random() < 1 / 4):
        targets = [*targets[: fanout - 1], state.rng.choice(dropped_addresses)]
    return targets
