"""Replay of a recorded run: apply the same events to the reducer and compare the effects."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import orjson
from pydantic import ValidationError

from turmerictiller.config import Settings
from turmerictiller.core.reducer import recover, reduce
from turmerictiller.core.state import State, new_state
from turmerictiller.errors import TraceError
from turmerictiller.recording.codec import DecodeContext, decode, loads
from turmerictiller.recording.trace import FORMAT, effects_digest, error_digest

if TYPE_CHECKING:
    from collections.abc import Sequence

    from turmerictiller.core.effects import Effect
    from turmerictiller.core.events import Event
    from turmerictiller.recording.trace import Reduce


@dataclass(frozen=True)
class Step:
    """An event of a trace and the outcome of its replay.

    :param line: number of its line in the trace, from 1.
    :param recorded_digest: digest of the effects in the recorded run.
    :param replayed_digest: digest of the effects in the replay.
    :param effects: effects in the replay.
    """

    line: int
    event: Event
    recorded_digest: str
    replayed_digest: str
    effects: list[Effect]

    @property
    def has_equal_effects(self) -> bool:
        """Whether the recorded and the replayed effects have the same digest."""
        return self.recorded_digest == self.replayed_digest


@dataclass(frozen=True)
class Replay:
    """Outcome of a replay.

    :param events: number of replayed events.
    :param differing: the first event whose effects differ, or ``None``.
    """

    header: dict[str, Any]
    events: int
    differing: Step | None


def replay(lines: Sequence[bytes], reducer: Reduce = reduce) -> Replay:
    """Replay a trace up to the first event whose effects differ.

    :param reducer: reducer to replay with.
    :raises TraceError: if the trace is malformed or has no valid initial state.
    """
    header, state, first_event_index = _initial_state(lines)
    for index in range(first_event_index, len(lines)):
        step = _replay_event(state, index + 1, lines[index], reducer)
        if not step.has_equal_effects:
            return Replay(header, index + 1 - first_event_index, step)
    return Replay(header, len(lines) - first_event_index, None)


def _initial_state(lines: Sequence[bytes]) -> tuple[dict[str, Any], State, int]:
    header = _read_header(lines[0] if lines else b"")
    try:
        settings = Settings(**header["settings"])
    except (ValidationError, KeyError, TypeError) as error:
        raise TraceError(f"line 1: the settings are not valid in this version: {error}") from None
    match header.get("start"):
        case "process":
            return header, new_state(settings), 1
        case "checkpoint" if len(lines) > 1:
            return header, _read_state(lines[1], settings), 2
    raise TraceError("the trace has no initial state from which it can be replayed")


def _read_header(line: bytes) -> dict[str, Any]:
    try:
        header = orjson.loads(line)
    except orjson.JSONDecodeError:
        raise TraceError("line 1: not JSON") from None
    if not isinstance(header, dict) or header.get("format") != FORMAT:
        raise TraceError(f"line 1: not the header of a trace of format {FORMAT}")
    return header


def _read_state(line: bytes, settings: Settings) -> State:
    state = loads(line, settings)
    if not isinstance(state, State):
        raise TraceError("line 2: not a checkpoint")
    return state


def _replay_event(state: State, line_number: int, line: bytes, reducer: Reduce) -> Step:
    try:
        data = orjson.loads(line)
        recorded_digest, encoded = data["effects"], data["event"]
    except (orjson.JSONDecodeError, KeyError, TypeError):
        raise TraceError(f"line {line_number}: not an event") from None
    event = decode(encoded, DecodeContext(state.settings))
    if not hasattr(event, "at"):
        raise TraceError(f"line {line_number}: not an event")
    effects: list[Effect] = []
    try:
        effects = reducer(state, event)
        replayed_digest = effects_digest(effects)
    except Exception as error:
        replayed_digest = error_digest(error)
        recover(state)
    return Step(line_number, event, recorded_digest, replayed_digest.decode(), effects)
