"""Lifecycle phases of a process and their state machine."""

from __future__ import annotations

from enum import Enum

from transitions import Machine


class ProcessPhase(Enum):
    """Lifecycle phase of a process, in order."""

    STARTING = "starting"
    RUNNING = "running"
    DRAINING = "draining"
    CLOSING = "closing"
    STOPPED = "stopped"


class _Model:
    """Model object of the state machine, which holds the phase during a transition."""

    state: str


_MODEL = _Model()
_MACHINE = Machine(
    _MODEL,
    states=[phase.value for phase in ProcessPhase],
    initial=ProcessPhase.STARTING.value,
    auto_transitions=False,
    transitions=[
        ["serve", "starting", "running"],
        ["drain", ["starting", "running"], "draining"],
        ["close", "draining", "closing"],
        ["stop", ["draining", "closing"], "stopped"],
    ],
)


def next_phase(phase: ProcessPhase, trigger: str) -> ProcessPhase:
    """Return the phase after a trigger; the same phase if the trigger has no transition."""
    # The library would log a warning to standard error for a trigger without a transition.
    if not _MACHINE.get_transitions(trigger, phase.value):
        return phase
    _MACHINE.set_state(phase.value, _MODEL)
    _MACHINE.events[trigger].trigger(_MODEL)
    return ProcessPhase(_MODEL.state)
