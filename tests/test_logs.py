"""Tests of the rate and size limits of logs."""

from __future__ import annotations

import os
import sys
from typing import Any

import eliot
import orjson
import pytest

from turmerictiller import logs
from turmerictiller.logs import MAX_KEYS, MAX_LINE_BYTES, WINDOW_S, LogLimiter, part_logger


@pytest.fixture
def lines(monkeypatch: pytest.MonkeyPatch) -> list[dict[str, Any]]:
    """Return the list of logged messages."""
    messages: list[dict[str, Any]] = []
    monkeypatch.setattr(
        eliot,
        "log_message",
        lambda message_type, **fields: messages.append({"t": message_type, **fields}),
    )
    return messages


def test_equal_messages_are_rate_limited(lines: list[dict[str, Any]]) -> None:
    """Guards against logs that fill a disk or pipe, and lines dropped without a count."""
    now = [0.0]
    log = part_logger("search", LogLimiter(3, 5, lambda: now[0]))
    for number in range(1_000):
        log(f"Attempt {number} failed.")
    assert [line["message"] for line in lines] == [f"Attempt {i} failed." for i in range(3)]
    assert lines[0]["t"] == "tiller.search"
    for text in "abcdefgh":
        log(text)
    assert [line["message"] for line in lines[3:]] == ["a", "b"]
    assert lines[3]["suppressed"] == 997
    now[0] = WINDOW_S
    log("a")
    assert lines[-1]["suppressed"] == 6


def test_keys_and_lines_are_limited(lines: list[dict[str, Any]]) -> None:
    """Guards against unlimited memory for distinct messages, and very large fields."""
    limiter = LogLimiter(10, 10**9, lambda: 0.0)
    log = part_logger("search", limiter)
    for number in range(MAX_KEYS + 50):
        log("x" + chr(0x4E00 + number), field="y" * 100_000, items=["z"] * 100_000, bad="\ud800")
    assert len(limiter.lines_by_key) == MAX_KEYS
    assert all(len(orjson.dumps(line)) < MAX_LINE_BYTES for line in lines)


def test_full_pipe_does_not_block(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a reader of standard error that stops reading and blocks the process."""
    read_end, write_end = os.pipe()
    with os.fdopen(write_end, "w") as stream:
        monkeypatch.setattr(sys, "stderr", stream)
        logs._write({"message": "first", **dict.fromkeys("abcdefghij", "x" * 1_000)})
        line = os.read(read_end, 65_536)
        assert orjson.loads(line)["message"] == "first"
        assert len(line) <= MAX_LINE_BYTES
        monkeypatch.setattr(logs, "_limiter", LogLimiter())
        for _ in range(2_000):
            logs._write({"message": "x" * 200})
        dropped = logs._limiter.suppressed
        assert dropped > 0
        os.close(read_end)
        logs._write({"message": "nobody reads"})
        assert logs._limiter.suppressed == dropped + 1
