"""Load shedding for searches of which several shards are overloaded.

If two of ten shards have only slow servers left and one shard may be missing, sending to both makes
nearly every search late, because both queues grow. Sending half of the searches to each halves both
queues, and searches are in time with nine tenths of the shards.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from turmerictiller.forwarding.server_selection import expected_ms
from turmerictiller.forwarding.state import route_times

if TYPE_CHECKING:
    from collections.abc import Mapping

    from turmerictiller.forwarding.state import Request, ServerState, State

# Time reserved for merging and for both network transfers, because the caller's clock starts when
# it sends the request.
ANSWER_MARGIN_MS = 12.0


def min_parts(min_share: float, total: int) -> int:
    """Return the smallest number of parts whose share of the total is at least ``min_share``."""
    required = max(1, int(min_share * total))
    while required / total < min_share:
        required += 1
    return required


def parts_to_shed(
    state: State, request: Request, server_by_part: Mapping[int, ServerState]
) -> list[int]:
    """Return the indices of parts that are not sent because they would make the answer late.

    These are the slowest of the parts whose best servers are expected to miss the target, as many
    as the minimum share allows to be missing. None are shed if all late parts may be missing.
    """
    route = request.route
    if not route.shards:
        return []
    times = route_times(state, route.name)
    remaining_ms = request.target_at - state.now
    late_ms_by_part = {
        index: ms
        for index, server in server_by_part.items()
        if (ms := expected_ms(state, server, times)) > remaining_ms
    }
    total = len(request.parts)
    queued = sum(part.is_queued for part in request.parts)
    max_missing = len(server_by_part) + queued - min_parts(route.min_share, total)
    if max_missing <= 0 or len(late_ms_by_part) <= max_missing:
        return []
    slowest = sorted(late_ms_by_part, key=lambda index: late_ms_by_part[index], reverse=True)
    return slowest[:max_missing]
