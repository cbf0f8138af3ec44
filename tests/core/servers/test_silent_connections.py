"""Tests of the detection of silent connections."""

from __future__ import annotations

import asyncio

from aiohttp import web

from tests.harness import Harness
from turmerictiller.borders.upstreams.connection_pool import ConnectionPools
from turmerictiller.core import effects, events


def one_server_harness() -> Harness:
    """Return an instance with a single server."""
    harness = Harness()
    harness.start(services=1, servers=1)
    return harness


def test_call_overtaken_by_a_later_one_is_charged_to_its_connection() -> None:
    """Guards against a healthy server that is avoided because one connection is silent."""
    harness = one_server_harness()
    (overtaken,) = harness.search(1, deadline_ms=400.0)
    harness.advance(50)
    (other,) = harness.search(2, deadline_ms=400.0)
    harness.advance(10)
    harness.answer(other)
    harness.advance(400)
    (reset,) = harness.pop_effects(effects.ResetConnections)
    assert reset.server_id == overtaken.server_id
    assert harness.state.counters["connections.silent"] == 1
    assert harness.state.servers_by_id[overtaken.server_id].failures_in_row == 0


def test_call_to_a_silent_server_is_charged_to_the_server() -> None:
    """Guards against a dead server that is classified as a silent connection."""
    harness = one_server_harness()
    (attempt,) = harness.search(1, deadline_ms=400.0)
    harness.advance(300)
    kind = events.FailureKind.TIMED_OUT
    harness.send(events.AttemptFailed(harness.at, attempt.attempt_id, kind))
    assert harness.state.counters["connections.silent"] == 0
    assert harness.state.servers_by_id[attempt.server_id].failures_in_row == 1


def test_call_overtaken_by_a_few_ms_is_no_silent_connection() -> None:
    """Guards against a reset for every call that is answered slightly later than the next one."""
    harness = one_server_harness()
    harness.search(1, deadline_ms=60.0)
    harness.advance(5)
    (other,) = harness.search(2)
    harness.answer(other)
    harness.advance(100)
    assert harness.pop_effects(effects.ResetConnections) == []


def test_silent_connections_are_reset_after_an_answered_poll() -> None:
    """Guards against a server that remains unused because all its pooled connections are silent."""
    harness = one_server_harness()
    (attempt,) = harness.search(1, deadline_ms=4_000.0)
    harness.advance(1_100)
    assert harness.pop_effects(effects.PollHealth)
    status = events.UpstreamStatus("i", False, (attempt.snapshot,))
    harness.send(events.HealthReported(harness.at, attempt.server_id, status))
    assert harness.pop_effects(effects.ResetConnections)


def test_calls_given_up_in_a_row_are_followed_by_a_poll_and_a_reset() -> None:
    """Guards against undetected silent connections when searches end before calls are overdue."""
    harness = one_server_harness()
    for call_id in range(1, 8):
        (attempt,) = harness.search(call_id)
        harness.answer(attempt)
        harness.advance(1)
    harness.pop_effects(effects.PollHealth)
    for call_id in range(8, 11):
        harness.search(call_id, deadline_ms=40.0)
        harness.advance(40)
    assert [poll.server_id for poll in harness.pop_effects(effects.PollHealth)] == [
        attempt.server_id
    ]
    assert harness.pop_effects(effects.ResetConnections) == []
    status = events.UpstreamStatus("i", False, (attempt.snapshot,))
    harness.send(events.HealthReported(harness.at, attempt.server_id, status))
    assert len(harness.pop_effects(effects.ResetConnections)) == 1


def test_search_before_the_poll_is_answered_uses_a_new_connection() -> None:
    """Guards against a call on a silent connection while the health poll is outstanding."""
    harness = one_server_harness()
    for call_id in range(1, 8):
        (attempt,) = harness.search(call_id)
        harness.answer(attempt)
        harness.advance(1)
    for call_id in range(8, 11):
        (attempt,) = harness.search(call_id, deadline_ms=40.0)
        assert not attempt.fresh
        harness.advance(40)
    (attempt,) = harness.search(11)
    assert attempt.fresh
    assert not harness.search(12)[0].fresh
    harness.answer(attempt)
    assert len(harness.pop_effects(effects.ResetConnections)) == 1
    assert not harness.search(13)[0].fresh


