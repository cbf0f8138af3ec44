"""Tests of the client towards upstreams, over real sockets."""

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

RESET = struct.pack("ii", 1, 0)
LARGE_BODY = {"text": "x" * 30_000_000}


async def run_at(
    port: int, timeout_ms: float = 30_000, connect_ms: float = 30_000, **body: Any
) -> Event:
    """Send one run request and return what the client says of it."""
    heard: asyncio.Queue[Event] = asyncio.Queue()
    settings = Harness(run_connect_timeout_ms=connect_ms).settings
    client = UpstreamClient(settings, Clock(), heard.put_nowait)
    address = f"127.0.0.1:{port}"
    client.send_run(
        SendRun(1, "a1-1", "s1", address, "jobs-0", "pickup", body, timeout_ms, timeout_ms)
    )
    try:
        return await heard.get()
    finally:
        await client.close()


@pytest.fixture
def listener() -> Iterator[socket.socket]:
    with socket.socket() as bound:
        bound.bind(("127.0.0.1", 0))
        yield bound


def kind_of(event: Event) -> FailureKind:
    assert isinstance(event, AttemptFailed)
    return event.kind


def test_port_that_nobody_listens_on_is_unsent(listener: socket.socket) -> None:
    """Guards against a request that is given up although another server could run it."""
    port = listener.getsockname()[1]
    assert kind_of(asyncio.run(run_at(port))) is FailureKind.UNSENT


def test_full_backlog_is_unsent(listener: socket.socket) -> None:
    """Guards against a connection that never opens and counts as a request that may have run."""
    listener.listen(0)
    waiting = [socket.socket() for _ in range(4)]
    for client in waiting:
        client.setblocking(False)
        client.connect_ex(listener.getsockname())
    event = asyncio.run(run_at(listener.getsockname()[1], connect_ms=100))
    for client in waiting:
        client.close()
    assert kind_of(event) is FailureKind.UNSENT


@pytest.mark.parametrize("read_bytes", [0, 1, 100_000])
@pytest.mark.parametrize("body", [{}, LARGE_BODY])
def test_reset_after_accept_is_lost(
    listener: socket.socket, read_bytes: int, body: dict[str, Any]
) -> None:
    """Guards against a second run after a connection that broke while it was written to."""
    listener.listen()

    def accept_and_reset() -> None:
        connection, _ = listener.accept()
        # A reset before the first byte can end the opening of the connection, which is UNSENT.
        connection.recv(1, socket.MSG_PEEK)
        got = 0
        while got < read_bytes and (data := connection.recv(min(65_536, read_bytes - got))):
            got += len(data)
            if not body:
                break
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        connection.close()

    async def run() -> Event:
        server = asyncio.create_task(asyncio.to_thread(accept_and_reset))
        event = await run_at(listener.getsockname()[1], **body)
        await server
        return event

    assert kind_of(asyncio.run(run())) is FailureKind.LOST


def test_silence_after_accept_is_timed_out(listener: socket.socket) -> None:
    """Guards against a server that never answers and counts as one that never got the request."""
    listener.listen()
    event = asyncio.run(run_at(listener.getsockname()[1], timeout_ms=2_000))
    assert kind_of(event) is FailureKind.TIMED_OUT


@pytest.mark.parametrize("score", ["nan", "1.5", None, True, [], float("nan"), float("inf")])
def test_score_that_is_no_number_makes_an_answer_bad(score: object) -> None:
    """Guards against hits without an order, which would merge differently on each instance."""
    hit = {"score": score, "shard": "a/0", "id": "a/0#1"}
    answer = {"snapshot": "1-a", "shards": ["a/0"], "hits": [hit]}
    event = parse_search_answer(0.0, 1, answer)
    assert isinstance(event, AttemptFailed)
    assert event.kind is FailureKind.BAD_ANSWER


def test_search_that_needs_a_fresh_connection_uses_no_kept_one() -> None:
    """Guards against a search on a kept connection that has gone silent."""
    connections: list[object] = []

    async def on_search(request: web.Request) -> web.Response:
        connections.append(request.transport)
        return web.json_response({"snapshot": "1-a", "shards": ["a/0"], "hits": []})

    async def play() -> None:
        app = web.Application()
        app.router.add_post("/search", on_search)
        runner = web.AppRunner(app)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        address = f"127.0.0.1:{runner.addresses[0][1]}"
        heard: asyncio.Queue[Event] = asyncio.Queue()
        client = UpstreamClient(Harness().settings, Clock(), heard.put_nowait)
        for number, fresh in enumerate((False, True, False)):
            client.send_search(
                SendSearch(
                    number, "w", "s1", address, "a", "1-a", "q", 5, None, 2_000, 2_000, fresh
                )
            )
            await asyncio.wait_for(heard.get(), 5)
        await client.close()
        await runner.cleanup()

    asyncio.run(play())
    assert connections[0] is connections[2]
    assert connections[0] is not connections[1]
