"""HTTP client for the platform, with one long-polling watch per key.

Requests of one watch start at least ``platform_interval_ms`` apart, whatever the platform responds.
With the default of 1,000 ms, 650 instances with two watches each send at most
650 x 2 / 1 s = 1,300 requests/s of the 2,000/s that all readers share. The remaining 700/s cover
the first requests of 350 instances that start within the same second. The minimum of the setting,
650 ms, gives 650 x 2 / 0.65 s = 2,000 requests/s. A watch whose long poll lasted longer than the
interval polls again immediately, so this rate limit delays a change by at most one interval.
"""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Any

import aiohttp
import orjson

from turmerictiller.core.events import (
    Event,
    InstanceListSeen,
    ListedInstance,
    NoteSeen,
    PlatformFailed,
)
from turmerictiller.util.http_bodies import read_body

if TYPE_CHECKING:
    from collections.abc import Callable

    from turmerictiller.clock import Clock
    from turmerictiller.config import Settings

WATCH_MS = 30_000
WATCH_TIMEOUT_MARGIN_S = 5.0
INITIAL_BACKOFF_S = 0.25
MAX_BACKOFF_S = 8.0


class PlatformClient:
    """Watch the release note and the instance list on the platform."""

    def __init__(self, settings: Settings, clock: Clock, dispatch: Callable[[Event], None]) -> None:
        self._settings = settings
        self._clock = clock
        self._dispatch = dispatch
        self._tasks: list[asyncio.Task[None]] = []
        self._session: aiohttp.ClientSession | None = None
        self._rng = random.Random(settings.seed)

    def start(self) -> None:
        """Start the watches, if a platform address is configured."""
        if not self._settings.platform_address:
            return
        self._session = aiohttp.ClientSession()
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(self._watch("note", self._on_note)),
            loop.create_task(self._watch("instances", self._on_instances)),
        ]

    async def close(self) -> None:
        """Cancel the watches and close the session."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._session is not None:
            await self._session.close()

    async def _watch(self, key: str, on_value: Callable[[dict[str, Any]], None]) -> None:
        revision = 0
        backoff_s = INITIAL_BACKOFF_S
        loop = asyncio.get_running_loop()
        while True:
            next_at = loop.time() + self._settings.platform_interval_ms / 1000
            answer = await self._read(key, revision)
            if isinstance(answer, PlatformFailed):
                self._dispatch(answer)
                # Jitter half of the backoff, so that the instances do not all retry at once.
                await asyncio.sleep(backoff_s * (0.5 + self._rng.random() / 2))
                backoff_s = min(backoff_s * 2, MAX_BACKOFF_S)
            else:
                backoff_s = INITIAL_BACKOFF_S
                if answer is not None and answer["revision"] != revision:
                    revision = answer["revision"]
                    on_value(answer)
            await asyncio.sleep(max(0.0, next_at - loop.time()))

    async def _read(self, key: str, revision: int) -> dict[str, Any] | PlatformFailed | None:
        assert self._session is not None
        url = f"http://{self._settings.platform_address}/v1/{key}"
        timeout = aiohttp.ClientTimeout(total=WATCH_MS / 1000 + WATCH_TIMEOUT_MARGIN_S)
        query = {"after": str(revision), "wait_ms": str(WATCH_MS)}
        try:
            async with self._session.get(url, params=query, timeout=timeout) as response:
                if response.status == 204:
                    return None
                body = await read_body(response, 2 * self._settings.max_note_bytes)
                answer = orjson.loads(body)
                if response.status != 200 or not isinstance(answer.get("revision"), int):
                    return PlatformFailed(self._clock.now_ms(), f"status {response.status}")
                return dict(answer)
        except (
            aiohttp.ClientError,
            ConnectionError,
            TimeoutError,
            ValueError,
            AttributeError,
        ) as error:
            return PlatformFailed(self._clock.now_ms(), type(error).__name__)

    def _on_note(self, answer: dict[str, Any]) -> None:
        self._dispatch(NoteSeen(self._clock.now_ms(), "platform", answer.get("value")))

    def _on_instances(self, answer: dict[str, Any]) -> None:
        items = answer.get("instances")
        if items is None:
            return  # no list is stored yet
        if not isinstance(items, list):
            self._dispatch(PlatformFailed(self._clock.now_ms(), "no instance list"))
            return
        rows = tuple(row for item in items if (row := parse_instance(item)) is not None)
        self._dispatch(InstanceListSeen(self._clock.now_ms(), answer["revision"], rows))


def parse_instance(item: Any) -> ListedInstance | None:
    """Return one entry of the instance list, or ``None`` if it is malformed."""
    match item:
        case {
            "id": str(id_),
            "kind": "entry" | "upstream" as kind,
            "address": str(address),
            "domain": str(domain),
            "state": "live" | "leaving" as state,
        }:
            incarnation = item.get("incarnation", "")
            if isinstance(incarnation, bool) or not isinstance(incarnation, str | int):
                return None
            return ListedInstance(id_, kind, address, domain, state == "leaving", str(incarnation))
    return None
