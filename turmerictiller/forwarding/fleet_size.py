"""Among how many instances what is allowed to all is divided."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from turmerictiller.forwarding.state import State

# After a loss of contact, shares stay those of the larger number for so long: longer than instances
# take to start again, and than the window in which repeats are counted.
PEAK_HOLD_MS = 30_000.0
# Until another instance was heard: today's largest deployment has 9 instances and may add 3.
DEFAULT_INSTANCES = 12


def update_instance_count(state: State, told: int = 0) -> None:
    """Keep the largest number of instances that was seen lately."""
    number = max(len(state.peers_by_id) + 1, told)
    if number >= state.peak_instances or state.now - state.peak_instances_at > PEAK_HOLD_MS:
        state.peak_instances = number
        state.peak_instances_at = state.now


def instance_count(state: State) -> int:
    """Return among how many instances shares are divided."""
    return state.peak_instances if state.peak_instances > 1 else DEFAULT_INSTANCES
