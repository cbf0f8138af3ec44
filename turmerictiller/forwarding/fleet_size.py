"""Estimate of the number of instances, by which shared budgets are divided."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from turmerictiller.forwarding.state import State

# Time for which the largest count is kept after instances are lost: longer than the restart of an
# instance, and than the window over which retries are counted.
PEAK_HOLD_MS = 30_000.0
# Assumed until another instance is discovered: the largest deployment has 9 instances and may get
# 3 more.
DEFAULT_INSTANCES = 12


def update_instance_count(state: State, reported_count: int = 0) -> None:
    """Update the peak number of instances from the peers and a count that one of them reported."""
    count = max(len(state.peers_by_id) + 1, reported_count)
    if count >= state.peak_instances or state.now - state.peak_instances_at > PEAK_HOLD_MS:
        state.peak_instances = count
        state.peak_instances_at = state.now


def instance_count(state: State) -> int:
    """Return the number of instances by which shared budgets are divided."""
    return state.peak_instances if state.peak_instances > 1 else DEFAULT_INSTANCES
