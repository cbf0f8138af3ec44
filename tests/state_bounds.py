"""Maximum lengths of all collections in the state of an instance."""

from __future__ import annotations

import dataclasses
import re
from collections import deque
from typing import Any

from turmerictiller.core.state import MAX_COMPLETIONS
from turmerictiller.util.histogram import BUCKETS

SERVER_COUNT = 6
SMALL_LIMITS = {
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
MAX_CALLS = 8 + 2 * 4  # searches, and runs from callers and from peers
MAX_ATTEMPTS = 8 * 2 + 4
# Keys are regular expressions that match the paths of collection_lengths().
MAX_LENGTHS_BY_PATH = {
    r"searches_by_id": 8,
    r"searches_by_id\[\]\.(parts_by_service)": SERVER_COUNT,
    r"searches_by_id\[\]\.parts_by_service\[\]\.\w+": SERVER_COUNT,
    r"searches_by_id\[\]\.hits": 10,
    r"searches_by_id\[\]\.(after|hits\[\]\.fields)": 3,
    r"attempts_by_id": MAX_ATTEMPTS,
    r"servers_by_id": SERVER_COUNT,
    r"servers_by_id\[\]\.attempt_ids": MAX_ATTEMPTS,
    r"servers_by_id\[\]\.(draining_incarnations|snapshots)": 4,
    r"services_by_name": 2,
    r"services_by_name\[\]\.server_ids": SERVER_COUNT,
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
    r"timers\._heap": 2 * (2 * MAX_CALLS + 40),
    r"timers\._heap(\[\])+": 4,
    r"suspects_by_fingerprint": 5,
    r"suspects_by_fingerprint\[\]\..*": SERVER_COUNT,
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
# Settings, the random generator and notes: their size does not depend on calls.
UNCHECKED_FIELDS = {
    "settings",
    "rng",
    "note",
    "front",
    "document",
    "platform_document",
    "candidate",
}


def collection_lengths(value: Any, path: str = "") -> dict[str, int]:
    """Return the maximum length of each collection reachable from a value, by path.

    ``[]`` in a path stands for any item of a collection.
    """
    lengths_by_path: dict[str, int] = {}
    children: list[tuple[str, Any]] = []
    if dataclasses.is_dataclass(value):
        names = [item.name for item in dataclasses.fields(value)]
        names = [name for name in names if name not in UNCHECKED_FIELDS]
        children = [(f"{path}.{name}".lstrip("."), getattr(value, name)) for name in names]
    elif isinstance(value, dict | list | tuple | set | frozenset | deque):
        lengths_by_path[path] = len(value)
        items = value.values() if isinstance(value, dict) else value
        children = [(f"{path}[]", item) for item in items]
    for name, child in children:
        for inner, length in collection_lengths(child, name).items():
            lengths_by_path[inner] = max(lengths_by_path.get(inner, 0), length)
    return lengths_by_path


def check_collection_lengths(state: Any) -> None:
    """Assert that each collection in the state is within its limit."""
    for path, length in collection_lengths(state).items():
        limit = next(
            (
                limit
                for pattern, limit in MAX_LENGTHS_BY_PATH.items()
                if re.fullmatch(pattern, path)
            ),
            None,
        )
        assert limit is not None, f"MAX_LENGTHS_BY_PATH has no limit for {path}"
        assert length <= limit, f"{path} holds {length} items"
