"""Tests of the load generator and of how usage is read."""

from __future__ import annotations

import asyncio
import time

import orjson
import pytest

from bench import load_caller, load_http
from bench.load_caller import Plan, Result, generate, record_answer, schedule, summary
from bench.load_http import split_answer
from bench.load_usage import parse_stat

BLOCKED_S = 0.02
FULL = {"coverage": {"merged": 40, "total": 40}}
HALF = {"coverage": {"merged": 20, "total": 40}}


def test_latency_counts_from_the_scheduled_time(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against coordinated omission: latency without the delay before sending."""

    async def slow_call(target: load_http.Target, raw: bytes) -> tuple[int, bytes]:
        if b"/health" not in raw:
            time.sleep(BLOCKED_S)  # blocks the event loop of the generator
        return 200, orjson.dumps(FULL)

    monkeypatch.setattr(load_http.Target, "call", slow_call)
    plan = Plan(["127.0.0.1:1"], "booking", 200.0, 0.1, 1, 100.0, "")
    result = asyncio.run(generate(plan))
    count = len(schedule(plan.rate, plan.seconds, plan.seed))
    assert result.counts["answered"] == count > 10
    assert result.latency.get_max_value() >= (count * BLOCKED_S - plan.seconds) * 1e6


def test_no_search_is_sent_to_an_instance_that_is_not_ready(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a generator that ignores /health, and against uncounted searches."""

    async def not_ready(target: load_http.Target, raw: bytes) -> tuple[int, bytes]:
        assert b"/health" in raw
        return 503, b"{}"

    monkeypatch.setattr(load_http.Target, "call", not_ready)
    result = asyncio.run(generate(Plan(["127.0.0.1:1"], "booking", 200.0, 0.1, 1, 100.0, "")))
    assert result.counts["not_sent"] == result.counts["scheduled"] > 10


def test_schedule_is_bounded_and_reproducible(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against arrivals at a wrong rate, without limit, or different for equal seeds."""
    times = schedule(100.0, 20.0, 7)
    assert times == schedule(100.0, 20.0, 7) != schedule(100.0, 20.0, 8)
    assert times == sorted(times)
    assert times[-1] < 20.0
    assert 1_800 < len(times) < 2_200
    monkeypatch.setattr(load_caller, "MAX_SEARCHES", 50)
    assert schedule(100.0, 20.0, 7) == times[:50]


def test_refusals_and_partial_answers_are_counted_separately() -> None:
    """Guards against refusals counted as fast answers, and against overstated coverage."""
    result = Result()
    record_answer(result, 0.5, 200, orjson.dumps(FULL))
    record_answer(result, 0.5, 200, orjson.dumps(HALF))
    record_answer(result, 0.001, 503, b'{"error": "overloaded"}')
    measured = summary(result, 1.0, 2.0)
    assert measured["counts"] == {"answered": 2, "partial": 1, "refused.overloaded": 1}
    assert measured["latency_ms"]["p50"] == pytest.approx(500, rel=0.01)
    assert (measured["coverage_mean"], measured["coverage_min"]) == (0.75, 0.5)


def test_answer_is_parsed_only_when_complete() -> None:
    """Guards against truncated answers, and against reuse of a connection that closes."""
    raw = b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\nConnection: close\r\n\r\n{"a"'
    assert all(split_answer(raw[:end]) is None for end in range(len(raw)))
    assert split_answer(raw) == (200, b'{"a"', False)
    assert split_answer(raw.replace(b"close", b"keep-alive")) == (200, b'{"a"', True)


def test_usage_is_read_after_a_process_name_with_brackets() -> None:
    """Guards against shifted fields if the process name contains spaces and brackets."""
    fields = ["S", *map(str, range(4, 53))]  # field n of proc(5) holds n
    usage = parse_stat(f"12 (a) b (c) {' '.join(fields)}")
    assert usage.cpu_s * 100 == pytest.approx(14 + 15)
    assert usage.resident_bytes == 24 * 4096
