"""Fair sharing of in-flight searches between callers and between fronts."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Hashable, Iterable

    from turmerictiller.core.state import Search, State

MAX_SHARE_FACTOR = 2.0
MIN_FAIR_IN_FLIGHT = 2


def exceeds_fair_share(state: State, search: Search) -> bool:
    """Return whether the search's caller or front exceeds its fair share of in-flight searches."""
    searches = state.searches_by_id.values()
    return _has_excess_in_flight(
        (item.caller for item in searches), search.caller
    ) or _has_excess_in_flight((item.front.name for item in searches), search.front.name)


def _has_excess_in_flight(keys: Iterable[Hashable], key: Hashable) -> bool:
    in_flight = Counter(keys)
    equal_share = in_flight.total() / max(1, len(in_flight))
    return in_flight[key] > max(MIN_FAIR_IN_FLIGHT, MAX_SHARE_FACTOR * equal_share)
