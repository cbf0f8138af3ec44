"""Detection of answers that stall.

How long an answer takes depends on its size and on what else the link carries. A limit on the total
time would cut off every large answer on a small link, and each retry would start from its first
byte. An answer is therefore given up when too little of it arrives, not when it takes long.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from turmerictiller.transport.timeouts import CATCH_UP_MS, PAUSE_THRESHOLD_MS

if TYPE_CHECKING:
    from collections.abc import Callable

    from turmerictiller.clock import Millis
    from turmerictiller.transport.http_client import HttpExchange

STALL_INTERVAL_MS = 1_000.0
# Less than this in an interval is a stall: 0.13 Mbit/s, a fraction of any link of a deployment.
MIN_PROGRESS_BYTES = 16_384


def call_on_stall(exchange: HttpExchange, timeout_ms: Millis, on_stall: Callable[[], None]) -> None:
    """Call a function if an answer does not begin in time or stalls later, not counting pauses.

    :param timeout_ms: time until the first bytes of the answer.
    """
    loop = asyncio.get_running_loop()

    def schedule(delay_ms: Millis, min_bytes: int) -> None:
        due_at = loop.time() + delay_ms / 1000
        loop.call_at(due_at, check, due_at, exchange.received_bytes + min_bytes)

    def check(due_at: float, expected_bytes: int) -> None:
        if exchange.ended:
            return
        now = loop.time()
        if now - due_at > PAUSE_THRESHOLD_MS / 1000:
            # Data that arrived while the process was paused has not been read yet.
            loop.call_at(now + CATCH_UP_MS / 1000, finish, expected_bytes)
        else:
            finish(expected_bytes)

    def finish(expected_bytes: int) -> None:
        if exchange.ended:
            return
        if exchange.received_bytes < expected_bytes:
            on_stall()
        else:
            schedule(STALL_INTERVAL_MS, MIN_PROGRESS_BYTES)

    schedule(timeout_ms, 1)
