"""Tests of how often the platform is called, in virtual time."""

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
FLEET = 650
CALLS_PER_S = 2_000
MAX_CALLS = 300  # ends a watch that does not pause

Answer = dict[str, Any] | PlatformFailed | None


class _VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose time passes only while it has nothing to run."""

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
    """Return when a client called for the note, and its events.

    :param answer: what the platform answers to the call with this number.
    """
    calls: list[float] = []
    heard: list[Event] = []
    loop = _VirtualLoop()

    async def read(key: str, revision: int) -> Answer:
        if key != "note":
            await asyncio.sleep(RUN_S)
            return None
        calls.append(loop.time())
        assert len(calls) < MAX_CALLS
        return await answer(len(calls))

    async def run() -> None:
        settings = Harness(platform_address="127.0.0.1:1").settings
        client = PlatformClient(settings, Clock(), heard.append)
        client._read = read  # type: ignore[method-assign,assignment]
        client.start()
        await asyncio.sleep(RUN_S)
        await client.close()

    try:
        loop.run_until_complete(run())
    finally:
        loop.close()
    return calls, heard


def busiest_second(calls: list[float]) -> int:
    """Return the most calls that start within one second."""
    return max(bisect_left(calls, at + 1 - 1e-6) - first for first, at in enumerate(calls))


@given(st.integers(0, 2**32))
def test_a_fleet_stays_within_the_platform_rate(seed: int) -> None:
    """Guards against reads without pause when the platform answers at once, whatever it says."""
    rng = random.Random(seed)
    slowest_s = rng.choice([0.0, 0.2, 2.0])

    async def answer(number: int) -> Answer:
        await asyncio.sleep(rng.uniform(0.0, slowest_s))
        kinds: list[Answer] = [None, {"revision": number}, {"revision": 1}, PlatformFailed(1.0, "")]
        return rng.choice(kinds)

    calls, _ = watch(answer)
    assert len(calls) > 5
    assert busiest_second(calls) * 2 * FLEET <= CALLS_PER_S


def test_changes_are_read_at_once_after_a_long_wait() -> None:
    """Guards against a pause after every answer, and against one that outlasts the interval."""

    async def answer(number: int) -> Answer:
        await asyncio.sleep(WATCH_S if number % 2 else 0.0)
        return {"revision": number}

    calls, heard = watch(answer)
    gaps = [round(after - before, 3) for before, after in zip(calls, calls[1:], strict=False)]
    assert set(gaps) == {WATCH_S, 1.0}
    assert sum(isinstance(event, NoteSeen) for event in heard) == len(calls) - 1


def test_failures_are_followed_by_longer_waits() -> None:
    """Guards against a fleet that calls a failing platform at the full rate."""

    async def answer(number: int) -> Answer:
        return PlatformFailed(1.0, "status 503")

    calls, _ = watch(answer)
    assert calls[-1] - calls[-2] >= 4.0
    assert len(calls) < RUN_S / 4


def test_interval_can_not_break_the_rate_of_the_fleet() -> None:
    """Guards against a setting with which a whole fleet exceeds the platform's rate."""
    least = Settings.model_fields["platform_interval_ms"].metadata[0].ge
    assert 2 * FLEET / (least / 1000) <= CALLS_PER_S
    with pytest.raises((ConfigError, ValueError)):
        Harness(platform_interval_ms=least - 1)
