"""Bounds of every collection that the state of an instance reaches."""

from __future__ import annotations

import dataclasses
import re
from collections import deque
from typing import Any

from turmerictiller.core.state import MAX_COMPLETIONS
from turmerictiller.util.histogram import BUCKETS

SERVERS = 6
BOUNDS = {
    "max_searches": 8,
    "max_queue_per_service": 6,
    "max_tickets": 10,
    "max_runs": 4,
    "max_waiters_per_ticket": 3,
    "max_calls_per_ticket": 4,
    "max_ticket_answer_bytes": 2_000,
    "ticket_lifetime_ms": 1_500,
    "max_peers": 6,
    "max_suspects": 5,
    "max_snapshots": 4,
    "max_refused_notes": 4,
    "join_contacts": 4,
}
CALLS = 8 + 2 * 4  # searches and runs, own and forwarded
ATTEMPTS = 8 * 2 + 4
# Largest length by path of every collection that is reachable from the state.
LIMITS = {
    r"searches_by_id": 8,
    r"searches_by_id\[\]\.(parts_by_service)": SERVERS,
    r"searches_by_id\[\]\.parts_by_service\[\]\.\w+": SERVERS,
    r"searches_by_id\[\]\.hits": 10,
    r"searches_by_id\[\]\.(after|hits\[\]\.fields)": 3,
    r"attempts_by_id": ATTEMPTS,
    r"servers_by_id": SERVERS,
    r"servers_by_id\[\]\.attempt_ids": ATTEMPTS,
    r"servers_by_id\[\]\.(draining_incarnations|snapshots)": 4,
    r"services_by_name": 2,
    r"services_by_name\[\]\.server_ids": SERVERS,
    r"services_by_name\[\]\.waiting": 6,
    r"services_by_name\[\]\.waiting\[\]": 3,
    r"services_by_name\[\]\.completed_at": MAX_COMPLETIONS,
    r"services_by_name\[\]\.(times|unqueued_times)\.counts": BUCKETS,
    r"freed_services": 2,
    r"shard_maps_by_snapshot|maps_requested_at": 4,
    r"shard_maps_by_snapshot\[\](\[\])?": 3,
    r"tickets\.records_by_sequence|tickets\._expiries": 10,
    r"tickets\._expiries\[\]": 2,
    r"tickets\.records_by_sequence\[\]\.waiters": 3,
    r"tickets\.records_by_sequence\[\]\.wire_ids": 4,
    r"tickets\.records_by_sequence\[\]\.run\..*": 6,
    r"tickets\.sequences_by_waiter": 4 * 3,
    r"tickets\.forwards_by_call": 4,
    r"timers\._heap": 2 * (2 * CALLS + 40),
    r"timers\._heap(\[\])+": 4,
    r"suspects_by_fingerprint": 5,
    r"suspects_by_fingerprint\[\]\..*": SERVERS,
    r"peers\.(by_id|id_by_address)": 6,
    r"peers\.by_id\[\]\.heartbeats": 8,
    r"peers\.(listed_addresses|silent_seed_addresses)": 6,
    r"notes\.refused_by_digest": 4,
    r"notes\.refused_by_digest\[\]\..*": 8,
    r"notes\.conflicting_digests": 8,
    r"notes\.join\.\w+": 32,
    r"counters": 120,
    r"out": 0,
}
CONFIGURATION = {"settings", "rng", "note", "front", "document", "platform_document", "candidate"}


def lengths(value: Any, path: str = "") -> dict[str, int]:
    """Return the largest length of every collection below a value, by path."""
    found: dict[str, int] = {}
    children: list[tuple[str, Any]] = []
    if dataclasses.is_dataclass(value):
        names = [item.name for item in dataclasses.fields(value)]
        names = [name for name in names if name not in CONFIGURATION]
        children = [(f"{path}.{name}".lstrip("."), getattr(value, name)) for name in names]
    elif isinstance(value, dict | list | tuple | set | frozenset | deque):
        found[path] = len(value)
        items = value.values() if isinstance(value, dict) else value
        children = [(f"{path}[]", item) for item in items]
    for name, child in children:
        for inner, length in lengths(child, name).items():
            found[inner] = max(found.get(inner, 0), length)
    return found


def check_lengths(state: Any) -> None:
    """Check every collection of the state against its bound."""
    for path, length in lengths(state).items():
        limit = next((limit for rule, limit in LIMITS.items() if re.fullmatch(rule, path)), None)
        assert limit is not None, f"no bound is stated for {path}"
        assert length <= limit, f"{path} holds {length} items"
