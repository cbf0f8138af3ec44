"""Fair shares of fronts and callers in the searches in flight."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Hashable, Iterable

    from turmerictiller.core.state import Search, State

FAIR_FACTOR = 2.0
MIN_IN_FLIGHT = 2


def exceeds_fair_share(state: State, search: Search) -> bool:
    """Return whether the caller or front of a search has far more in flight than the others."""
    searches = state.searches_by_id.values()
    return _exceeds((item.caller for item in searches), search.caller) or _exceeds(
        (item.front.name for item in searches), search.front.name
    )


def _exceeds(owners: Iterable[Hashable], owner: Hashable) -> bool:
    in_flight = Counter(owners)
    equal_share = in_flight.total() / max(1, len(in_flight))
    return in_flight[owner] > max(MIN_IN_FLIGHT, FAIR_FACTOR * equal_share)
