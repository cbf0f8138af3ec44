"""Tests of recording, replay and the JSON encoding of events, effects and state."""

from __future__ import annotations

import math
import random
from collections import Counter, OrderedDict, deque
from dataclasses import dataclass, fields, is_dataclass
from pathlib import Path
from typing import Any, get_args, get_origin, get_type_hints

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st
from typer.testing import CliRunner

from tests.harness import Harness
from turmerictiller.cmd.main import app
from turmerictiller.config import Settings
from turmerictiller.core import effects, events
from turmerictiller.core.reducer import recover, reduce
from turmerictiller.errors import RefusalType, TraceError
from turmerictiller.recording import codec, trace
from turmerictiller.recording.codec import dumps, loads
from turmerictiller.recording.replay import replay
from turmerictiller.recording.trace import Trace, dump_trace, reduce_recorded

NUMBERS = st.integers(-(2**63), 2**63) | st.floats(allow_nan=False)
SCALARS = st.none() | st.booleans() | NUMBERS | st.text(max_size=8)
TREES = st.recursive(
    SCALARS,
    lambda inner: st.lists(inner, max_size=3)
    | st.tuples(inner, inner)
    | st.dictionaries(st.text(max_size=4) | st.just("$"), inner, max_size=3),
    max_leaves=6,
)
EVENT_AND_EFFECT_TYPES = [*get_args(events.Event), *get_args(effects.Effect)]


def values_of(hint: Any) -> st.SearchStrategy[Any]:
    """Return a strategy for values of a type hint; ``Any`` generates JSON values and tuples."""
    origin, arguments = get_origin(hint), get_args(hint)
    if hint in (Any, object):
        return TREES
    if origin is dict:
        return st.dictionaries(values_of(arguments[0]), values_of(arguments[1]), max_size=2)
    if origin is tuple and arguments[-1] is ...:
        return st.lists(values_of(arguments[0]), max_size=2).map(tuple)
    if origin is tuple:
        return st.tuples(*map(values_of, arguments))
    if arguments:
        return st.one_of(*map(values_of, arguments))
    if is_dataclass(hint):
        hints = get_type_hints(hint)
        return st.builds(hint, **{item.name: values_of(hints[item.name]) for item in fields(hint)})
    return st.floats(allow_nan=False) if hint is float else st.from_type(hint)


class RecordingHarness(Harness):
    """Harness that records its events."""

    def __init__(self, **settings: Any) -> None:
        super().__init__(**settings)
        self.now_s = 0.0
        self.trace = Trace(self.settings, lambda: self.now_s)

    def send(self, event: events.Event) -> list[effects.Effect]:
        new_effects = reduce_recorded(self.trace, self.state, event)
        self.effects += new_effects
        return new_effects

    def lines(self) -> list[bytes]:
        return dump_trace(self.trace).splitlines()


def run_steps(harness: Harness, steps: list[tuple[str, int, float]]) -> None:
    """Run a sequence of searches, answers, failures, disconnects of callers and waits."""
    harness.start()
    waiting: list[effects.SendSearch] = []
    for call_id, (step, number, amount) in enumerate(steps, 1):
        if step == "search":
            waiting += harness.search(call_id, k=1 + number % 20, deadline_ms=1 + amount * 50)
        elif step == "gone":
            harness.send(events.CallerGone(harness.at, number % 40))
        elif step == "wait" or not waiting:
            harness.advance(amount * 10)
        elif step == "answer":
            harness.answer(waiting.pop(number % len(waiting)), hits_per_shard=number % 4)
        else:
            kind = list(events.FailureKind)[number % len(events.FailureKind)]
            attempt = waiting.pop(number % len(waiting))
            harness.send(events.AttemptFailed(harness.at, attempt.attempt_id, kind))
            waiting += harness.pop_effects(effects.SendSearch)


NAMES = ["search", "search", "answer", "answer", "fail", "gone", "wait"]
STEP = st.tuples(st.sampled_from(NAMES), st.integers(0, 10_000), st.floats(0, 100))
STEPS = st.lists(STEP, max_size=40)
FIXED_STEPS = [
    (("search", "fail", "answer", "wait")[number % 4], number, 3.0) for number in range(200)
]


