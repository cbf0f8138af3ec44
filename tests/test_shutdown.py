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
CALLS_AFTER_NOTICE = 5
LONG_NOTICE = {"drain_notice_ms": 3_600_000, "shutdown_limit_ms": 3_700_000}
HEALTH = b"GET /health HTTP/1.1\r\nHost: x\r\n\r\n"


def _terminate() -> None:
    os.kill(os.getpid(), signal.SIGTERM)


def _phase(served: RunningInstance) -> ProcessPhase:
    return served.app.state.lifecycle.phase


async def _keep_calling(served: RunningInstance, is_out: asyncio.Event, answers: list[Any]) -> None:
    """Search as a balancer does: on a kept connection, on a new one after ``close``."""
    remaining = CALLS_AFTER_NOTICE
    reader, writer = await served.connect()
    while remaining:
        writer.write(search())
        status, headers, body = await read_answer(reader)
        answers.append((status, body.get("coverage", body)))
        remaining -= is_out.is_set()
        if headers.get("connection") == "close":
            writer.close()
            reader, writer = await served.connect()
    writer.close()


async def _watch_health(served: RunningInstance, is_out: asyncio.Event) -> None:
    while (await served.call(HEALTH))[0] == 200:
        await asyncio.sleep(0)
    is_out.set()


@on_instance(**LONG_NOTICE)
async def test_shutdown_under_load_cuts_off_nothing(served: RunningInstance) -> None:
    """Guards against calls without a full answer while the balancer learns of a shutdown."""
    answers: list[Any] = []
    is_out = asyncio.Event()
    callers = [asyncio.create_task(_keep_calling(served, is_out, answers)) for _ in range(CALLERS)]
    watch = asyncio.create_task(_watch_health(served, is_out))
    await until(lambda: len(answers) > 5 * CALLERS)
    before = len(answers)
    _terminate()
    await asyncio.gather(*callers, watch)
    assert len(answers) - before >= CALLERS * CALLS_AFTER_NOTICE
    assert {status for status, _ in answers} == {200}
    assert all(coverage["share"] == 1.0 for _, coverage in answers)


@on_instance(**LONG_NOTICE, quiet_close_ms=0)
async def test_listening_socket_stays_open_for_the_notice_time(served: RunningInstance) -> None:
    """Guards against refused connections before the balancer can know of the shutdown."""
    served.app.shut_down()
    for _ in range(20):
        status, headers, _ = await served.call(search())
        assert (status, headers["connection"]) == (200, "close")
    assert (await served.call(post("/v1/fronts/booking/tickets", {})))[2] == {
        "error": "shutting_down",
        "message": "this instance is shutting down",
        "ran": "no",
        "retry_after_ms": 100,
    }


@pytest.mark.parametrize("quiet_close_ms", [0, 3_600_000])
@on_instance(**LONG_NOTICE)
async def test_request_on_a_kept_connection_after_the_notice(
    served: RunningInstance, quiet_close_ms: float
) -> None:
    """Guards against a close that meets a request on a kept connection."""
    kept = [await served.connect() for _ in range(2)]
    for reader, writer in kept:
        writer.write(search())
        assert "connection" not in (await read_answer(reader))[1]
    _terminate()
    await until(lambda: _phase(served) is ProcessPhase.DRAINING)
    served.trigger_shutdown_step(NOTICE_OVER)
    for reader, writer in kept if quiet_close_ms else kept[:1]:
        writer.write(search())
        status, headers, _ = await read_answer(reader)
        assert (status, headers["connection"]) == (200, "close")
    if quiet_close_ms:
        served.trigger_shutdown_step(LIMIT)
    assert await kept[1][0].read() == b""
    for _, writer in kept:
        writer.close()
    await served.run


@pytest.mark.parametrize("count", [1, 5])
@on_instance()
async def test_requests_at_the_very_signal_are_answered(
    served: RunningInstance, count: int
) -> None:
    """Guards against requests, pipelined ones too, that arrive with the signal."""
    connections = [await served.connect() for _ in range(4)]
    await until(lambda: len(served.app.callers.listener.connections) == 4)
    for _, writer in connections:
        writer.write(search() * count)
    served.app.shut_down()
    for reader, writer in connections:
        answers = [await read_answer(reader) for _ in range(count)]
        assert [status for status, _, _ in answers] == [200] * count
        closes = [headers.get("connection") == "close" for _, headers, _ in answers]
        assert closes == [False] * (count - 1) + [True]
        writer.close()


@on_instance()
async def test_requests_at_the_very_close_are_answered(
    served: RunningInstance, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a reset of connections that wait in the backlog at the close."""
    listener = served.app.callers.listener
    close_listening = listener.close_listening
    late: list[socket.socket] = []

    def close_late() -> None:
        if not late:
            for _ in range(5):
                late.append(socket.create_connection(("127.0.0.1", listener.port)))
                late[-1].sendall(search())
        close_listening()

    monkeypatch.setattr(listener, "close_listening", close_late)
    _terminate()
    await until(lambda: late)
    for sock in late:
        sock.setblocking(False)
        reader, writer = await asyncio.open_connection(sock=sock)
        status, headers, _ = await read_answer(reader)
        assert (status, headers["connection"]) == (200, "close")
        writer.close()
    await served.run


@on_instance(is_platform_up=False, drain_notice_ms=50, quiet_close_ms=0)
async def test_call_longer_than_the_notice_is_answered_after_two_signals(
    served: RunningInstance,
) -> None:
    """Guards against a second signal, or a platform that is out, that ends a call early."""
    served.set_service_time(600.0)
    answer = asyncio.create_task(served.call(search()))
    await until(lambda: served.app.state.searches_by_id)
    _terminate()
    await until(lambda: _phase(served) is ProcessPhase.CLOSING)
    _terminate()
    await until(lambda: served.app.state.counters["shutdown.repeated"])
    assert not answer.done()
    assert (await answer)[0] == 200
    await served.run


BOUNDED = {
    "drain_notice_ms": 20,
    "quiet_close_ms": 0,
    "max_deadline_ms": 500,
    "shutdown_limit_ms": 600,
    "read_timeout_ms": 3_600_000,
}


@on_instance(**LONG_NOTICE)
async def test_requests_at_the_limit_are_refused(served: RunningInstance) -> None:
    """Guards against a reset of requests that a paused process has not read in time."""
    kept = await served.connect()
    await until(lambda: served.app.callers.listener.connections)
    served.app.shut_down()
    sock = socket.create_connection(("127.0.0.1", served.app.callers.listener.port))
    sock.sendall(search())
    sock.setblocking(False)
    kept[1].write(search())
    served.trigger_shutdown_step(LIMIT)
    for reader, writer in (kept, await asyncio.open_connection(sock=sock)):
        _, _, body = await read_answer(reader)
        assert (body["error"], body["ran"]) == ("shutting_down", "no")
        writer.close()


@pytest.mark.parametrize("raw", [search()[:-1], b"GET /health HTTP/1.1\r\n"])
@on_instance(**BOUNDED)
async def test_shutdown_ends_at_its_limit(served: RunningInstance, raw: bytes) -> None:
    """Guards against a caller that never ends its request and so holds up a shutdown."""
    reader, writer = await served.connect()
    writer.write(raw)
    await until(lambda: served.app.callers.listener.connections)
    served.app.shut_down()
    await served.run
    _, _, body = await read_answer(reader)
    assert (body["error"], body["ran"]) == ("shutting_down", "no")
    writer.close()
