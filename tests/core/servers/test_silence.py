"""Tests of the detection of silent connections."""

from __future__ import annotations

import asyncio

from aiohttp import web

from tests.harness import Harness
from turmerictiller.borders.upstreams.connection_pool import ConnectionPools
from turmerictiller.core import effects, events


def one_server() -> Harness:
    """Return an instance with a single server."""
    harness = Harness()
    harness.start(services=1, servers=1)
    return harness


def test_call_overtaken_by_a_later_one_is_charged_to_its_connection() -> None:
    """Guards against a healthy server that is avoided because a connection went silent."""
    harness = one_server()
    (silent,) = harness.search(1, deadline_ms=400.0)
    harness.advance(50)
    (other,) = harness.search(2, deadline_ms=400.0)
    harness.advance(10)
    harness.answer(other)
    harness.advance(400)
    (reset,) = harness.pop_effects(effects.ResetConnections)
    assert reset.server_id == silent.server_id
    assert harness.state.counters["connections.silent"] == 1
    assert harness.state.servers_by_id[silent.server_id].failures_in_row == 0


def test_call_to_a_silent_server_is_charged_to_the_server() -> None:
    """Guards against a dead server that passes for a silent connection."""
    harness = one_server()
    (attempt,) = harness.search(1, deadline_ms=400.0)
    harness.advance(300)
    kind = events.FailureKind.TIMED_OUT
    harness.send(events.AttemptFailed(harness.at, attempt.attempt_id, kind))
    assert harness.state.counters["connections.silent"] == 0
    assert harness.state.servers_by_id[attempt.server_id].failures_in_row == 1


def test_loser_of_a_short_race_is_no_silent_connection() -> None:
    """Guards against resets at every call that is overtaken by a few milliseconds."""
    harness = one_server()
    harness.search(1, deadline_ms=60.0)
    harness.advance(5)
    (other,) = harness.search(2)
    harness.answer(other)
    harness.advance(100)
    assert harness.pop_effects(effects.ResetConnections) == []


def test_all_connections_silent_are_replaced_after_a_poll() -> None:
    """Guards against a server that stays unused because every kept connection went silent."""
    harness = one_server()
    (attempt,) = harness.search(1, deadline_ms=4_000.0)
    harness.advance(1_100)
    assert harness.pop_effects(effects.PollHealth)
    status = events.UpstreamStatus("i", False, (attempt.snapshot,))
    harness.send(events.HealthReported(harness.at, attempt.server_id, status))
    assert harness.pop_effects(effects.ResetConnections)


def test_calls_given_up_in_a_row_are_followed_by_a_poll_and_a_reset() -> None:
    """Guards against silent connections that are never found because searches give up early."""
    harness = one_server()
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


def test_search_between_calls_given_up_and_the_answer_to_the_poll_is_not_lost() -> None:
    """Guards against a call on a silent connection while the poll is under way."""
    harness = one_server()
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
    """Guards against resets at every slow search."""
    harness = one_server()
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


def given_up(harness: Harness, call_ids: range) -> None:
    """Let calls be given up one after the other, and the poll that follows be answered."""
    for call_id in call_ids:
        (attempt,) = harness.search(call_id, deadline_ms=40.0)
        harness.advance(40)
    status = events.UpstreamStatus("i", False, (attempt.snapshot,))
    harness.send(events.HealthReported(harness.at, attempt.server_id, status))


def test_connections_that_go_silent_right_after_a_reset_are_replaced_as_soon() -> None:
    """Guards against searches that stay incomplete for a second because of an earlier reset."""
    harness = one_server()
    for call_id in range(1, 8):
        (attempt,) = harness.search(call_id)
        harness.answer(attempt)
        harness.advance(1)
    given_up(harness, range(8, 11))
    assert len(harness.pop_effects(effects.ResetConnections)) == 1
    harness.advance(100)
    given_up(harness, range(11, 14))
    assert len(harness.pop_effects(effects.ResetConnections)) == 1


def test_calls_from_before_a_reset_cause_no_other() -> None:
    """Guards against resets in a row because of calls on connections that are replaced already."""
    harness = one_server()
    for call_id in range(1, 8):
        (attempt,) = harness.search(call_id)
        harness.answer(attempt)
        harness.advance(1)
    for call_id in range(20, 24):
        harness.search(call_id, deadline_ms=130.0)
    given_up(harness, range(8, 11))
    assert len(harness.pop_effects(effects.ResetConnections)) == 1
    harness.advance(20)
    status = events.UpstreamStatus("i", False, (attempt.snapshot,))
    harness.send(events.HealthReported(harness.at, attempt.server_id, status))
    assert harness.pop_effects(effects.ResetConnections) == []


def test_reset_replaces_idle_connections_and_lets_calls_finish() -> None:
    """Guards against a reset that cuts off the calls that still run."""
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