@given(STEPS, st.sampled_from([4, 16, 100_000]))
def test_replay_reproduces_the_recorded_effects(
    steps: list[tuple[str, int, float]], max_events: int
) -> None:
    """Guards against state that a checkpoint omits, and effects that are not deterministic."""
    harness = RecordingHarness(max_trace_events=max_events)
    run_steps(harness, steps)
    outcome = replay(harness.lines())
    assert outcome.differing is None
    assert outcome.events == outcome.header["events"] > 0
    assert outcome.events <= max_events


@given(st.data())
def test_events_and_effects_round_trip(data: st.DataObject) -> None:
    """Guards against a field or type that does not round-trip through JSON."""
    value = data.draw(values_of(data.draw(st.sampled_from(EVENT_AND_EFFECT_TYPES))))
    line = dumps(value)
    assert loads(line) == value
    assert dumps(loads(line)) == line


@pytest.mark.parametrize(
    "value",
    [
        {1: (2.0, [3]), (4, "x"): {5}},
        [Counter(a=2), frozenset({"x", "y"}), b"\x00\xff", {"$": {"$ref": 1}}],
        [deque([1, 2], maxlen=3), OrderedDict(b=1, a=2), -math.inf, RefusalType.OVERLOADED],
    ],
)
def test_containers_keep_their_type(value: Any) -> None:
    """Guards against tuples decoded as lists, and keys decoded as strings."""
    read = loads(dumps(value))
    assert read == value
    assert repr(read) == repr(value)


def test_state_keeps_sharing_and_random_numbers() -> None:
    """Guards against a checkpoint that copies a shared object or resets the random generator."""
    front = Harness()
    front.start()
    front.search(1)
    front.search(2)
    state = loads(dumps(front.state, share=True), front.settings)
    first, second = state.searches_by_id.values()
    assert first.front is second.front
    generator = random.Random(3)
    generator.gauss()
    assert loads(dumps(generator)).random() == generator.random()


def test_changed_reducer_is_detected(tmp_path: Path) -> None:
    """Guards against a comparison that accepts different effects."""
    harness = RecordingHarness(max_trace_events=100)
    run_steps(harness, FIXED_STEPS)
    # The buffer must contain a retry, and the failures among the steps may all be too late for one.
    first, *_ = harness.search(10_000, query="satin")
    kind = events.FailureKind.UNSENT
    harness.send(events.AttemptFailed(harness.at, first.attempt_id, kind))
    assert harness.pop_effects(effects.SendSearch)

    def without_retries(state: Any, event: Any) -> list[effects.Effect]:
        new_effects = reduce(state, event)
        if isinstance(event, events.AttemptFailed):
            return [item for item in new_effects if not isinstance(item, effects.SendSearch)]
        return new_effects

    differing = replay(harness.lines(), without_retries).differing
    assert differing is not None
    assert isinstance(differing.event, events.AttemptFailed)
    lines = harness.lines()
    data = orjson.loads(lines[-1])
    lines[-1] = orjson.dumps({**data, "effects": "0" * 16})
    path = tmp_path / "trace"
    path.write_bytes(b"\n".join(lines))
    done = CliRunner().invoke(app, ["replay", str(path)])
    assert (done.exit_code, f"Line {len(lines)}:" in done.stdout) == (1, True)


def test_error_of_the_reducer_is_recorded_and_raised() -> None:
    """Guards against a trace without the event that caused the exception."""
    harness = RecordingHarness()

    def failing(state: Any, event: Any) -> list[effects.Effect]:
        if event.at != 1.0:
            return reduce(state, event)
        state.out.append(effects.Stop())
        raise KeyError("x")

    with pytest.raises(KeyError):
        reduce_recorded(harness.trace, harness.state, events.Tick(1.0), failing)
    assert recover(harness.state)[0] == effects.Stop()
    harness.send(events.Tick(2.0))
    assert replay(harness.lines(), failing).differing is None
    assert replay(harness.lines()).differing is not None


def test_buffer_stays_within_its_size() -> None:
    """Guards against large answers that exhaust memory, and a gap within a trace."""
    harness = RecordingHarness(max_trace_bytes=60_000)
    run_steps(harness, FIXED_STEPS)
    assert sum(len(line) for line in harness.lines()) < 60_000
    before = harness.lines()[1:]
    harness.search(10_001, query="x" * 50_000)
    harness.advance(1)
    assert harness.trace.lost_events > 1
    assert harness.lines()[1:] == before
    assert not orjson.loads(harness.lines()[0])["ends_now"]
    for _ in range(harness.settings.max_trace_events):
        harness.send(events.Tick(harness.at))
    outcome = replay(harness.lines())
    assert outcome.differing is None
    assert 0 < outcome.events < harness.settings.max_trace_events
    assert outcome.header["ends_now"]


