"""Periodic cleanup that no event triggers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from turmerictiller.core.pauses import HOUSEKEEPING_INTERVAL_MS
from turmerictiller.core.servers.quarantine import evict_expired_suspects
from turmerictiller.core.state import TimerKind

if TYPE_CHECKING:
    from turmerictiller.core.state import State


def on_housekeeping(state: State, key: Any) -> None:
    """Run the periodic cleanup and schedule the next one."""
    state.timers.add(state.now + HOUSEKEEPING_INTERVAL_MS, TimerKind.HOUSEKEEPING)
    evict_expired_suspects(state)
