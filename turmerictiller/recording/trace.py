"""Ring buffer of recent events, from which a run can be replayed offline.

The buffer holds up to two segments. A segment starts from a state that can be restored: that of the
process at its start, or a checkpoint. When a segment is full, a new one starts with a checkpoint,
and the older of two is dropped. Each line holds an event and a digest of its effects.

A checkpoint takes 1 ms for an idle instance of 30 servers, 15 ms with 81 searches in flight, and
169 ms for 3,330 servers with 20 searches in flight. So checkpoints are preferably taken while no
search is in flight, and take at most 1% of the time. If none is allowed when a segment is full,
recording stops; the buffer keeps its contents until a new segment starts after the gap.
"""

from __future__ import annotations

import hashlib
import time
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING, Any

import orjson

from turmerictiller import __version__
from turmerictiller.core.reducer import reduce
from turmerictiller.errors import TraceError
from turmerictiller.recording.codec import SECRET, dumps

if TYPE_CHECKING:
    from turmerictiller.config import Settings
    from turmerictiller.core.effects import Effect
    from turmerictiller.core.events import Event
    from turmerictiller.core.state import State

    Reduce = Callable[[State, Event], list[Effect]]

FORMAT = 2
DIGEST_BYTES = 8
MAX_CHECKPOINT_SHARE = 0.01  # of the time
IDLE_CHECKPOINT_SHARE = 0.75  # of a segment, after which an idle moment starts the next one
LINE_OVERHEAD_BYTES = 100  # digest, keys and the memory of the object that holds a line


@dataclass
class _Segment:
    """Consecutive events from a state that can be restored.

    :param checkpoint: line with that state; empty for the state at the start of the process.
    :param size_bytes: size of the checkpoint and the lines in bytes.
    """

    checkpoint: bytes
    lines: list[bytes] = field(default_factory=list)
    size_bytes: int = 0


@dataclass
class Trace:
    """Ring buffer of recent events.

    :param rewrite_ticket: converts a ticket into one that can be verified without the secret that
        signed it, because a replay does not have the secret.
    :param events_to_skip: number of events to skip before the next attempt at a checkpoint.
    :param lost_events: number of events that were not recorded.
    :param has_gap: whether events were lost since the last recorded one.
    :param checkpoint_allowed_at_s: earliest time of the next checkpoint.
    :param checkpoints: number of checkpoints taken.
    """

    settings: Settings
    now_s: Callable[[], float] = time.perf_counter
    rewrite_ticket: Callable[[str], str] | None = None
    segments: list[_Segment] = field(default_factory=lambda: [_Segment(b"")])
    events_to_skip: int = 0
    lost_events: int = 0
    has_gap: bool = False
    checkpoint_allowed_at_s: float = float("-inf")
    checkpoints: int = 0
    last_error: str = ""


def reduce_recorded(
    trace: Trace, state: State, event: Event, reducer: Reduce = reduce
) -> list[Effect]:
    """Reduce an event and record it.

    An exception of the reducer is recorded and propagated.

    :param reducer: function that applies the event to the state.
    :raises Exception: whatever the reducer raises.
    """
    if trace.settings.max_trace_events < 2:
        return reducer(state, event)
    line = _encode_event(trace, event)
    segment = None if line is None else _segment_for(trace, state, len(line))
    if line is None or segment is None:
        trace.lost_events += 1
        return reducer(state, event)
    outcome = b""
    try:
        effects = reducer(state, event)
        outcome = effects_digest([_with_rewritten_ticket(trace, effect) for effect in effects])
        return effects
    except Exception as error:
        outcome = error_digest(error)
        raise
    finally:
        segment.lines.append(b'{"effects":"' + outcome + b'","event":' + line + b"}")
        segment.size_bytes += len(line) + LINE_OVERHEAD_BYTES


def effects_digest(effects: list[Effect]) -> bytes:
    """Return the digest of the effects of one event, as hex digits.

    If the effects cannot be encoded, the digest is that of the error message.
    """
    try:
        encoded = dumps(effects)
    except TraceError as error:
        encoded = str(error).encode()
    return hashlib.blake2b(encoded, digest_size=DIGEST_BYTES).hexdigest().encode()


def error_digest(error: Exception) -> bytes:
    """Return the value that replaces the digest of effects when the reducer raised an exception."""
    return f"raised:{type(error).__name__}".encode()


