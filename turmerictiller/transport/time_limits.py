"""Time limits that leave out the time in which the process itself did not run."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from turmerictiller.clock import Millis

# A loop under load runs its timers a few milliseconds late, and one that did not run for longer has
# not seen what arrived meanwhile.
PAUSE_MS = 20.0
# Time to see it. A connection that is open needs several passes of the loop.
CATCH_UP_MS = 20.0


@asynccontextmanager
async def time_limit(limit_ms: Millis) -> AsyncIterator[None]:
    """Raise :class:`TimeoutError` if the body takes longer, pauses of the process left out.

    :param limit_ms: time for the body, in ms.
    """
    loop = asyncio.get_running_loop()
    due_at = loop.time() + limit_ms / 1000

    def expire() -> None:
        now = loop.time()
        is_late = now - due_at > PAUSE_MS / 1000
        limit.reschedule(now + CATCH_UP_MS / 1000 if is_late else now)

    timer = loop.call_at(due_at, expire)
    try:
        async with asyncio.timeout(None) as limit:
            yield
    finally:
        timer.cancel()
