"""Phases in the life of a process."""

from __future__ import annotations

from enum import Enum

from transitions import Machine


class ProcessPhase(Enum):
    """Phases in the life of the process, in order."""

    STARTING = "starting"
    RUNNING = "running"
    DRAINING = "draining"
    CLOSING = "closing"
    STOPPED = "stopped"


class _Model:
    """Carrier of the phase while the machine computes the next one."""

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
    """Return the phase after a trigger; a trigger without a transition changes nothing."""
    # The machine itself warns on standard error about a trigger without a transition.
    if not _MACHINE.get_transitions(trigger, phase.value):
        return phase
    _MACHINE.set_state(phase.value, _MODEL)
    _MACHINE.events[trigger].trigger(_MODEL)
    return ProcessPhase(_MODEL.state)