def dump_trace(trace: Trace) -> bytes:
    """Return the buffer as JSON lines, the first of which is a header with the settings.

    Secrets are left out of the settings.
    """
    segments = trace.segments
    lines = [orjson.dumps(_header(trace))]
    if segments[0].checkpoint:
        lines.append(segments[0].checkpoint)
    for segment in segments:
        lines += segment.lines
    return b"\n".join(lines) + b"\n"


def _start_kind(trace: Trace) -> str:
    return "checkpoint" if trace.segments[0].checkpoint else "process"


def _header(trace: Trace) -> dict[str, Any]:
    settings = trace.settings.model_dump(mode="json")
    left_out = sorted(name for name in settings if SECRET in name)
    return {
        "format": FORMAT,
        "version": __version__,
        "start": _start_kind(trace),
        "settings": {name: value for name, value in settings.items() if name not in left_out},
        "left_out": left_out,
        "events": sum(len(segment.lines) for segment in trace.segments),
        "lost": trace.lost_events,
        "ends_now": not trace.has_gap,
    }


def _encode_event(trace: Trace, event: Event) -> bytes | None:
    if trace.events_to_skip > 0:
        trace.events_to_skip -= 1
        return None
    if trace.has_gap and not _may_checkpoint(trace):
        return None
    try:
        return dumps(_with_rewritten_ticket(trace, event))
    except TraceError as error:
        _stop_recording(trace, str(error), events_to_skip=0)
        return None


def _with_rewritten_ticket(trace: Trace, value: Any) -> Any:
    """Return an event or effect with its ticket, if any, rewritten for a replay."""
    if trace.rewrite_ticket is None or not hasattr(value, "ticket"):
        return value
    return replace(value, ticket=trace.rewrite_ticket(value.ticket))


def _segment_for(trace: Trace, state: State, size_bytes: int) -> _Segment | None:
    """Return the segment for the next line; ``None`` if no segment can take it."""
    if not trace.has_gap:
        segment = trace.segments[-1]
        has_room = len(segment.lines) < _max_events(trace) and _fits_segment(
            trace, segment.size_bytes + size_bytes
        )
        if has_room and not (
            _is_idle_and_nearly_full(segment, trace, state) and _may_checkpoint(trace)
        ):
            return segment
    if not _may_checkpoint(trace):
        _stop_recording(trace, "the next checkpoint would take too much time", events_to_skip=0)
        return None
    return _start_segment(trace, state, size_bytes)


def _is_idle_and_nearly_full(segment: _Segment, trace: Trace, state: State) -> bool:
    return (
        len(segment.lines) >= IDLE_CHECKPOINT_SHARE * _max_events(trace)
        and not state.searches_by_id
    )


def _may_checkpoint(trace: Trace) -> bool:
    return trace.now_s() >= trace.checkpoint_allowed_at_s


def _start_segment(trace: Trace, state: State, size_bytes: int) -> _Segment | None:
    started_at_s = trace.now_s()
    try:
        checkpoint = dumps(state, share=True)
    except TraceError as error:
        _stop_recording(trace, str(error), events_to_skip=_max_events(trace))
        return None
    finally:
        ended_at_s = trace.now_s()
        trace.checkpoint_allowed_at_s = (
            ended_at_s + (ended_at_s - started_at_s) / MAX_CHECKPOINT_SHARE
        )
    if not _fits_segment(trace, len(checkpoint) + size_bytes):
        message = f"a checkpoint of {len(checkpoint)} bytes leaves no room for events"
        _stop_recording(trace, message, events_to_skip=_max_events(trace))
        return None
    segment = _Segment(checkpoint, size_bytes=len(checkpoint))
    # Events before a gap cannot be replayed together with those after it.
    trace.segments = [segment] if trace.has_gap else [*trace.segments[-1:], segment]
    trace.has_gap = False
    trace.checkpoints += 1
    return segment


def _stop_recording(trace: Trace, message: str, events_to_skip: int) -> None:
    """Stop recording until a new segment can start.

    :param events_to_skip: number of events to skip before the next attempt.
    """
    trace.has_gap = True
    trace.events_to_skip = events_to_skip
    trace.last_error = message


def _max_events(trace: Trace) -> int:
    return trace.settings.max_trace_events // 2


def _fits_segment(trace: Trace, size_bytes: int) -> bool:
    return size_bytes + LINE_OVERHEAD_BYTES <= trace.settings.max_trace_bytes // 2
