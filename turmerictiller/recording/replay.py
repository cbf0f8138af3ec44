"""Repetition of a recorded run: the same reducer, the same events, the effects compared."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import orjson
from pydantic import ValidationError

from turmerictiller.config import Settings
from turmerictiller.core.reducer import recover, reduce
from turmerictiller.core.state import State, new_state
from turmerictiller.errors import TraceError
from turmerictiller.recording.codec import Context, decode, loads
from turmerictiller.recording.trace import FORMAT, effects_digest, error_digest

if TYPE_CHECKING:
    from collections.abc import Sequence

    from turmerictiller.core.effects import Effect
    from turmerictiller.core.events import Event
    from turmerictiller.recording.trace import Reduce


@dataclass(frozen=True)
class Step:
    """One event of a trace and what came of it at the desk.

    :param line: number of its line in the trace, from 1.
    :param recorded: digest of the effects that the process saw.
    """

    line: int
    event: Event
    recorded: str
    repeated: str
    effects: list[Effect]

    @property
    def is_equal(self) -> bool:
        return self.recorded == self.repeated


@dataclass(frozen=True)
class Replay:
    """Outcome of a repetition.

    :param differing: the first event whose effects differ, or ``None``.
    """

    header: dict[str, Any]
    events: int
    differing: Step | None


def replay(lines: Sequence[bytes], run: Reduce = reduce) -> Replay:
    """Repeat a trace up to the first event whose effects differ.

    :raises TraceError: for a trace that can not be read or has no known start.
    """
    header, state, first = _start(lines)
    for index in range(first, len(lines)):
        step = _step(state, index + 1, lines[index], run)
        if not step.is_equal:
            return Replay(header, index + 1 - first, step)
    return Replay(header, len(lines) - first, None)


def _start(lines: Sequence[bytes]) -> tuple[dict[str, Any], State, int]:
    header = _read_header(lines[0] if lines else b"")
    try:
        settings = Settings(**header["settings"])
    except (ValidationError, KeyError, TypeError) as error:
        raise TraceError(f"line 1: the settings are not those of this version: {error}") from None
    match header.get("start"):
        case "process":
            return header, new_state(settings), 1
        case "checkpoint" if len(lines) > 1:
            return header, _read_state(lines[1], settings), 2
    raise TraceError("the trace has no start from which it can be repeated")


def _read_header(line: bytes) -> dict[str, Any]:
    try:
        header = orjson.loads(line)
    except orjson.JSONDecodeError:
        raise TraceError("line 1: is not JSON") from None
    if not isinstance(header, dict) or header.get("format") != FORMAT:
        raise TraceError(f"line 1: is not the start of a trace of format {FORMAT}")
    return header


def _read_state(line: bytes, settings: Settings) -> State:
    state = loads(line, settings)
    if not isinstance(state, State):
        raise TraceError("line 2: is not a checkpoint")
    return state


def _step(state: State, number: int, line: bytes, run: Reduce) -> Step:
    try:
        data = orjson.loads(line)
        recorded, encoded = data["effects"], data["event"]
    except (orjson.JSONDecodeError, KeyError, TypeError):
        raise TraceError(f"line {number}: is not an event") from None
    event = decode(encoded, Context(state.settings))
    if not hasattr(event, "at"):
        raise TraceError(f"line {number}: is not an event")
    effects: list[Effect] = []
    try:
        effects = run(state, event)
        repeated = effects_digest(effects)
    except Exception as error:
        repeated = error_digest(error)
        recover(state)
    return Step(number, event, recorded, repeated.decode(), effects)
