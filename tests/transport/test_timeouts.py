"""Tests of timeouts that do not count pauses of the process."""

from __future__ import annotations

import asyncio
import time

import pytest

from turmerictiller.transport.timeouts import (
    CATCH_UP_MS,
    PAUSE_THRESHOLD_MS,
    timeout_excluding_pauses,
)

TIMEOUT_MS = 50.0


def test_endless_body_times_out() -> None:
    """Guards against a wait that never ends."""

    async def scenario() -> float:
        started_at = time.monotonic()
        with pytest.raises(TimeoutError):
            async with timeout_excluding_pauses(TIMEOUT_MS):
                await asyncio.Event().wait()
        return (time.monotonic() - started_at) * 1000

    assert asyncio.run(scenario()) >= TIMEOUT_MS - 1


def test_endless_body_times_out_after_a_pause_too() -> None:
    """Guards against a timeout that never fires after a pause."""

    async def scenario() -> None:
        asyncio.get_running_loop().call_soon(
            time.sleep, (TIMEOUT_MS + 3 * PAUSE_THRESHOLD_MS) / 1000
        )
        with pytest.raises(TimeoutError):
            async with timeout_excluding_pauses(TIMEOUT_MS):
                await asyncio.Event().wait()

    asyncio.run(asyncio.wait_for(scenario(), 5))


def test_body_that_is_ready_after_a_pause_is_in_time() -> None:
    """Guards against answers that are discarded because the process was paused."""

    async def scenario() -> None:
        async with timeout_excluding_pauses(TIMEOUT_MS):
            time.sleep((TIMEOUT_MS + 3 * PAUSE_THRESHOLD_MS) / 1000)
            # Data that has arrived is delivered over several loop iterations.
            for _ in range(5):
                await asyncio.sleep(0)

    asyncio.run(scenario())


def test_finished_body_leaves_no_timer_behind() -> None:
    """Guards against an earlier timeout that ends a later wait of the same task."""

    async def scenario() -> None:
        async with timeout_excluding_pauses(TIMEOUT_MS):
            await asyncio.sleep(0)
        await asyncio.sleep((TIMEOUT_MS + 2 * CATCH_UP_MS) / 1000)

    asyncio.run(scenario())
