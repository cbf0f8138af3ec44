"""Election of the instances that read the registry; the others receive its changes by gossip.

195 instances that each watch the registry make 195 calls for every change, and 654 would exhaust
its rate limit, which grows more slowly than the fleet.

In a small fleet every instance reads the registry directly. In a larger one a few instances of each
failure domain read it, those whose ids have the smallest hashes, so that all agree without
coordination. The others request changes from them. Data received by gossip keeps the age of the
registry read that it comes from. An instance whose data is stale reads the registry itself: readers
may have stopped, hung or been partitioned, or their connections may be dead.
"""

from __future__ import annotations

import hashlib
from enum import Enum
from functools import lru_cache
from typing import TYPE_CHECKING

from turmerictiller.forwarding.effects import WriteLog

if TYPE_CHECKING:
    from turmerictiller.clock import Millis
    from turmerictiller.forwarding.events import RegistryRead
    from turmerictiller.forwarding.state import State

MAX_DIRECT_READERS = 16  # largest fleet in which all read; small deployments have 6 to 12 instances
READERS_PER_DOMAIN = 3  # two may be lost before all instances of the domain read directly
# Age at which data is stale, as a share of the bound for changes to take effect. The rest is for
# one read of a slow registry, and for up to one second in which its watches may report no changes.
STALE_SHARE = 0.6
# Usual maximum age of data received by gossip: a reader's watch, its pause and one gossip interval.
# With a tighter bound, gossip would save no reads.
TYPICAL_GOSSIP_AGE_MS = 2_500.0


class ReadPlan(Enum):
    """How an instance gets the contents of the registry.

    :cvar DIRECT: by long watches of the registry.
    :cvar READER: by short watches of the registry, so that followers get the age of its data.
    :cvar FOLLOWER: from other instances by gossip.
    """

    DIRECT = "alone"
    READER = "reader"
    FOLLOWER = "rests"


def read_plan(state: State, now: Millis) -> ReadPlan:
    """Return how this instance gets the contents of the registry at a time."""
    if len(state.peers_by_id) < MAX_DIRECT_READERS or not state.settings.peer_address:
        return ReadPlan.DIRECT
    stale_ms = STALE_SHARE * state.settings.registry_bound_ms
    if stale_ms < TYPICAL_GOSSIP_AGE_MS:
        return ReadPlan.DIRECT
    if is_reader(state) or now - state.registry_read_at > stale_ms:
        return ReadPlan.READER
    return ReadPlan.FOLLOWER


def is_reader(state: State) -> bool:
    """Return whether this instance is one of the readers of its failure domain."""
    return state.settings.instance_id in _reader_ids(state, state.settings.failure_domain)


def reader_addresses(state: State, domain: str) -> list[str]:
    """Return the addresses of the other readers of a failure domain."""
    peers = state.peers_by_id
    return [peers[item].address for item in _reader_ids(state, domain) if item in peers]


def other_reader_addresses(state: State) -> list[str]:
    """Return the addresses of the readers of all failure domains, without this instance."""
    domains = sorted({peer.domain for peer in state.peers_by_id.values()})
    return [address for domain in domains for address in reader_addresses(state, domain)]


def log_read_plan(state: State) -> None:
    """Log the read plan of this instance if it has changed."""
    plan = read_plan(state, state.now).value
    if plan == state.logged_read_plan:
        return
    state.logged_read_plan = plan
    fields = {
        "plan": plan,
        "is_reader": is_reader(state),
        "instances": len(state.peers_by_id) + 1,
        "revision": state.registry_revision,
        "read_age_ms": round(min(state.now - state.registry_read_at, state.now)),
    }
    state.out.append(WriteLog("registry_plan", fields, urgent=True))


def on_registry_read(state: State, event: RegistryRead) -> None:
    """Record the revision up to which the registry was read, and when."""
    if event.revision >= state.registry_revision:
        state.registry_revision = event.revision
        state.registry_read_at = max(state.registry_read_at, event.read_at)


def _reader_ids(state: State, domain: str) -> list[str]:
    ids = [peer_id for peer_id, peer in state.peers_by_id.items() if peer.domain == domain]
    if domain == state.settings.failure_domain:
        ids.append(state.settings.instance_id)
    return sorted(ids, key=_id_hash)[:READERS_PER_DOMAIN]


@lru_cache(maxsize=4_096)
def _id_hash(instance_id: str) -> bytes:
    return hashlib.blake2b(instance_id.encode(), digest_size=8).digest()
