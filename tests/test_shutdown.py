"""Tests of the graceful shutdown, with real sockets and signals."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
from typing import Any

import pytest

from tests.entry_instance import RunningInstance, on_instance, post, read_answer, search, until
from turmerictiller.core.lifecycle import LIMIT, NOTICE_OVER
from turmerictiller.phases import ProcessPhase

CALLERS = 12
CALLS_AFTER_UNHEALTHY = 5
LONG_NOTICE = {"drain_notice_ms": 3_600_000, "shutdown_limit_ms": 3_700_000}
HEALTH_REQUEST = b"GET /health HTTP/1.1\r\nHost: x\r\n\r\n"


def _terminate() -> None:
    os.kill(os.getpid(), signal.SIGTERM)


def _phase(instance: RunningInstance) -> ProcessPhase:
    return instance.app.state.lifecycle.phase


async def _search_through_shutdown(
    instance: RunningInstance, is_unhealthy: asyncio.Event, answers: list[Any]
) -> None:
    """Search on one connection until a response has ``Connection: close``, then on a new one."""
    remaining = CALLS_AFTER_UNHEALTHY
    reader, writer = await instance.connect()
    while remaining:
        writer.write(search())
        status, headers, body = await read_answer(reader)
        answers.append((status, body.get("coverage", body)))
        remaining -= is_unhealthy.is_set()
        if headers.get("connection") == "close":
            writer.close()
            reader, writer = await instance.connect()
    writer.close()


async def _poll_health(instance: RunningInstance, is_unhealthy: asyncio.Event) -> None:
    while (await instance.call(HEALTH_REQUEST))[0] == 200:
        await asyncio.sleep(0)
    is_unhealthy.set()


@on_instance(**LONG_NOTICE)
async def test_shutdown_under_load_fails_no_call(instance: RunningInstance) -> None:
    """Guards against calls without a full answer before the load balancer detects a shutdown."""
    answers: list[Any] = []
    is_unhealthy = asyncio.Event()
    callers = [
        asyncio.create_task(_search_through_shutdown(instance, is_unhealthy, answers))
        for _ in range(CALLERS)
    ]
    watch = asyncio.create_task(_poll_health(instance, is_unhealthy))
    await until(lambda: len(answers) > 5 * CALLERS)
    before = len(answers)
    _terminate()
    await asyncio.gather(*callers, watch)
    assert len(answers) - before >= CALLERS * CALLS_AFTER_UNHEALTHY
    assert {status for status, _ in answers} == {200}
    assert all(coverage["share"] == 1.0 for _, coverage in answers)


@on_instance(**LONG_NOTICE, quiet_close_ms=0)
async def test_listening_socket_stays_open_for_the_notice_time(instance: RunningInstance) -> None:
    """Guards against refused connections before the load balancer can detect the shutdown."""
    instance.app.shut_down()
    for _ in range(20):
        status, headers, _ = await instance.call(search())
        assert (status, headers["connection"]) == (200, "close")
    assert (await instance.call(post("/v1/fronts/booking/tickets", {})))[2] == {
        "error": "shutting_down",
        "message": "this instance is shutting down",
        "ran": "no",
        "retry_after_ms": 100,
    }


@pytest.mark.parametrize("quiet_close_ms", [0, 3_600_000])
@on_instance(**LONG_NOTICE)
async def test_request_on_a_keep_alive_connection_after_the_notice(
    instance: RunningInstance, quiet_close_ms: float
) -> None:
    """Guards against closing a keep-alive connection on which a request is arriving."""
    connections = [await instance.connect() for _ in range(2)]
    for reader, writer in connections:
        writer.write(search())
        assert "connection" not in (await read_answer(reader))[1]
    _terminate()
    await until(lambda: _phase(instance) is ProcessPhase.DRAINING)
    instance.trigger_shutdown_step(NOTICE_OVER)
    for reader, writer in connections if quiet_close_ms else connections[:1]:
        writer.write(search())
        status, headers, _ = await read_answer(reader)
        assert (status, headers["connection"]) == (200, "close")
    if quiet_close_ms:
        instance.trigger_shutdown_step(LIMIT)
    assert await connections[1][0].read() == b""
    for _, writer in connections:
        writer.close()
    await instance.run


@pytest.mark.parametrize("count", [1, 5])
@on_instance()
async def test_requests_that_arrive_with_the_signal_are_answered(
    instance: RunningInstance, count: int
) -> None:
    """Guards against the loss of requests, also pipelined ones, that arrive with the signal."""
    connections = [await instance.connect() for _ in range(4)]
    await until(lambda: len(instance.app.callers.listener.connections) == 4)
    for _, writer in connections:
        writer.write(search() * count)
    instance.app.shut_down()
    for reader, writer in connections:
        answers = [await read_answer(reader) for _ in range(count)]
        assert [status for status, _, _ in answers] == [200] * count
        closes = [headers.get("connection") == "close" for _, headers, _ in answers]
        assert closes == [False] * (count - 1) + [True]
        writer.close()


@on_instance()
async def test_requests_in_the_backlog_at_the_close_are_answered(
    instance: RunningInstance, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a reset of connections that are in the backlog when the listener closes."""
    listener = instance.app.callers.listener
    close_listening = listener.close_listening
    backlog: list[socket.socket] = []

    def connect_and_close() -> None:
        if not backlog:
            for _ in range(5):
                backlog.append(socket.create_connection(("127.0.0.1", listener.port)))
                backlog[-1].sendall(search())
        close_listening()

    monkeypatch.setattr(listener, "close_listening", connect_and_close)
    _terminate()
    await until(lambda: backlog)
    for sock in backlog:
        sock.setblocking(False)
        reader, writer = await asyncio.open_connection(sock=sock)
        status, headers, _ = await read_answer(reader)
        assert (status, headers["connection"]) == (200, "close")
        writer.close()
    await instance.run


