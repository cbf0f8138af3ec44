"""Tests of the client for upstreams, over real sockets."""

from __future__ import annotations

import asyncio
import socket
import struct
from typing import TYPE_CHECKING, Any

import pytest
from aiohttp import web

from tests.harness import Harness
from turmerictiller.borders.upstreams.client import UpstreamClient, parse_search_answer
from turmerictiller.clock import Clock
from turmerictiller.core.effects import SendRun, SendSearch
from turmerictiller.core.events import AttemptFailed, Event, FailureKind

if TYPE_CHECKING:
    from collections.abc import Iterator

RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER enabled, with a timeout of 0 s
LARGE_BODY = {"text": "x" * 30_000_000}


async def run_on_port(
    port: int, timeout_ms: float = 30_000, connect_ms: float = 30_000, **body: Any
) -> Event:
    """Send one run request and return the event that the client dispatches."""
    events: asyncio.Queue[Event] = asyncio.Queue()
    settings = Harness(run_connect_timeout_ms=connect_ms).settings
    client = UpstreamClient(settings, Clock(), events.put_nowait)
    address = f"127.0.0.1:{port}"
    client.send_run(
        SendRun(1, "a1-1", "s1", address, "jobs-0", "pickup", body, timeout_ms, timeout_ms)
    )
    try:
        return await events.get()
    finally:
        await client.close()


@pytest.fixture
def listener() -> Iterator[socket.socket]:
    with socket.socket() as bound:
        bound.bind(("127.0.0.1", 0))
        yield bound


def failure_kind(event: Event) -> FailureKind:
    assert isinstance(event, AttemptFailed)
    return event.kind


def test_refused_connection_is_unsent(listener: socket.socket) -> None:
    """Guards against a request that is not retried although no server has received it."""
    port = listener.getsockname()[1]
    assert failure_kind(asyncio.run(run_on_port(port))) is FailureKind.UNSENT


def test_full_backlog_is_unsent(listener: socket.socket) -> None:
    """Guards against a connect timeout that counts as a request that may have run."""
    listener.listen(0)
    waiting = [socket.socket() for _ in range(4)]
    for client in waiting:
        client.setblocking(False)
        client.connect_ex(listener.getsockname())
    event = asyncio.run(run_on_port(listener.getsockname()[1], connect_ms=100))
    for client in waiting:
        client.close()
    assert failure_kind(event) is FailureKind.UNSENT


@pytest.mark.parametrize("read_bytes", [0, 1, 100_000])
@pytest.mark.parametrize("body", [{}, LARGE_BODY])
def test_reset_after_accept_is_lost(
    listener: socket.socket, read_bytes: int, body: dict[str, Any]
) -> None:
    """Guards against a second run after a connection was reset during the request."""
    listener.listen()

    def accept_and_reset() -> None:
        connection, _ = listener.accept()
        # Wait for the first byte: an earlier reset may fail the connect, which counts as UNSENT.
        connection.recv(1, socket.MSG_PEEK)
        received_bytes = 0
        while received_bytes < read_bytes and (
            data := connection.recv(min(65_536, read_bytes - received_bytes))
        ):
            received_bytes += len(data)
            if not body:
                break
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        connection.close()

    async def run() -> Event:
        server = asyncio.create_task(asyncio.to_thread(accept_and_reset))
        event = await run_on_port(listener.getsockname()[1], **body)
        await server
        return event

    assert failure_kind(asyncio.run(run())) is FailureKind.LOST


def test_no_response_after_accept_is_timed_out(listener: socket.socket) -> None:
    """Guards against an unanswered request that counts as one that was never sent."""
    listener.listen()
    event = asyncio.run(run_on_port(listener.getsockname()[1], timeout_ms=2_000))
    assert failure_kind(event) is FailureKind.TIMED_OUT


@pytest.mark.parametrize("score", ["nan", "1.5", None, True, [], float("nan"), float("inf")])
def test_score_that_is_not_a_number_makes_an_answer_bad(score: object) -> None:
    """Guards against NaN scores, which would make each instance merge hits in another order."""
    hit = {"score": score, "shard": "a/0", "id": "a/0#1"}
    answer = {"snapshot": "1-a", "shards": ["a/0"], "hits": [hit]}
    event = parse_search_answer(0.0, 1, answer)
    assert isinstance(event, AttemptFailed)
    assert event.kind is FailureKind.BAD_ANSWER


def test_search_that_needs_a_fresh_connection_uses_no_pooled_one() -> None:
    """Guards against a search on a pooled connection that may be half-open."""
    connections: list[object] = []

    async def on_search(request: web.Request) -> web.Response:
        connections.append(request.transport)
        return web.json_response({"snapshot": "1-a", "shards": ["a/0"], "hits": []})

    async def scenario() -> None:
        app = web.Application()
        app.router.add_post("/search", on_search)
        runner = web.AppRunner(app)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        address = f"127.0.0.1:{runner.addresses[0][1]}"
        events: asyncio.Queue[Event] = asyncio.Queue()
        client = UpstreamClient(Harness().settings, Clock(), events.put_nowait)
        for number, fresh in enumerate((False, True, False)):
            client.send_search(
                SendSearch(
                    number, "w", "s1", address, "a", "1-a", "q", 5, None, 2_000, 2_000, fresh
                )
            )
            await asyncio.wait_for(events.get(), 5)
        await client.close()
        await runner.cleanup()

    asyncio.run(scenario())
    assert connections[0] is connections[2]
    assert connections[0] is not connections[1]
