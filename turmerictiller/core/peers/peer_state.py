"""State of the other entry instances."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from turmerictiller.core.peers.gossip_model import PeerStatus

if TYPE_CHECKING:
    from turmerictiller.clock import Millis

NEVER = float("-inf")


@dataclass(slots=True)
class Peer:
    """Record of another entry instance.

    :param known_since: when the peer was added to the table.
    :param progress_at: when a new heartbeat was last received, directly or from a third party.
    :param direct_at: when a new heartbeat was last received from the peer itself.
    :param is_listed: whether the last instance list holds it as live.
    :param is_dropped: whether it no longer counts as live after a long silence.
    :param heartbeats: highest heartbeat by incarnation, for the last few incarnations.
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
    """Local view of the membership.

    :param heartbeat: number of gossip rounds of this instance since its start.
    :param listening_since: time of the first gossip round.
    :param listed_addresses: addresses of all other entry instances in the last list.
    :param silent_seed_addresses: peers of the settings that no longer count as live.
    :param live_count: number of entry instances that count as live, including this one.
    """

    by_id: dict[str, Peer] = field(default_factory=dict)
    id_by_address: dict[str, str] = field(default_factory=dict)
    listed_addresses: tuple[str, ...] = ()
    silent_seed_addresses: set[str] = field(default_factory=set)
    heartbeat: int = 0
    listening_since: Millis | None = None
    live_count: int = 1
