"""Timeouts that do not count time during which the process was paused."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from turmerictiller.clock import Millis

# A loaded event loop runs its timers a few milliseconds late. A longer delay means that the process
# was paused and has not read the data that arrived in the meantime.
PAUSE_THRESHOLD_MS = 20.0
# Time to read that data. Completing an established connection takes several loop iterations.
CATCH_UP_MS = 20.0


@asynccontextmanager
async def timeout_excluding_pauses(timeout_ms: Millis) -> AsyncIterator[None]:
    """Raise :class:`TimeoutError` if the body runs too long, not counting pauses of the process.

    :param timeout_ms: time allowed for the body, in milliseconds.
    :raises TimeoutError: if the body does not finish in time.
    """
    loop = asyncio.get_running_loop()
    due_at = loop.time() + timeout_ms / 1000

    def expire() -> None:
        now = loop.time()
        is_late = now - due_at > PAUSE_THRESHOLD_MS / 1000
        timeout.reschedule(now + CATCH_UP_MS / 1000 if is_late else now)

    timer = loop.call_at(due_at, expire)
    try:
        async with asyncio.timeout(None) as timeout:
            yield
    finally:
        timer.cancel()
