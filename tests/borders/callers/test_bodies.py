"""Fuzz test of the requests of callers."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING, Any

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.entry_instance import post, read_answer, running_instance
from turmerictiller.core.events import RunArrived, TicketRequested
from turmerictiller.core.reducer import HANDLER_BY_EVENT
from turmerictiller.core.searches.searches import refuse
from turmerictiller.errors import Refusal, RefusalType

if TYPE_CHECKING:
    import pytest

    from turmerictiller.core.state import State

FRONT = "/v1/fronts/booking"
NUMBERS = st.floats() | st.integers() | st.sampled_from([10**400, -(2**64), 2**63])
JSON = st.recursive(
    st.none() | st.booleans() | NUMBERS | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
)
SEARCH = st.fixed_dictionaries(
    {"query": st.text() | JSON},
    optional={name: JSON for name in ("k", "deadline_ms", "priority", "cursor", "x")},
)
RUN = st.fixed_dictionaries(
    {"ticket": st.text() | JSON, "action": st.text() | JSON},
    optional={name: JSON for name in ("body", "deadline_ms", "x")},
)
BODIES = (SEARCH | RUN | JSON).map(lambda value: json.dumps(value).encode()) | st.binary()
PATHS = st.sampled_from([f"{FRONT}/{name}" for name in ("search", "run", "tickets", "")])
POSTS = st.builds(post, PATHS, BODIES)
REQUEST_HEADS = st.binary() | st.binary().map(lambda line: b"GET /health HTTP/1.1\r\n" + line)
KNOWN_ERRORS = {type_.value for type_ in RefusalType}


def _truncate(raw: bytes) -> bytes:
    return raw[:-1]


def _refuse(state: State, event: RunArrived | TicketRequested) -> None:
    refuse(state, event.call_id, Refusal(RefusalType.UNKNOWN_ACTION, "no such action"))


def test_every_answer_is_json_with_a_known_error(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against input that causes an untyped response, an internal error or no response."""
    for event_type in (RunArrived, TicketRequested):
        handler = HANDLER_BY_EVENT.get(event_type, _refuse)
        monkeypatch.setitem(HANDLER_BY_EVENT, event_type, handler)
    with asyncio.Runner() as runner:
        context = running_instance(max_deadline_ms=500)
        served = runner.run(context.__aenter__())

        async def responses_to(raw: bytes, is_complete: bool) -> list[Any]:
            reader, writer = await served.connect()
            writer.write(raw)
            responses = [await read_answer(reader)] if is_complete else []
            writer.write_eof()
            remaining = asyncio.StreamReader()
            remaining.feed_data(await reader.read())
            remaining.feed_eof()
            while not remaining.at_eof():
                responses.append(await read_answer(remaining))
            writer.close()
            return responses

        @settings(max_examples=400)
        @given(
            st.tuples(POSTS, st.just(True))
            | st.tuples(POSTS.map(_truncate) | REQUEST_HEADS, st.just(False))
        )
        def check(case: tuple[bytes, bool]) -> None:
            for status, _, body in runner.run(responses_to(*case)):
                assert status == 200 or body["error"] in KNOWN_ERRORS - {"internal"}
            assert not served.app.callers.counters["faults"]

        check()
        assert not served.run.done()
        runner.run(context.__aexit__(None, None, None))
