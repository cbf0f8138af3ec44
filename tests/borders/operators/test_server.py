"""Tests of the operators' server and of the state dump."""

from __future__ import annotations

import asyncio
from typing import Any

import orjson
from aiohttp.test_utils import TestClient, TestServer

from tests.harness import Harness
from turmerictiller.borders.operators.dump_searches import MAX_SHOWN
from turmerictiller.borders.operators.exposition import exposition
from turmerictiller.borders.operators.metrics import Metrics
from turmerictiller.borders.operators.server import OperatorViews, operator_application
from turmerictiller.borders.operators.state_dump import dump_state, health
from turmerictiller.core import events
from turmerictiller.recording.replay import replay
from turmerictiller.recording.trace import Trace, dump_trace


def read(harness: Harness, path: str) -> tuple[int, bytes]:
    """Send a GET request to an operators' server on the state of a harness."""
    trace = Trace(harness.settings)
    views = OperatorViews(
        state=lambda: dump_state(harness.state),
        health=lambda: health(harness.state),
        trace=lambda: dump_trace(trace),
        metrics=lambda: exposition(harness.state, Metrics(harness.settings), trace, {}),
    )

    async def request() -> tuple[int, bytes]:
        async with TestClient(TestServer(operator_application(views))) as client:
            answer = await client.get(path)
            return answer.status, await answer.read()

    return asyncio.run(request())


def test_every_view_responds() -> None:
    """Guards against a view that fails on an instance that is starting or under load."""
    fresh, busy = Harness(), Harness()
    busy.start()
    busy.search(1)
    assert read(fresh, "/health")[0] == 503
    assert read(busy, "/health")[0] == 200
    for harness in (fresh, busy):
        assert orjson.loads(read(harness, "/state")[1])["instance"] == "e1"
        assert b"# TYPE" in read(harness, "/metrics")[1]
        assert replay(read(harness, "/trace")[1].splitlines()).events == 0


def test_state_dump_shows_stalled_servers_and_refusals() -> None:
    """Guards against a dump that omits a stalled server, a truncated list or a refusal."""
    harness = Harness()
    harness.send(events.SearchArrived(0.0, 999, "booking", "x"))
    harness.start()
    for call_id in range(MAX_SHOWN + 1):
        harness.search(call_id, deadline_ms=500.0)
    harness.advance(100)
    dump: dict[str, Any] = orjson.loads(orjson.dumps(dump_state(harness.state)))
    assert dump["refusals"] == {"no_note": 1}
    assert dump["searches_in_flight"] == MAX_SHOWN + 1
    assert len(dump["oldest_searches"]) == MAX_SHOWN
    assert dump["oldest_searches"][0]["left_ms"] == 400.0
    assert dump["oldest_searches"][0]["services_missing"] == ["jobs-0", "jobs-1"]
    assert max(server["oldest_outstanding_ms"] for server in dump["servers"]) == 100.0
    assert dump["note"]["fronts"] == {"booking": ["jobs-0", "jobs-1"]}
