"""Tests of invalid requests and misbehaving callers, over real sockets."""

from __future__ import annotations

import asyncio
import socket
import struct
from typing import Any

import pytest

from tests.entry_instance import RunningInstance, on_instance, post, read_answer, search, until
from turmerictiller.borders import application
from turmerictiller.borders.callers import server as callers
from turmerictiller.core.events import SearchArrived
from turmerictiller.errors import HTTP_STATUS_BY_REFUSAL, RefusalType

SEARCH = "/v1/fronts/booking/search"
LENGTH = f"POST {SEARCH} HTTP/1.1\r\nHost: x\r\nContent-Length: ".encode()
CHUNKED = f"POST {SEARCH} HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n".encode()


def _get(*headers: str, path: str = "/health") -> bytes:
    return "\r\n".join([f"GET {path} HTTP/1.1", "Host: x", *headers, "", ""]).encode()


def _run(value: bytes) -> bytes:
    raw = b'{"ticket":"t","action":"pickup","body":{"a":' + value + b"}}"
    return post("/v1/fronts/booking/run", raw)


INVALID_FIELDS: list[dict[str, Any]] = [
    *[{"x": 1}, {"query": 1}, {"query": ""}, {"priority": "high"}],
    *[{"k": value} for value in (0, 101, 10**19, True, "1")],
    *[{"deadline_ms": value} for value in (0, -1, 5_001, "1")],
]
BAD_JSON = [
    *[b"", b"{", b'{"query":"a","deadline_ms":NaN}', b'{"query":"a","deadline_ms":1e999}'],
    *[b"[" * 9_000 + b"]" * 9_000, b'{"query":"a","k":' + b"9" * 400 + b"}"],
]
CASES: dict[str, list[bytes]] = {
    "bad_request": [
        *[search(**fields) for fields in INVALID_FIELDS],
        *[post(SEARCH, raw) for raw in BAD_JSON],
        # Both can be parsed, but not sent upstream unchanged.
        *[_run(b"[" * 99 + b"]" * 99), _run(b"12345678901234567890123")],
    ],
    "unknown_front": [post("/v1/fronts/none/search", {"query": "a"})],
    "not_found": [post("/v2", {})],
    "method_not_allowed": [_get(path=SEARCH)],
    "unsupported_media_type": [
        post(SEARCH, {}, "Content-Type: text/plain"),
        post(SEARCH, {}, "Content-Encoding: gzip"),
    ],
    "expectation_failed": [post(SEARCH, {}, "Expect: cake")],
    "body_too_large": [
        *[post(SEARCH, b"x" * 70_000), LENGTH + b"9999999\r\n\r\n"],
        CHUNKED + b"11170\r\n" + b"x" * 70_000 + b"\r\n",
    ],
    "malformed_http": [CHUNKED + b"zz\r\n", b"\x16\x03\x01\x00hello\r\n\r\n", _get("a b: c")],
    "headers_too_large": [
        *[_get(path="/" + "a" * 20_000), _get(f"a: {'b' * 20_000}"), _get(*["a: b"] * 200)],
        *[_get(*[f"a: {'b' * 1_000}"] * 20), _get()[:-2] + b"a: b\r\n" * 3_000],
        *[_get(*[f"a: {'b' * 1_000}"] * 20)[:-2], b"\r\n" * 9_000],
    ],
    "ticket_required": [post("/v1/fronts/booking/run", {})],
}


@pytest.mark.parametrize("error", CASES)
@on_instance()
async def test_invalid_input_gets_a_typed_refusal_and_affects_nothing_else(
    served: RunningInstance, error: str
) -> None:
    """Guards against invalid input whose refusal has no type or no count, and leaked sockets."""
    for count, raw in enumerate(CASES[error], start=1):
        status, headers, body = await served.call(raw)
        assert (raw[:200], body["error"]) == (raw[:200], error)
        assert status == HTTP_STATUS_BY_REFUSAL[RefusalType(error)]
        assert headers["content-type"] == "application/json"
        assert (body["ran"], body["retry_after_ms"]) == ("no", None)
        assert _refusal_count(served, error) == count
    assert (await served.call(search()))[0] == 200
    await until(lambda: not served.app.callers.listener.connections)
    assert not served.app.state.searches_by_id


def _refusal_count(served: RunningInstance, error: str) -> int:
    name = f"refusals.{error}"
    return served.app.callers.counters[name] + served.app.state.counters[name]


@pytest.mark.parametrize("raw", [_get()[:-2], LENGTH + b"9\r\n\r\n"])
@on_instance(read_timeout_ms=200)
async def test_slow_sender_is_refused_in_time(served: RunningInstance, raw: bytes) -> None:
    """Guards against connections held forever by headers or bodies that never end."""
    reader, writer = await served.connect()
    writer.write(raw)
    status, headers, body = await read_answer(reader)
    assert (status, body["error"]) == (408, "timed_out_reading")
    assert (headers["connection"], headers["retry-after"]) == ("close", "1")
    assert await reader.read() == b""
    writer.close()


