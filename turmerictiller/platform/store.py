"""Reads of the platform's metadata store."""

from __future__ import annotations

import asyncio
import base64
import binascii
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any
from urllib.parse import quote

import orjson

from turmerictiller.errors import TurmericError
from turmerictiller.transport.http_client import Exchange
from turmerictiller.transport.time_limits import time_limit

if TYPE_CHECKING:
    from turmerictiller.clock import Clock, Millis
    from turmerictiller.transport.http_client import ConnectionPool
    from turmerictiller.transport.messages import RawResponse

# The store answers in 4 ms, and up to sixty times as slowly at bad times.
CALL_TIMEOUT_MS = 1_000.0
WATCH_MARGIN_MS = 500.0
HISTORY_GONE = 410


class StoreError(TurmericError):
    """A read of the store that failed."""


class HistoryGoneError(StoreError):
    """The store no longer knows the changes after a revision."""


@dataclass(frozen=True, slots=True)
class Item:
    """A key as it was written or, with no value, removed at a revision."""

    key: str
    revision: int
    value: bytes | None


@dataclass
class Store:
    """The store's read calls."""

    address: str
    pool: ConnectionPool
    clock: Clock
    calls: int = field(default=0)

    async def read_all(self, prefix: str) -> tuple[int, list[Item]]:
        """Return all items under a prefix, and the revision from which to watch.

        Pages are no snapshot, so the revision is that of the first page: what changes meanwhile
        is told again by the watch.
        """
        items: list[Item] = []
        revision = None
        after = ""
        while True:
            query = f"prefix={quote(prefix, safe='')}"
            if after:
                query += f"&after={quote(after, safe='')}"
            page = await self._get(f"/-/kv-range?{query}", CALL_TIMEOUT_MS)
            if revision is None:
                revision = _integer(page, "currentRev")
            new = [_item(row) for row in _rows(page, "items")]
            items += new
            if not page.get("hasMore") or not new:
                return revision, items
            after = new[-1].key

    async def watch(self, prefix: str, revision: int, wait_ms: Millis) -> tuple[int, list[Item]]:
        """Wait for changes after a revision; return them and the revision to go on from.

        :raises HistoryGoneError: if the changes have to be listed instead.
        """
        query = f"prefix={quote(prefix, safe='')}&after={revision}&waitMs={wait_ms:.0f}"
        page = await self._get(f"/-/kv-watch?{query}", wait_ms + WATCH_MARGIN_MS)
        items = [_item(row) for row in _rows(page, "events")]
        return max(revision, _integer(page, "currentRev")), items

    async def _get(self, target: str, timeout_ms: Millis) -> dict[str, Any]:
        self.calls += 1
        response = await self._call(target, timeout_ms)
        if response.status == HISTORY_GONE:
            raise HistoryGoneError("history_gone")
        if response.status != 200:
            raise StoreError(f"status_{response.status}")
        try:
            page = orjson.loads(response.body)
        except orjson.JSONDecodeError:
            raise StoreError("not_json") from None
        if not isinstance(page, dict):
            raise StoreError("not_an_object")
        return page

    async def _call(self, target: str, timeout_ms: Millis) -> RawResponse:
        future: asyncio.Future[RawResponse] = asyncio.get_running_loop().create_future()

        def on_failure(failure: Any, may_have_run: bool) -> None:
            if not future.done():
                future.set_exception(StoreError(failure.value))

        def on_response(response: RawResponse) -> None:
            if not future.done():
                future.set_result(response)

        data = f"GET {target} HTTP/1.1\r\nHost: {self.address}\r\n\r\n".encode()
        exchange = Exchange(data, lambda response, must_name: True, on_response, on_failure)
        self.pool.send(self.address, exchange)
        try:
            async with time_limit(timeout_ms):
                return await future
        except TimeoutError:
            raise StoreError("timed_out") from None
        finally:
            if not exchange.ended:
                self.pool.abort(exchange)


def _rows(page: dict[str, Any], name: str) -> list[dict[str, Any]]:
    rows = page.get(name)
    if not isinstance(rows, list) or not all(isinstance(row, dict) for row in rows):
        raise StoreError(f"no_{name}")
    return rows


def _integer(row: dict[str, Any], name: str) -> int:
    value = row.get(name)
    if not isinstance(value, int):
        raise StoreError(f"no_{name}")
    return value


def _item(row: dict[str, Any]) -> Item:
    key = row.get("key")
    if not isinstance(key, str):
        raise StoreError("no_key")
    revision = _integer(row, "rev")
    if row.get("tombstone"):
        return Item(key, revision, None)
    value = row.get("value")
    try:
        return Item(key, revision, base64.b64decode(value or "", validate=True))
    except (binascii.Error, TypeError, ValueError):
        return Item(key, revision, b"")
