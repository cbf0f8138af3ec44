"""Tests of what callers send wrong, with real sockets."""

from __future__ import annotations

import asyncio
import socket
import struct
from typing import Any

import pytest

from tests.serving import Served, post, read_answer, search, serving, until
from turmerictiller.errors import HTTP_STATUS_BY_REFUSAL, RefusalType
from turmerictiller.events import SearchArrived

SEARCH = "/v1/fronts/booking/search"
GOOD = {"query": "velvet"}


def _raw(*lines: str) -> bytes:
    return "\r\n".join([*lines, "", ""]).encode()


def _run_body(value: bytes) -> bytes:
    raw = b'{"ticket":"t","action":"pickup","body":{"a":' + value + b"}}"
    return post("/v1/fronts/booking/run", raw)


CASES: dict[str, tuple[bytes, str]] = {
    "not JSON": (post(SEARCH, b"{"), "bad_request"),
    "NaN": (post(SEARCH, b'{"query":"a","deadline_ms":NaN}'), "bad_request"),
    "infinity": (post(SEARCH, b'{"query":"a","deadline_ms":1e999}'), "bad_request"),
    "huge number": (post(SEARCH, b'{"query":"a","k":' + b"9" * 400 + b"}"), "bad_request"),
    "large integer": (post(SEARCH, {"query": "a", "k": 10**19}), "bad_request"),
    "nested": (post(SEARCH, b"[" * 9_000 + b"]" * 9_000), "bad_request"),
    "nested within limits of the reader": (_run_body(b"[" * 99 + b"]" * 99), "bad_request"),
    "number that would change": (_run_body(b"12345678901234567890123"), "bad_request"),
    "unknown field": (post(SEARCH, {**GOOD, "x": 1}), "bad_request"),
    "wrong type": (post(SEARCH, {"query": 1}), "bad_request"),
    "k zero": (post(SEARCH, {**GOOD, "k": 0}), "bad_request"),
    "k too large": (post(SEARCH, {**GOOD, "k": 101}), "bad_request"),
    "deadline too long": (post(SEARCH, {**GOOD, "deadline_ms": 5_001}), "bad_request"),
    "deadline below zero": (post(SEARCH, {**GOOD, "deadline_ms": -1}), "bad_request"),
    "no body": (post(SEARCH, b""), "bad_request"),
    "unknown front": (post("/v1/fronts/none/search", GOOD), "unknown_front"),
    "wrong path": (post("/v2", GOOD), "not_found"),
    "wrong method": (_raw(f"GET {SEARCH} HTTP/1.1", "Host: x"), "method_not_allowed"),
    "wrong type of content": (
        post(SEARCH, GOOD, "Content-Type: text/plain"),
        "unsupported_media_type",
    ),
    "compressed": (post(SEARCH, GOOD, "Content-Encoding: gzip"), "unsupported_media_type"),
    "expectation": (post(SEARCH, GOOD, "Expect: cake"), "expectation_failed"),
    "too large": (post(SEARCH, b"x" * 70_000), "body_too_large"),
    "too large by its length": (
        _raw(f"POST {SEARCH} HTTP/1.1", "Host: x", "Content-Length: 9999999"),
        "body_too_large",
    ),
    "too large in chunks": (
        _raw(f"POST {SEARCH} HTTP/1.1", "Host: x", "Transfer-Encoding: chunked")
        + b"11170\r\n"
        + b"x" * 70_000
        + b"\r\n",
        "body_too_large",
    ),
    "bad chunk": (
        _raw(f"POST {SEARCH} HTTP/1.1", "Host: x", "Transfer-Encoding: chunked") + b"zz\r\n",
        "malformed_http",
    ),
    "not HTTP": (b"\x16\x03\x01\x00hello\r\n\r\n", "malformed_http"),
    "bad header": (_raw("GET /health HTTP/1.1", "Host: x", "a b: c"), "malformed_http"),
    "long request line": (_raw(f"GET /{'a' * 20_000} HTTP/1.1", "Host: x"), "headers_too_large"),
    "long header": (_raw("GET /health HTTP/1.1", f"a: {'b' * 20_000}"), "headers_too_large"),
    "many headers": (
        _raw("GET /health HTTP/1.1", *[f"a{number}: b" for number in range(200)]),
        "headers_too_large",
    ),
    "many long headers": (
        _raw("GET /health HTTP/1.1", "Host: x", *[f"a{n}: {'b' * 1_000}" for n in range(20)]),
        "headers_too_large",
    ),
    "endless header": (b"GET /health HTTP/1.1\r\n" + b"a: b\r\n" * 3_000, "headers_too_large"),
    "run without ticket": (post("/v1/fronts/booking/run", {}), "ticket_required"),
}


def test_bad_input_gets_a_typed_refusal_and_touches_nothing_else() -> None:
    """Guards against bad input answered in another form, not counted, or costing a connection."""

    async def run() -> None:
        async with serving() as served:
            for name, (raw, error) in CASES.items():
                before = _counted(served, error)
                status, headers, body = await served.call(raw)
                assert (name, body["error"]) == (name, error)
                assert status == HTTP_STATUS_BY_REFUSAL[RefusalType(error)]
                assert headers["content-type"].startswith("application/json")
                assert body["ran"] == "no"
                assert "retry_after_ms" in body
                assert (name, _counted(served, error)) == (name, before + 1)
            assert (await served.call(search()))[0] == 200
            await until(lambda: not served.app.callers.listener.connections)
            assert not served.app.state.searches_by_id

    asyncio.run(run())


