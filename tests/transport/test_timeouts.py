"""Tests of time limits beside pauses of the process."""

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


def test_body_that_never_ends_is_ended_at_its_limit() -> None:
    """Guards against a wait without end."""

    async def play() -> float:
        started_at = time.monotonic()
        with pytest.raises(TimeoutError):
            async with timeout_excluding_pauses(TIMEOUT_MS):
                await asyncio.Event().wait()
        return (time.monotonic() - started_at) * 1000

    assert asyncio.run(play()) >= TIMEOUT_MS - 1


def test_body_that_never_ends_is_ended_after_a_pause_too() -> None:
    """Guards against a limit that a pause puts off for ever."""

    async def play() -> None:
        asyncio.get_running_loop().call_soon(
            time.sleep, (TIMEOUT_MS + 3 * PAUSE_THRESHOLD_MS) / 1000
        )
        with pytest.raises(TimeoutError):
            async with timeout_excluding_pauses(TIMEOUT_MS):
                await asyncio.Event().wait()

    asyncio.run(asyncio.wait_for(play(), 5))


def test_what_is_ready_after_a_pause_of_the_process_is_in_time() -> None:
    """Guards against answers given up because the process itself did not run."""

    async def play() -> None:
        async with timeout_excluding_pauses(TIMEOUT_MS):
            time.sleep((TIMEOUT_MS + 3 * PAUSE_THRESHOLD_MS) / 1000)
            # What arrived is handed on in several passes of the loop.
            for _ in range(5):
                await asyncio.sleep(0)

    asyncio.run(play())


def test_limit_leaves_no_timer_behind() -> None:
    """Guards against a later wait of the same task that an earlier limit ends."""

    async def play() -> None:
        async with timeout_excluding_pauses(TIMEOUT_MS):
            await asyncio.sleep(0)
        await asyncio.sleep((TIMEOUT_MS + 2 * CATCH_UP_MS) / 1000)

    asyncio.run(play())
