"""Which instances read the registry, and which hear from those what it holds.

The load that this answers: 195 instances that each watch the registry make 195 calls for every change,
and 654 would use up its rate, which grows more slowly than the fleet.

In a small fleet every instance reads for itself. In a larger one a few instances of each failure domain
read, those whose ids have the least hashes, so that all agree without asking each other. The others
ask them for changes. What is heard keeps the age of the read that it comes from, and an instance
whose knowledge is too old reads for itself: readers may be gone, frozen or cut off, or their
connections may have gone silent.
"""

from __future__ import annotations

import hashlib
from enum import Enum
from functools import lru_cache
from typing import TYPE_CHECKING

from turmerictiller.forwarding.effects import LogDecision

if TYPE_CHECKING:
    from turmerictiller.clock import Millis
    from turmerictiller.forwarding.events import RegistryRead
    from turmerictiller.forwarding.state import State

MAX_DIRECT_READERS = 16  # instances up to which all read: today's small deployments have 6 to 12
READERS_PER_DOMAIN = 3  # two may be lost before the domain reads for itself
# Share of the time within which a change must take effect. The rest is for one read of a slow
# registry, and for a second in which its watches may tell nothing.
LATE_SHARE = 0.6
# What is heard is up to so old while all is well: a watch of a reader, its pause and an exchange. Where it
# has to be newer, hearing from others would save nothing.
USUAL_AGE_MS = 2_500.0


class ReadPlan(Enum):
    """How an instance learns what the registry holds.

    :cvar ALONE: by long watches.
    :cvar READER: by short watches, so that others know how old its knowledge is.
    :cvar RESTS: from other instances.
    """

    DIRECT = "alone"
    READER = "reader"
    FOLLOWER = "rests"


def read_plan(state: State, now: Millis) -> ReadPlan:
    """Return how this instance is to learn what the registry holds."""
    if len(state.peers_by_id) < MAX_DIRECT_READERS or not state.settings.peer_address:
        return ReadPlan.DIRECT
    late_ms = LATE_SHARE * state.settings.registry_bound_ms
    if late_ms < USUAL_AGE_MS:
        return ReadPlan.DIRECT
    if is_reader(state) or now - state.registry_read_at > late_ms:
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
    """Log how this instance reads the registry, if that has changed."""
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
    state.out.append(LogDecision("registry_plan", fields, urgent=True))


def on_registry_read(state: State, event: RegistryRead) -> None:
    """Note up to when the registry's content is known."""
    if event.revision >= state.registry_revision:
        state.registry_revision = event.revision
        state.registry_read_at = max(state.registry_read_at, event.read_at)


def _reader_ids(state: State, domain: str) -> list[str]:
    ids = [peer_id for peer_id, peer in state.peers_by_id.items() if peer.domain == domain]
    if domain == state.settings.failure_domain:
        ids.append(state.settings.instance_id)
    return sorted(ids, key=_rank)[:READERS_PER_DOMAIN]


@lru_cache(maxsize=4_096)
def _rank(instance_id: str) -> bytes:
    return hashlib.blake2b(instance_id.encode(), digest_size=8).digest()