@on_instance(read_timeout_ms=100)
async def test_slow_header_is_refused_although_bytes_keep_coming(served: RunningInstance) -> None:
    """Guards against a header timer that each byte restarts."""
    reader, writer = await served.connect()
    answer = asyncio.create_task(read_answer(reader))
    writer.write(b"GET /health HTTP/1.1\r\n")
    while not answer.done():
        writer.write(b"a: b\r\n")
        await asyncio.sleep(0.01)
    assert answer.result()[2]["error"] == "timed_out_reading"
    writer.close()


@on_instance(max_caller_connections=2)
async def test_connection_over_the_limit_is_refused(served: RunningInstance) -> None:
    """Guards against unlimited connections, and closed connections that still count as open."""
    writers = [(await served.connect())[1] for _ in range(2)]
    await until(lambda: len(served.app.callers.listener.connections) == 2)
    status, headers, body = await served.call(b"")
    assert (status, body["error"]) == (503, "too_many_connections")
    assert headers["retry-after"] == "1"
    for writer in writers:
        writer.close()
    await until(lambda: not served.app.callers.listener.connections)
    assert (await served.call(search()))[0] == 200


@on_instance(read_timeout_ms=200)
async def test_caller_that_reads_no_responses_is_disconnected(served: RunningInstance) -> None:
    """Guards against responses that are buffered without limit for a caller that does not read."""
    sock = socket.create_connection(("127.0.0.1", served.app.callers.listener.port))
    sock.setblocking(False)
    await until(lambda: served.app.callers.listener.connections)
    sending = asyncio.create_task(asyncio.get_running_loop().sock_sendall(sock, _get() * 400_000))
    await until(lambda: not served.app.callers.listener.connections)
    with pytest.raises(ConnectionError):
        await sending
    sock.close()


@pytest.mark.parametrize("is_reset", [False, True])
@on_instance()
async def test_caller_gone_cancels_its_upstream_calls(
    served: RunningInstance, is_reset: bool
) -> None:
    """Guards against upstream work for a caller that has disconnected."""
    served.set_service_time()
    _, writer = await served.connect()
    writer.write(search())
    await until(lambda: sum(item.busy for item in served.upstreams) == 2)
    if is_reset:
        linger = struct.pack("ii", 1, 0)
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()
    await until(lambda: sum(item.cancelled for item in served.upstreams) == 2)
    # The deadline of the search would cancel its calls too, so check the reason.
    assert served.app.state.counters["searches.caller_gone"] == 1
    assert not served.app.state.attempts_by_id


@pytest.mark.parametrize(
    ("raw", "error", "ran"),
    [
        (search(), "half_closed", "maybe"),
        (search()[:-3], "malformed_http", "no"),
        (_get()[:-2], "malformed_http", "no"),
    ],
)
@on_instance()
async def test_half_closed_connection_is_answered(
    served: RunningInstance, raw: bytes, error: str, ran: str
) -> None:
    """Guards against a half-closed connection without a response, or a search that continues."""
    served.set_service_time()
    reader, writer = await served.connect()
    writer.write(raw)
    if error == "half_closed":
        await until(lambda: sum(item.busy for item in served.upstreams) == 2)
    writer.write_eof()
    _, headers, body = await read_answer(reader)
    assert (body["error"], body["ran"], headers["connection"]) == (error, ran, "close")
    assert await reader.read() == b""
    writer.close()
    await until(lambda: not served.app.state.attempts_by_id)


@on_instance()
async def test_exception_in_the_reducer_fails_one_call(
    served: RunningInstance, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an exception that stops the process or leaves callers without a response."""
    reduce = application.reduce_recorded

    def failing_reduce(trace: Any, state: Any, event: Any) -> Any:
        state.out = reduce(trace, state, event)
        query = event.query if isinstance(event, SearchArrived) else ""
        if query == "lose all":
            state.searches_by_id.clear()
        if query in ("fault", "lose all"):
            raise ZeroDivisionError
        effects, state.out = state.out, []
        return [] if query == "forgotten" else effects

    monkeypatch.setattr(application, "reduce_recorded", failing_reduce)
    status, _, body = await served.call(search(query="fault"))
    assert (status, body["error"], body["ran"]) == (500, "internal", "maybe")
    assert (await served.call(search()))[0] == 200
    served.set_service_time()
    waiting = asyncio.create_task(served.call(search()))
    await until(lambda: served.app.state.searches_by_id)
    assert (await served.call(search(query="lose all")))[2]["error"] == "internal"
    assert served.app.callers.counters["refusals.internal"] == 3
    assert (await waiting)[2]["error"] == "internal"
    monkeypatch.setattr(callers, "ANSWER_SLACK_MS", -served.app.settings.max_deadline_ms)
    assert (await served.call(search(query="forgotten")))[2]["error"] == "internal"
    monkeypatch.setattr(served.app.callers, "_health", lambda: 1 / 0)
    assert (await served.call(_get()))[2]["error"] == "internal"
    assert not served.run.done()