def _counted(served: Served, error: str) -> int:
    name = f"refusals.{error}"
    return served.app.callers.counters[name] + served.app.state.counters[name]


@pytest.mark.parametrize(
    ("raw", "error"),
    [
        (b"GET /health HTTP/1.1\r\nHost:", "timed_out_reading"),
        (_raw(f"POST {SEARCH} HTTP/1.1", "Host: x", "Content-Length: 9"), "timed_out_reading"),
    ],
)
def test_slow_sender_is_refused_in_time(raw: bytes, error: str) -> None:
    """Guards against connections held for good by headers or bodies that never end."""

    async def run() -> None:
        async with serving(read_timeout_ms=50) as served:
            reader, writer = await served.connect()
            writer.write(raw)
            status, headers, body = await read_answer(reader)
            assert (status, body["error"], headers["connection"]) == (408, error, "close")
            assert await reader.read() == b""
            writer.close()

    asyncio.run(run())


def test_slow_header_is_refused_although_bytes_keep_coming() -> None:
    """Guards against a header timer that each byte starts anew."""

    async def run() -> None:
        async with serving(read_timeout_ms=100) as served:
            reader, writer = await served.connect()
            answer = asyncio.create_task(read_answer(reader))
            writer.write(b"GET /health HTTP/1.1\r\n")
            while not answer.done():
                writer.write(b"a: b\r\n")
                await asyncio.sleep(0.01)
            assert answer.result()[2]["error"] == "timed_out_reading"
            writer.close()

    asyncio.run(run())


def test_connection_beyond_the_bound_is_refused() -> None:
    """Guards against connections without bound, and a bound that never frees up."""

    async def run() -> None:
        async with serving(max_caller_connections=2) as served:
            writers = [(await served.connect())[1] for _ in range(2)]
            await until(lambda: len(served.app.callers.listener.connections) == 2)
            status, headers, body = await served.call(b"")
            assert (status, body["error"]) == (503, "too_many_connections")
            assert headers["retry-after"] == "1"
            for writer in writers:
                writer.close()
            await until(lambda: not served.app.callers.listener.connections)
            assert (await served.call(search()))[0] == 200

    asyncio.run(run())


@pytest.mark.parametrize("is_reset", [False, True])
def test_caller_gone_cancels_its_upstream_calls(is_reset: bool) -> None:
    """Guards against upstream work for a caller that has left."""

    async def run() -> None:
        async with serving() as served:
            _slow_down(served)
            _, writer = await served.connect()
            writer.write(search())
            await until(lambda: sum(item.busy for item in served.upstreams) == 2)
            if is_reset:
                linger = struct.pack("ii", 1, 0)
                sock = writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()
            await until(lambda: sum(item.cancelled for item in served.upstreams) == 2)
            # At its deadline the search would cancel its calls as well.
            assert served.app.state.counters["searches.caller_gone"] == 1
            assert not served.app.state.attempts_by_id

    asyncio.run(run())


def _slow_down(served: Served, service_ms: float = 3_600_000.0) -> None:
    for item in served.upstreams:
        item.behaviour.service_ms = service_ms


@pytest.mark.parametrize(
    ("raw", "error", "ran"),
    [
        (search(), "half_closed", "maybe"),
        (search()[:-3], "malformed_http", "no"),
        (b"GET /health HTTP/1.1\r\nHost:", "malformed_http", "no"),
    ],
)
def test_half_closed_connection_is_answered(raw: bytes, error: str, ran: str) -> None:
    """Guards against a caller without an answer, or a search that runs on for it."""

    async def run() -> None:
        async with serving() as served:
            _slow_down(served)
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

    asyncio.run(run())


def test_fault_in_the_reducer_ends_one_call(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against an exception that ends the process or leaves callers without an answer."""
    from turmerictiller import application

    reduce = application.reduce

    def faulty(state: Any, event: Any) -> Any:
        effects = reduce(state, event)
        if isinstance(event, SearchArrived) and event.query == "fault":
            state.out = effects
            raise ZeroDivisionError
        if isinstance(event, SearchArrived) and event.query == "lose all":
            state.searches_by_id.clear()
            raise ZeroDivisionError
        return effects

    async def run() -> None:
        async with serving() as served:
            monkeypatch.setattr(application, "reduce", faulty)
            status, _, body = await served.call(search(query="fault"))
            assert (status, body["error"], body["ran"]) == (500, "internal", "maybe")
            assert (await served.call(search()))[0] == 200
            _slow_down(served)
            waiting = asyncio.create_task(served.call(search()))
            await until(lambda: served.app.state.searches_by_id)
            assert (await served.call(search(query="lose all")))[2]["error"] == "internal"
            assert served.app.callers.counters["refusals.internal"] == 3
            assert (await waiting)[2]["error"] == "internal"
            assert not served.run.done()

    asyncio.run(run())
