"""Entry instances: which exist, and how many are believed live.

A member is known by its id. Within an incarnation only a higher heartbeat changes what is known, so old
gossip does nothing. Incarnations have no order: one that is heard directly replaces the known one if
its heartbeat is new; one that a third party reports does so only if the known one is silent.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from turmerictiller.core.peers.gossip_model import Member, PeerStatus
from turmerictiller.core.peers.peer_state import Peer

if TYPE_CHECKING:
    from turmerictiller.clock import Millis
    from turmerictiller.core.events import ListedInstance
    from turmerictiller.core.state import State

KEPT_INCARNATIONS = 4
MEMBERS_PER_MESSAGE = 8
REFRESHES_PER_TIMEOUT = 4


def seed_addresses(state: State) -> list[str]:
    """Return the addresses of the peers in the settings, without the own one."""
    own = state.settings.peer_address
    return [address for address in dict.fromkeys(state.settings.peers) if address != own]


def contact_addresses(state: State) -> list[str]:
    """Return the addresses of the peers in the settings and in the instance list."""
    return list(dict.fromkeys([*seed_addresses(state), *state.peers.listed_addresses]))


def is_peer_address(state: State, address: str) -> bool:
    """Return whether an address is that of a peer in the settings, the instance list or gossip."""
    return address in state.peers.id_by_address or address in contact_addresses(state)


def observe_member(state: State, member: Member, is_direct: bool) -> bool:
    """Take in what a member says of itself, or what a third party repeats.

    :return: whether the member is another instance and the news is not out of date.
    """
    if _is_self(state, member.id, member.address):
        return False
    peer = state.peers.by_id.get(member.id)
    if peer is None:
        if not is_direct and _has_other_live_holder(state, member):
            return False
        peer = _add(state, member)
        if peer is None:
            return False
    elif not _is_news(state, peer, member, is_direct):
        return False
    _apply(state, peer, member, is_direct)
    return True


def _is_self(state: State, id_: str, address: str) -> bool:
    return id_ == state.settings.instance_id or address == state.settings.peer_address


def _has_other_live_holder(state: State, member: Member) -> bool:
    holder_id = state.peers.id_by_address.get(member.address)
    if holder_id is None or holder_id == member.id:
        return False
    return _is_heard_directly(state, state.peers.by_id[holder_id])


def _is_heard_directly(state: State, peer: Peer) -> bool:
    if peer.status is PeerStatus.GONE:
        return False
    return state.now - peer.direct_at <= heartbeat_timeout_ms(state)


def _is_news(state: State, peer: Peer, member: Member, is_direct: bool) -> bool:
    if member.heartbeat <= peer.heartbeats.get(member.incarnation, -1):
        return False
    if is_direct:
        return True
    if _has_other_live_holder(state, member):
        return False
    if member.incarnation == peer.incarnation:
        return True
    return member.incarnation not in peer.heartbeats and not _is_heard_directly(state, peer)


def _apply(state: State, peer: Peer, member: Member, is_direct: bool) -> None:
    peer.incarnation = member.incarnation
    peer.status = member.status
    peer.heartbeat = member.heartbeat
    peer.heartbeats.pop(member.incarnation, None)
    peer.heartbeats[member.incarnation] = member.heartbeat
    while len(peer.heartbeats) > KEPT_INCARNATIONS:
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
        # The address belongs to one process at a time, so its former holder has ended.
        state.peers.by_id[holder_id].status = PeerStatus.GONE
    addresses[address] = peer.id


def _add(state: State, member: Member) -> Peer | None:
    peers = state.peers
    if len(peers.by_id) >= state.settings.max_peers and not _evict(state):
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


def _evict(state: State) -> bool:
    candidates = [
        peer
        for peer in state.peers.by_id.values()
        if peer.is_dropped or peer.status is PeerStatus.GONE
    ]
    if not candidates:
        return False
    _remove(state, min(candidates, key=lambda peer: peer.progress_at))
    return True


def _remove(state: State, peer: Peer) -> None:
    del state.peers.by_id[peer.id]
    if state.peers.id_by_address.get(peer.address) == peer.id:
        del state.peers.id_by_address[peer.address]


def observe_list(state: State, rows: list[ListedInstance]) -> None:
    """Take in the rows of entry instances of an instance list, which may lag."""
    others = [row for row in rows if not _is_self(state, row.id, row.address)]
    others = others[: state.settings.max_peers]
    state.peers.listed_addresses = tuple(row.address for row in others)
    for peer in state.peers.by_id.values():
        peer.is_listed = False
    for row in others:
        _observe_row(state, row)
    update_live_count(state)


def _observe_row(state: State, row: ListedInstance) -> None:
    peer = state.peers.by_id.get(row.id)
    if peer is None:
        if row.address in state.peers.id_by_address:
            return
        status = PeerStatus.DRAINING if row.leaving else PeerStatus.STARTING
        member = Member(row.id, row.incarnation, 0, row.address, row.domain, status)
        peer = _add(state, member)
        if peer is None:
            return
        _set_address(state, peer, row.address)
    peer.is_listed = not row.leaving
    is_same = bool(row.incarnation) and row.incarnation == peer.incarnation
    if row.leaving and is_same and peer.status.value < PeerStatus.DRAINING.value:
        peer.status = PeerStatus.DRAINING


def heartbeat_timeout_ms(state: State) -> float:
    """Return the silence after which a member is uncertain.

    It grows with the fleet, because the sample in a message has a constant size.
    """
    settings = state.settings
    rounds = len(state.peers.by_id) / (MEMBERS_PER_MESSAGE * settings.gossip_fanout)
    refresh_ms = rounds * settings.gossip_interval_ms
    return settings.peer_timeout_ms + REFRESHES_PER_TIMEOUT * refresh_ms


def has_recent_heartbeat(state: State, peer: Peer) -> bool:
    """Return whether a member that has not ended was heard of lately."""
    if peer.status is PeerStatus.GONE:
        return False
    return state.now - peer.progress_at <= heartbeat_timeout_ms(state)


def update_live_count(state: State) -> None:
    """Count the instances believed live.

    A silent member counts until it was silent for long, is not listed as live, and most of the
    counted members are heard. An instance that hears few of the others is probably the one that is
    cut off; it drops nobody, so that its share of upstream connections does not grow.
    """
    peers = state.peers
    counted = [
        peer
        for peer in peers.by_id.values()
        if peer.status is not PeerStatus.GONE and not peer.is_dropped
    ]
    seeds = _unidentified_seeds(state)
    heard = sum(has_recent_heartbeat(state, peer) for peer in counted)
    if 2 * (1 + heard) > 1 + len(counted) + len(seeds):
        seeds = _drop_silent_seeds(state, seeds)
        counted = _drop_silent_peers(state, counted)
    peers.live_count = 1 + len(counted) + len(seeds)
    _forget_gone(state)


def _unidentified_seeds(state: State) -> list[str]:
    peers = state.peers
    return [
        address
        for address in seed_addresses(state)
        if address not in peers.id_by_address and address not in peers.silent_seed_addresses
    ]


def _silent_since(state: State, last: Millis) -> Millis:
    started = state.peers.listening_since
    return max(last, state.resumed_at, state.now if started is None else started)


def _forget_after_ms(state: State) -> float:
    return state.settings.peer_forget_ms + heartbeat_timeout_ms(state)


def _drop_silent_seeds(state: State, seeds: list[str]) -> list[str]:
    silent_ms = state.now - _silent_since(state, float("-inf"))
    if silent_ms <= _forget_after_ms(state):
        return seeds
    state.peers.silent_seed_addresses.update(seeds)
    return []


def _drop_silent_peers(state: State, counted: list[Peer]) -> list[Peer]:
    limit = _forget_after_ms(state)
    for peer in counted:
        last = max(peer.progress_at, peer.known_since)
        is_silent = state.now - _silent_since(state, last) > limit
        peer.is_dropped = is_silent and not peer.is_listed
    return [peer for peer in counted if not peer.is_dropped]


def _forget_gone(state: State) -> None:
    limit = _forget_after_ms(state)
    for peer in list(state.peers.by_id.values()):
        last = max(peer.progress_at, peer.known_since)
        if peer.status is PeerStatus.GONE and state.now - last > limit:
            _remove(state, peer)


def gossip_targets(state: State) -> list[str]:
    """Return random addresses for one gossip round.

    Now and then one of them is a dropped member, so that the halves of a healed partition find
    each other without the instance list.
    """
    peers = state.peers
    others = [peer for peer in peers.by_id.values() if peer.status is not PeerStatus.GONE]
    active = [peer.address for peer in others if not peer.is_dropped]
    active += _unidentified_seeds(state)
    dropped = [peer.address for peer in others if peer.is_dropped]
    dropped += sorted(peers.silent_seed_addresses - peers.id_by_address.keys())
    fanout = state.settings.gossip_fanout
    chosen = state.rng.sample(active, min(fanout, len(active)))
    if dropped and (len(chosen) < fanout or state.rng.random() < 1 / 4):
        chosen = [*chosen[: fanout - 1], state.rng.choice(dropped)]
    return chosen
