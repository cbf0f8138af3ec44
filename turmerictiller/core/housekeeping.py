"""Periodic work that no single event asks for."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from turmerictiller.core.pauses import HOUSEKEEPING_MS
from turmerictiller.core.servers.quarantine import forget_old
from turmerictiller.core.state import TimerKind

if TYPE_CHECKING:
    from turmerictiller.core.state import State


def on_housekeeping(state: State, key: Any) -> None:
    """Run the periodic work and schedule the next round."""
    state.timers.add(state.now + HOUSEKEEPING_MS, TimerKind.HOUSEKEEPING)
    forget_old(state)
