"""Among how many instances what is allowed to all is divided."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from turmerictiller.forwarding.state import State

# After a loss of contact, shares stay those of the larger number for so long: longer than instances
# take to start again, and than the window in which repeats are counted.
KEEP_NUMBER_MS = 30_000.0
# Until another instance was heard: today's largest deployment has 9 instances and may add 3.
ASSUMED_INSTANCES = 12


def note_number(state: State, told: int = 0) -> None:
    """Keep the largest number of instances that was seen lately."""
    number = max(len(state.peers_by_id) + 1, told)
    if number >= state.most_instances or state.now - state.most_instances_at > KEEP_NUMBER_MS:
        state.most_instances = number
        state.most_instances_at = state.now


def instances(state: State) -> int:
    """Return among how many instances shares are divided."""
    return state.most_instances if state.most_instances > 1 else ASSUMED_INSTANCES