def test_checkpoints_take_a_limited_share_of_the_time(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a large state whose checkpoints block searches frequently."""
    harness = RecordingHarness(max_trace_events=8)

    def slow(value: Any, share: bool = False) -> bytes:
        harness.now_s += 0.5 if share else 0.0
        return dumps(value, share)

    monkeypatch.setattr(trace, "dumps", slow)
    for _ in range(1_000):
        harness.now_s += 0.2
        harness.advance(1)
    assert 1 < harness.trace.checkpoints <= 1 + 0.01 * harness.now_s / 0.5
    assert harness.trace.lost_events > 0
    assert replay(harness.lines()).differing is None


def test_checkpoint_waits_for_an_idle_moment() -> None:
    """Guards against checkpoints during searches although there are idle moments."""
    harness = RecordingHarness(max_trace_events=200)
    harness.start()
    checkpoint_count = harness.trace.checkpoints
    for call_id in range(50):
        attempts = harness.search(call_id)
        assert (
            harness.trace.checkpoints == checkpoint_count or len(harness.state.searches_by_id) == 1
        )
        for attempt in attempts:
            harness.answer(attempt)
        checkpoint_count = harness.trace.checkpoints
    first_event = orjson.loads(harness.lines()[2])["event"]
    assert first_event["$"] == "core.events:SearchArrived"


def test_settings_round_trip_through_a_trace() -> None:
    """Guards against a default whose type changes in a trace, so that the effects differ."""
    settings = RecordingHarness().settings
    assert repr(Settings(**settings.model_dump(mode="json"))) == repr(settings)


def test_secrets_are_not_in_a_trace(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a trace with which its reader could forge signatures of the process."""
    monkeypatch.setattr(trace, "SECRET", "seed")
    monkeypatch.setattr(codec, "SECRET", "query")
    monkeypatch.setattr(codec, "_LAYOUTS", {})
    harness = RecordingHarness(seed=4711)
    harness.search(1, query="sentinel")
    header, line = harness.lines()
    assert orjson.loads(header)["left_out"] == ["seed"]
    assert b"4711" not in header
    assert b"booking" in line
    assert b"sentinel" not in line


def test_tickets_are_rewritten_in_events_and_effects() -> None:
    """Guards against a replay that rejects every ticket, because it lacks the secret."""
    harness = RecordingHarness()
    harness.trace.rewrite_ticket = lambda text: text.replace("real", "rewritten")

    def issue(state: Any, event: Any) -> list[effects.Effect]:
        return [effects.ReplyTicket(1, event.ticket, 5.0)]

    event = events.RunArrived(1.0, 1, "booking", "real-ticket", "pickup", {})
    reduce_recorded(harness.trace, harness.state, event, issue)
    assert b"real-ticket" not in harness.lines()[-1]
    assert replay(harness.lines(), issue).differing is None


@dataclass
class Foreign:
    """A data class of another package."""


def test_types_of_other_packages_are_refused() -> None:
    """Guards against a trace that is written but cannot be read."""
    for value in (Foreign(), Path("x"), [object()], "\ud800"):
        with pytest.raises(TraceError):
            dumps(value)


@given(st.binary(max_size=40) | TREES.map(lambda tree: orjson.dumps(tree, default=str)))
def test_malformed_lines_raise_typed_errors(line: bytes) -> None:
    """Guards against a corrupt file that causes a traceback."""
    lines = RecordingHarness().lines()
    for bad in ([line], [lines[0], line, line], []):
        try:
            replay(bad)
        except TraceError:
            continue
        assert bad[1:] == []


BAD_VALUES: list[Any] = orjson.loads("""[{"$":"os:system","command":"x"}, {"$":"..x:Y"}, {"$ref":3},
{"$":"events:Tick"}, {"$":"events:Tick","at":1,"b":2}, {"$enum":"events:Tick","name":"x"}, {"$":7},
{"$":"cmd.main:app"}, {"$":"searches:Refusal","type":1,"message":"x"}, {"$x":3}, {"$settings":null}]
""")


@pytest.mark.parametrize("value", BAD_VALUES)
def test_decoding_creates_only_known_types(value: Any) -> None:
    """Guards against a trace file that executes code or creates an incomplete event."""
    with pytest.raises(TraceError):
        loads(orjson.dumps(value))
