"""Which shards of a search to leave out when several of them are overloaded.

The load that this answers: two of ten shards have only slow servers left, and one shard may be
missing. Asking both makes nearly every search late, because both queues grow. Asking each of them
for half of the searches halves both queues, and searches are in time with nine tenths of the shards.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from turmerictiller.forwarding.server_selection import expected_ms
from turmerictiller.forwarding.state import route_times

if TYPE_CHECKING:
    from collections.abc import Mapping

    from turmerictiller.forwarding.state import Request, ServerState, State

# Time kept for merging and for the way back to the caller, whose clock began at its sending.
ANSWER_MARGIN_MS = 12.0


def min_parts(min_share: float, total: int) -> int:
    """Return the least number of parts whose share of the total is not below the least share."""
    least = max(1, int(min_share * total))
    while least / total < min_share:
        least += 1
    return least


def parts_to_shed(
    state: State, request: Request, server_by_part: Mapping[int, ServerState]
) -> list[int]:
    """Return the parts that need not be sent because they would only make the answer late.

    These are the slowest of the parts whose best servers are expected to miss the target, as many
    as may be missing, and only if not all of those may be missing.
    """
    route = request.route
    if not route.shards:
        return []
    times = route_times(state, route.name)
    time_ms = request.target_at - state.now
    late_ms_by_part = {
        index: ms
        for index, server in server_by_part.items()
        if (ms := expected_ms(state, server, times)) > time_ms
    }
    total = len(request.parts)
    waiting = sum(part.is_queued for part in request.parts)
    may_be_missing = len(server_by_part) + waiting - min_parts(route.min_share, total)
    if may_be_missing <= 0 or len(late_ms_by_part) <= may_be_missing:
        return []
    slowest = sorted(late_ms_by_part, key=lambda index: late_ms_by_part[index], reverse=True)
    return slowest[:may_be_missing]
