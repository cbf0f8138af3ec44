"""Tests of the structured log."""

from __future__ import annotations

import asyncio
import os
import time
from typing import TYPE_CHECKING

import orjson

from turmerictiller.clock import Clock
from turmerictiller.transport.decision_log import (
    MAX_BUFFER_BYTES,
    MAX_LINES_PER_S,
    MAX_URGENT_LINES_PER_S,
    DecisionLog,
)

if TYPE_CHECKING:
    from collections.abc import Callable


class FakeClock(Clock):
    """A clock that a test sets manually."""

    now = 5_000.0

    def now_ms(self) -> float:
        return self.now


def run_scenario(scenario: Callable[[DecisionLog, FakeClock], None]) -> tuple[DecisionLog, int]:
    """Run a scenario on a log that nobody reads; return the log and the pipe's read end."""
    reader, writer = os.pipe()

    async def run() -> DecisionLog:
        clock = FakeClock()
        log = DecisionLog(clock, "e1", writer)
        scenario(log, clock)
        log.flush()
        return log

    log = asyncio.run(run())
    os.close(writer)
    return log, reader


def read_lines(reader: int) -> list[dict[str, object]]:
    """Return all lines written to the pipe."""
    with os.fdopen(reader, "rb") as file:
        return [orjson.loads(line) for line in file.read().splitlines()]


def test_stalled_reader_blocks_nothing_and_memory_stays_bounded() -> None:
    """Guards against a stalled log collector that blocks an instance."""

    def scenario(log: DecisionLog, clock: FakeClock) -> None:
        for _ in range(200):
            clock.now += 1_000
            for _ in range(100):
                log.write("request_ended", {"text": "x" * 200})
            log.flush()
        assert len(log._buffer) <= MAX_BUFFER_BYTES

    started_at = time.monotonic()
    log, reader = run_scenario(scenario)
    assert time.monotonic() - started_at < 5
    assert log.dropped_total > 10_000
    os.close(reader)


def test_lines_above_the_rate_limit_are_dropped_and_counted() -> None:
    """Guards against logging that costs more than the requests, and against unreported loss."""

    def scenario(log: DecisionLog, clock: FakeClock) -> None:
        for _ in range(10 * MAX_LINES_PER_S):
            log.write("request_ended", {})
        clock.now += 1_000
        log.write("request_ended", {})

    log, reader = run_scenario(scenario)
    lines = read_lines(reader)
    assert len(lines) == MAX_LINES_PER_S + 2
    assert lines[-2]["event"] == "lines_dropped"
    assert lines[-2]["lines"] == 9 * MAX_LINES_PER_S
    assert log.dropped_total == 9 * MAX_LINES_PER_S


def test_urgent_lines_are_dropped_last() -> None:
    """Guards against many request lines that displace urgent ones."""

    def scenario(log: DecisionLog, clock: FakeClock) -> None:
        for _ in range(MAX_LINES_PER_S + 50):
            log.write("request_ended", {})
        for _ in range(MAX_URGENT_LINES_PER_S):
            log.write("server_ejected", {}, urgent=True)

    _, reader = run_scenario(scenario)
    events = [line["event"] for line in read_lines(reader)]
    assert events.count("server_ejected") == MAX_URGENT_LINES_PER_S - MAX_LINES_PER_S


def test_closed_output_does_not_stop_the_process() -> None:
    """Guards against an instance that stops when its log collector does."""
    reader, writer = os.pipe()
    os.close(reader)

    async def run() -> None:
        log = DecisionLog(FakeClock(), "e1", writer)
        log.write("request_ended", {})
        log.flush()
        assert log.dropped_total == 1

    asyncio.run(run())
    os.close(writer)
