"""Snapshot selection, shard map cache and coverage."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from turmerictiller.core.effects import Coverage, FetchShardMap, MissingShard
from turmerictiller.util.canonical import snapshot_name

if TYPE_CHECKING:
    from collections.abc import Iterable

    from turmerictiller.core.events import ShardMapSeen
    from turmerictiller.core.fronts import Front
    from turmerictiller.core.state import Search, ServerState, State

MAP_RETRY_MS = 500.0
WIDELY_SERVED_SHARE = 0.5


def version_of(snapshot: str) -> int:
    """Return the index version in the name of a snapshot, or -1 if there is none."""
    head = snapshot.partition("-")[0]
    return int(head) if head.isdecimal() else -1


def on_shard_map_seen(state: State, event: ShardMapSeen) -> None:
    """Cache a shard map if its digest matches the name of the snapshot."""
    state.maps_requested_at.pop(event.snapshot, None)
    shard_lists = {name: list(shards) for name, shards in event.shards_by_service.items()}
    if snapshot_name(version_of(event.snapshot), shard_lists) != event.snapshot:
        state.counters["shard_map.wrong_digest"] += 1
        return
    state.shard_maps_by_snapshot[event.snapshot] = {
        name: tuple(sorted(shards)) for name, shards in shard_lists.items()
    }
    _evict_old_maps(state)


def request_missing_maps(state: State, server: ServerState) -> None:
    """Fetch the shard maps of the server's snapshots that are neither cached nor requested."""
    for snapshot in server.snapshots:
        if snapshot in state.shard_maps_by_snapshot or version_of(snapshot) < 0:
            continue
        asked_at = state.maps_requested_at.get(snapshot)
        if asked_at is not None and state.now - asked_at < MAP_RETRY_MS:
            continue
        if len(state.maps_requested_at) >= state.settings.max_snapshots:
            state.maps_requested_at.pop(next(iter(state.maps_requested_at)))
        state.maps_requested_at[snapshot] = state.now
        state.out.append(FetchShardMap(server.id, server.address, snapshot))


def _evict_old_maps(state: State) -> None:
    """Evict the maps of snapshots that the fewest services serve, the oldest version first.

    With eviction by version alone, one server that reports many high versions would displace the
    map in use.
    """
    shard_maps = state.shard_maps_by_snapshot
    while len(shard_maps) > state.settings.max_snapshots:
        del shard_maps[
            min(
                shard_maps,
                key=lambda name: (_count_services_serving(state, name), version_of(name)),
            )
        ]


def _count_services_serving(state: State, snapshot: str) -> int:
    servers = state.servers_by_id.values()
    return len({server.service for server in servers if snapshot in server.snapshots})


def choose_snapshot(state: State, front: Front, newer_than: str | None = None) -> str | None:
    """Return the newest snapshot that every service serves, else the one with the most shards.

    A snapshot that at least half of the servers of every service serve is preferred, because the
    few servers that switch first during an index change would be overloaded by all searches. Only
    services with an available server that serves the snapshot count. Otherwise a server that
    reports a map of only its own shards would draw all searches to that snapshot.
    """
    serving_shares = {name: _serving_shares(state, name) for name in front.services_by_name}
    best: tuple[int, int, int, str] | None = None
    for snapshot, shard_map in state.shard_maps_by_snapshot.items():
        version = version_of(snapshot)
        if newer_than is not None and version <= version_of(newer_than):
            continue
        serving = [name for name, share in serving_shares.items() if snapshot in share]
        covered = sum(len(shard_map.get(name, ())) for name in serving)
        if covered == 0:
            continue
        rank = _availability_rank([share.get(snapshot, 0.0) for share in serving_shares.values()])
        # Snapshots that all services serve are compared by version, not by number of shards.
        candidate = (rank, 0 if rank else covered, version, snapshot)
        if best is None or candidate > best:
            best = candidate
    return best[3] if best else None


def _availability_rank(serving_shares: list[float]) -> int:
    """Return 2 if the smallest share is at least ``WIDELY_SERVED_SHARE``, 1 if above 0, else 0."""
    min_share = min(serving_shares, default=0.0)
    return 2 if min_share >= WIDELY_SERVED_SHARE else int(min_share > 0)


def _serving_shares(state: State, service: str) -> dict[str, float]:
    """Return, by snapshot, the share of the service's available servers that serve it."""
    service_state = state.services_by_name.get(service)
    if service_state is None:
        return {}
    servers = [state.servers_by_id[server_id] for server_id in service_state.server_ids]
    usable = [server for server in servers if server.reachable and not server.draining]
    server_counts = Counter(snapshot for server in usable for snapshot in set(server.snapshots))
    return {snapshot: count / len(usable) for snapshot, count in server_counts.items()}


def shards_of(state: State, snapshot: str, services: Iterable[str]) -> dict[str, tuple[str, ...]]:
    """Return the shards of each service in the shard map of the snapshot."""
    shard_map = state.shard_maps_by_snapshot[snapshot]
    return {name: shard_map.get(name, ()) for name in services}


def coverage_of(search: Search) -> Coverage:
    """Return the coverage of the hits that a search has merged so far."""
    missing = tuple(
        MissingShard(shard, part.service, part.missing_reason)
        for part in search.parts_by_service.values()
        for shard in part.shards
        if shard not in part.merged_shards
    )
    total = sum(len(part.shards) for part in search.parts_by_service.values())
    return Coverage(merged=total - len(missing), total=total, missing=missing)
