"""Tests of the detection of stalled answers."""

from __future__ import annotations

import asyncio
import time

import pytest

from turmerictiller.transport import stalls
from turmerictiller.transport.http_client import HttpExchange
from turmerictiller.transport.stalls import MIN_PROGRESS_BYTES, call_on_stall

INTERVAL_MS = 40.0


def new_exchange() -> HttpExchange:
    """Return an exchange whose callbacks do nothing."""
    return HttpExchange(b"", lambda found, require_request_id: True, lambda found: None, print)


async def stalled_after_ms(bytes_per_interval: int, intervals: int) -> float | None:
    """Receive bytes for some intervals; return when the answer stalled, or ``None``."""
    exchange = new_exchange()
    stalled_at: list[float] = []
    started_at = time.monotonic()
    call_on_stall(exchange, INTERVAL_MS, lambda: stalled_at.append(time.monotonic()))
    for _ in range(4 * intervals):
        exchange.received_bytes += bytes_per_interval // 4
        await asyncio.sleep(INTERVAL_MS / 4_000)
    exchange.ended = True
    await asyncio.sleep(2 * INTERVAL_MS / 1000)
    assert len(stalled_at) <= 1
    return (stalled_at[0] - started_at) * 1000 if stalled_at else None


@pytest.fixture(autouse=True)
def _short_interval(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(stalls, "STALL_INTERVAL_MS", INTERVAL_MS)


def test_answer_that_takes_long_is_not_given_up() -> None:
    """Guards against a limit on the total time of a transfer."""
    assert asyncio.run(stalled_after_ms(4 * MIN_PROGRESS_BYTES, 10)) is None


@pytest.mark.parametrize("bytes_per_interval", [0, 400])
def test_answer_that_stalls_is_reported_once(bytes_per_interval: int) -> None:
    """Guards against a transfer that never ends because some bytes still arrive."""
    stalled_ms = asyncio.run(stalled_after_ms(bytes_per_interval, 10))
    assert stalled_ms is not None


def test_bytes_that_arrived_in_a_pause_of_the_process_count() -> None:
    """Guards against an answer that is given up because the process did not run."""

    async def scenario() -> None:
        exchange = new_exchange()
        stalled: list[bool] = []
        call_on_stall(exchange, INTERVAL_MS, lambda: stalled.append(True))
        await asyncio.sleep(0)
        time.sleep(4 * INTERVAL_MS / 1000)
        # The event loop reads the sockets after the timers that became due in the pause.
        asyncio.get_running_loop().call_later(0.005, setattr, exchange, "received_bytes", 1)
        await asyncio.sleep(INTERVAL_MS / 1000)
        assert not stalled
        exchange.ended = True

    asyncio.run(scenario())
