"""The state of a process as JSON data, for operators."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from turmerictiller.limits import live_instances, outstanding_limit

if TYPE_CHECKING:
    from turmerictiller.state import ServerState, State


def dump_state(state: State) -> dict[str, Any]:
    """Return what this process knows and does."""
    note = state.note
    return {
        "instance": state.settings.instance_id,
        "incarnation": state.settings.incarnation,
        "failure_domain": state.settings.failure_domain,
        "now_ms": round(state.now, 1),
        "note": {"number": note.number, "digest": note.digest} if note else None,
        "snapshots": sorted(state.shard_maps_by_snapshot),
        "live_instances": live_instances(state),
        "searches_in_flight": len(state.searches_by_id),
        "tickets": {
            "issued": state.tickets.next_sequence - 1,
            "used": len(state.tickets.records_by_sequence),
            "running": state.tickets.running,
            "forwards_in_flight": len(state.tickets.forwards_by_call),
            "answer_bytes": state.tickets.answer_bytes,
        },
        "attempts_in_flight": len(state.attempts_by_id),
        "timers": len(state.timers),
        "servers": [_server(state, server) for server in state.servers_by_id.values()],
        "counters": dict(sorted(state.counters.items())),
    }


def _server(state: State, server: ServerState) -> dict[str, Any]:
    return {
        "id": server.id,
        "address": server.address,
        "failure_domain": server.domain,
        "service": server.service,
        "reachable": server.reachable,
        "draining": server.draining,
        "snapshots": list(server.snapshots),
        "fast_ms": round(server.fast_ms, 2),
        "slow_ms": round(server.slow_ms, 2),
        "samples": server.samples,
        "outstanding": len(server.attempt_ids),
        "limit": outstanding_limit(state, server),
    }


def health(state: State) -> dict[str, Any]:
    """Return what the balancer asks: is the process alive, and ready for callers."""
    has_server = any(
        server.reachable and server.snapshots for server in state.servers_by_id.values()
    )
    reason = "" if state.note else "no release note is in force"
    if not reason and not has_server:
        reason = "no upstream has reported a snapshot"
    return {"alive": True, "ready": not reason, "reason": reason}
