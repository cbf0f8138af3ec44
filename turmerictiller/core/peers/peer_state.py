"""State about other entry instances."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from turmerictiller.core.peers.gossip_model import PeerStatus

if TYPE_CHECKING:
    from turmerictiller.clock import Millis

NEVER = float("-inf")


@dataclass(slots=True)
class Peer:
    """What is known of another entry instance.

    :param known_since: when this instance first learned of the peer.
    :param progress_at: when its heartbeat was last seen to grow, by any route.
    :param direct_at: when it was last heard from without a third party.
    :param is_listed: whether the last instance list holds it as live.
    :param is_dropped: whether it no longer counts as live, because it was silent for long.
    :param heartbeats: newest heartbeat by incarnation, for the last few incarnations.
    """

    id: str
    incarnation: str
    address: str
    domain: str
    status: PeerStatus
    known_since: Millis
    heartbeat: int = 0
    progress_at: Millis = NEVER
    direct_at: Millis = NEVER
    note_number: int = 0
    note_digest: str = ""
    is_listed: bool = False
    is_dropped: bool = False
    heartbeats: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True)
class PeersState:
    """Membership as this instance sees it.

    :param heartbeat: own gossip rounds since the start.
    :param listening_since: time of the first gossip round.
    :param listed_addresses: addresses of all other entry instances in the last list.
    :param silent_seed_addresses: peers of the settings that no longer count as live.
    :param live_count: entry instances believed live, this one included.
    """

    by_id: dict[str, Peer] = field(default_factory=dict)
    id_by_address: dict[str, str] = field(default_factory=dict)
    listed_addresses: tuple[str, ...] = ()
    silent_seed_addresses: set[str] = field(default_factory=set)
    heartbeat: int = 0
    listening_since: Millis | None = None
    live_count: int = 1
