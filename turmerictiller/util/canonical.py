"""Canonical JSON and its digests."""

from __future__ import annotations

import hashlib
from typing import Any

import orjson


def canonical_json(value: Any) -> bytes:
    """Return JSON with sorted keys and no white space."""
    return orjson.dumps(value, option=orjson.OPT_SORT_KEYS)


def digest(value: Any) -> str:
    """Return the SHA-256 of the canonical JSON as hex digits."""
    return hashlib.sha256(canonical_json(value)).hexdigest()


def snapshot_name(version: int, shards_by_service: dict[str, list[str]]) -> str:
    """Return the name of a snapshot: its index version and the digest of its shard map."""
    ordered = {name: sorted(shards) for name, shards in shards_by_service.items()}
    return f"{version}-{digest(ordered)[:12]}"