@on_instance(is_platform_up=False, drain_notice_ms=50, quiet_close_ms=0)
async def test_call_longer_than_the_notice_is_answered_after_two_signals(
    instance: RunningInstance,
) -> None:
    """Guards against a second signal or an unreachable platform that ends a call early."""
    instance.set_service_time(600.0)
    answer = asyncio.create_task(instance.call(search()))
    await until(lambda: instance.app.state.searches_by_id)
    _terminate()
    await until(lambda: _phase(instance) is ProcessPhase.CLOSING)
    _terminate()
    await until(lambda: instance.app.state.counters["shutdown.repeated"])
    assert not answer.done()
    assert (await answer)[0] == 200
    await instance.run


SHORT_LIMITS = {
    "drain_notice_ms": 20,
    "quiet_close_ms": 0,
    "max_deadline_ms": 500,
    "shutdown_limit_ms": 600,
    "read_timeout_ms": 3_600_000,
}


@on_instance(**LONG_NOTICE)
async def test_requests_at_the_limit_are_refused(instance: RunningInstance) -> None:
    """Guards against a reset of requests that a paused process has not read by the limit."""
    connection = await instance.connect()
    await until(lambda: instance.app.callers.listener.connections)
    instance.app.shut_down()
    sock = socket.create_connection(("127.0.0.1", instance.app.callers.listener.port))
    sock.sendall(search())
    sock.setblocking(False)
    connection[1].write(search())
    instance.trigger_shutdown_step(LIMIT)
    for reader, writer in (connection, await asyncio.open_connection(sock=sock)):
        _, _, body = await read_answer(reader)
        assert (body["error"], body["ran"]) == ("shutting_down", "no")
        writer.close()


@pytest.mark.parametrize("raw", [search()[:-1], b"GET /health HTTP/1.1\r\n"])
@on_instance(**SHORT_LIMITS)
async def test_shutdown_ends_at_its_limit(instance: RunningInstance, raw: bytes) -> None:
    """Guards against an incomplete request that delays a shutdown beyond its limit."""
    reader, writer = await instance.connect()
    writer.write(raw)
    await until(lambda: instance.app.callers.listener.connections)
    instance.app.shut_down()
    await instance.run
    _, _, body = await read_answer(reader)
    assert (body["error"], body["ran"]) == ("shutting_down", "no")
    writer.close()
