"""Tests of the request rate towards the platform, in virtual time."""

from __future__ import annotations

import asyncio
import random
import selectors
from bisect import bisect_left
from typing import TYPE_CHECKING, Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.harness import Harness
from turmerictiller.borders.platform_client import WATCH_MS, PlatformClient
from turmerictiller.clock import Clock
from turmerictiller.config import Settings
from turmerictiller.core.events import Event, NoteSeen, PlatformFailed
from turmerictiller.errors import ConfigError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

RUN_S = 120.0
WATCH_S = WATCH_MS / 1000
FLEET_SIZE = 650
MAX_REQUESTS_PER_S = 2_000
MAX_REQUESTS = 300  # fails a watch that polls without a pause

Answer = dict[str, Any] | PlatformFailed | None


class _VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop with virtual time, which advances only while no callback is ready."""

    def __init__(self) -> None:
        self.now = 1_000.0
        selector = selectors.DefaultSelector()
        select = selector.select

        def skip(timeout: float | None = None) -> list[Any]:
            self.now += timeout or 0.0
            return select(0)

        selector.select = skip  # type: ignore[method-assign,assignment]
        super().__init__(selector)

    def time(self) -> float:
        return self.now


def watch(answer: Callable[[int], Awaitable[Answer]]) -> tuple[list[float], list[Event]]:
    """Return the times of a client's requests for the note, and its events.

    :param answer: returns the answer of the platform to the request with this number.
    """
    request_times: list[float] = []
    events: list[Event] = []
    loop = _VirtualLoop()

    async def read(key: str, revision: int) -> Answer:
        if key != "note":
            await asyncio.sleep(RUN_S)
            return None
        request_times.append(loop.time())
        assert len(request_times) < MAX_REQUESTS
        return await answer(len(request_times))

    async def run() -> None:
        settings = Harness(platform_address="127.0.0.1:1").settings
        client = PlatformClient(settings, Clock(), events.append)
        client._read = read  # type: ignore[method-assign,assignment]
        client.start()
        await asyncio.sleep(RUN_S)
        await client.close()

    try:
        loop.run_until_complete(run())
    finally:
        loop.close()
    return request_times, events


def peak_rate(request_times: list[float]) -> int:
    """Return the maximum number of requests that start within one second."""
    return max(
        bisect_left(request_times, at + 1 - 1e-6) - index for index, at in enumerate(request_times)
    )


@given(st.integers(0, 2**32))
def test_a_fleet_stays_within_the_platform_rate(seed: int) -> None:
    """Guards against polling without a pause when the platform answers immediately."""
    rng = random.Random(seed)
    slowest_s = rng.choice([0.0, 0.2, 2.0])

    async def answer(number: int) -> Answer:
        await asyncio.sleep(rng.uniform(0.0, slowest_s))
        kinds: list[Answer] = [None, {"revision": number}, {"revision": 1}, PlatformFailed(1.0, "")]
        return rng.choice(kinds)

    request_times, _ = watch(answer)
    assert len(request_times) > 5
    assert peak_rate(request_times) * 2 * FLEET_SIZE <= MAX_REQUESTS_PER_S


def test_changes_are_read_immediately_after_a_long_poll() -> None:
    """Guards against a pause after a long poll, and one that is longer than the interval."""

    async def answer(number: int) -> Answer:
        await asyncio.sleep(WATCH_S if number % 2 else 0.0)
        return {"revision": number}

    request_times, events = watch(answer)
    gaps = [
        round(after - before, 3)
        for before, after in zip(request_times, request_times[1:], strict=False)
    ]
    assert set(gaps) == {WATCH_S, 1.0}
    assert sum(isinstance(event, NoteSeen) for event in events) == len(request_times) - 1


def test_failures_increase_the_backoff() -> None:
    """Guards against a fleet that polls a failing platform at the full rate."""

    async def answer(number: int) -> Answer:
        return PlatformFailed(1.0, "status 503")

    request_times, _ = watch(answer)
    assert request_times[-1] - request_times[-2] >= 4.0
    assert len(request_times) < RUN_S / 4


def test_interval_can_not_exceed_the_rate_of_the_platform() -> None:
    """Guards against an interval with which a whole fleet exceeds the rate of the platform."""
    min_interval_ms = Settings.model_fields["platform_interval_ms"].metadata[0].ge
    assert 2 * FLEET_SIZE / (min_interval_ms / 1000) <= MAX_REQUESTS_PER_S
    with pytest.raises((ConfigError, ValueError)):
        Harness(platform_interval_ms=min_interval_ms - 1)