def test_slow_server_that_answers_keeps_its_connections() -> None:
    """Guards against a reset after every slow search."""
    harness = one_server_harness()
    for call_id in range(1, 8):
        (attempt,) = harness.search(call_id)
        harness.answer(attempt)
        harness.advance(1)
    for call_id in range(8, 20):
        harness.search(call_id, deadline_ms=40.0)
        harness.advance(40)
        if call_id % 2:
            (attempt,) = harness.search(call_id + 100)
            assert not attempt.fresh
            harness.answer(attempt)
    assert harness.pop_effects(effects.ResetConnections) == []


def give_up_calls(harness: Harness, call_ids: range) -> None:
    """Let consecutive calls reach their deadline, then answer the health poll."""
    for call_id in call_ids:
        (attempt,) = harness.search(call_id, deadline_ms=40.0)
        harness.advance(40)
    status = events.UpstreamStatus("i", False, (attempt.snapshot,))
    harness.send(events.HealthReported(harness.at, attempt.server_id, status))


def test_connections_that_go_silent_after_a_reset_are_reset_without_delay() -> None:
    """Guards against a second of incomplete searches due to the rate limit on resets."""
    harness = one_server_harness()
    for call_id in range(1, 8):
        (attempt,) = harness.search(call_id)
        harness.answer(attempt)
        harness.advance(1)
    give_up_calls(harness, range(8, 11))
    assert len(harness.pop_effects(effects.ResetConnections)) == 1
    harness.advance(100)
    give_up_calls(harness, range(11, 14))
    assert len(harness.pop_effects(effects.ResetConnections)) == 1


def test_calls_sent_before_a_reset_cause_no_second_reset() -> None:
    """Guards against repeated resets because of calls on connections that were already reset."""
    harness = one_server_harness()
    for call_id in range(1, 8):
        (attempt,) = harness.search(call_id)
        harness.answer(attempt)
        harness.advance(1)
    for call_id in range(20, 24):
        harness.search(call_id, deadline_ms=130.0)
    give_up_calls(harness, range(8, 11))
    assert len(harness.pop_effects(effects.ResetConnections)) == 1
    harness.advance(20)
    status = events.UpstreamStatus("i", False, (attempt.snapshot,))
    harness.send(events.HealthReported(harness.at, attempt.server_id, status))
    assert harness.pop_effects(effects.ResetConnections) == []


def test_reset_replaces_idle_connections_and_lets_calls_finish() -> None:
    """Guards against a reset that aborts outstanding calls."""
    connections: set[object] = set()
    arrived, release = asyncio.Event(), asyncio.Event()

    async def on_call(request: web.Request) -> web.Response:
        connections.add(request.transport)
        if request.path == "/wait":
            arrived.set()
            await release.wait()
        return web.Response(text="done")

    async def call(pools: ConnectionPools, address: str, path: str) -> str:
        async with (
            pools.session(address) as session,
            session.get(f"http://{address}{path}") as response,
        ):
            return await response.text()

    async def scenario() -> None:
        app = web.Application()
        app.router.add_get("/{name}", on_call)
        runner = web.AppRunner(app)
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        host, port = runner.addresses[0][:2]
        address = f"{host}:{port}"
        pools = ConnectionPools()
        await call(pools, address, "/one")
        await call(pools, address, "/two")
        assert len(connections) == 1
        running = asyncio.create_task(call(pools, address, "/wait"))
        await arrived.wait()
        pools.reset(address)
        await call(pools, address, "/three")
        release.set()
        assert await running == "done"
        assert len(connections) == 2
        await pools.close()
        await runner.cleanup()

    asyncio.run(scenario())
