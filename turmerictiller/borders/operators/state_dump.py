"""State dump and health of a process as JSON data, for operators."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from turmerictiller.borders.operators.dump_peers import dump_peers
from turmerictiller.borders.operators.dump_searches import dump_searches
from turmerictiller.borders.operators.dump_servers import dump_servers
from turmerictiller.core.configuration.join_rule import is_joined
from turmerictiller.core.lifecycle import is_leaving
from turmerictiller.core.servers.limits import live_instances

if TYPE_CHECKING:
    from turmerictiller.core.state import State

REFUSAL_PREFIX = "refusals."


def dump_state(state: State) -> dict[str, Any]:
    """Return the state of this process as JSON data, with times in milliseconds."""
    return {
        "instance": state.settings.instance_id,
        "incarnation": state.settings.incarnation,
        "failure_domain": state.settings.failure_domain,
        "now_ms": round(state.now, 1),
        "phase": state.lifecycle.phase.value,
        "health": health(state),
        "note": _dump_note(state),
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
        **dump_peers(state),
        "oldest_searches": dump_searches(state),
        "servers": dump_servers(state),
        "refusals": {
            name.removeprefix(REFUSAL_PREFIX): count
            for name, count in sorted(state.counters.items())
            if name.startswith(REFUSAL_PREFIX)
        },
        "counters": dict(sorted(state.counters.items())),
    }


def _dump_note(state: State) -> dict[str, Any] | None:
    note = state.note
    if note is None:
        return None
    return {
        "number": note.number,
        "digest": note.digest,
        "fronts": {
            front.name: sorted(front.services_by_name)
            for front in note.configuration.fronts_by_name.values()
        },
    }


def _missing_note_reason(state: State) -> str:
    if state.settings.peers and not is_joined(state):
        return "no release note is in force; waiting for peers or the platform"
    return "no release note is in force"


def _missing_snapshot_reason(state: State) -> str:
    reported_snapshots = {
        snapshot
        for server in state.servers_by_id.values()
        if server.reachable
        for snapshot in server.snapshots
    }
    if not reported_snapshots:
        return "no upstream has reported a snapshot"
    # Searches are refused until the shard map of their snapshot is available.
    if reported_snapshots.isdisjoint(state.shard_maps_by_snapshot):
        return "no shard map of a reported snapshot has been read"
    return ""


def health(state: State) -> dict[str, Any]:
    """Return the answer to the load balancer's health check: liveness and readiness."""
    reason = "" if state.note else _missing_note_reason(state)
    if not reason:
        reason = _missing_snapshot_reason(state)
    if is_leaving(state):
        reason = "the instance is shutting down"
    phase = state.lifecycle.phase.value
    return {"alive": True, "ready": not reason, "reason": reason, "phase": phase}
