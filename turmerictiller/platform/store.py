"""Client for reads of the platform's metadata store."""

from __future__ import annotations

import asyncio
import base64
import binascii
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any
from urllib.parse import quote

import orjson

from turmerictiller.errors import TurmericError
from turmerictiller.transport.http_client import HttpExchange
from turmerictiller.transport.stalls import call_on_stall

if TYPE_CHECKING:
    from turmerictiller.clock import Clock, Millis
    from turmerictiller.transport.http_client import ConnectionPool
    from turmerictiller.transport.messages import RawResponse

# Time until an answer begins. The store normally needs 4 ms, and up to 60 times as long when it is
# slow.
CALL_TIMEOUT_MS = 1_000.0
WATCH_TIMEOUT_MARGIN_MS = 500.0
HISTORY_GONE_STATUS = 410


class StoreError(TurmericError):
    """A read of the store failed.

    :param received_bytes: bytes of the answer that had been received.
    """

    def __init__(self, reason: str, received_bytes: int = 0) -> None:
        super().__init__(reason)
        self.received_bytes = received_bytes


class HistoryGoneError(StoreError):
    """The store has discarded the changes after a revision."""


@dataclass(frozen=True, slots=True)
class StoreItem:
    """A key's value at the revision that wrote it; ``None`` if that revision removed the key."""

    key: str
    revision: int
    value: bytes | None


@dataclass
class StoreClient:
    """Read calls to the store.

    :param calls: number of calls made.
    """

    address: str
    pool: ConnectionPool
    clock: Clock
    calls: int = field(default=0)

    async def read_all(self, prefix: str) -> tuple[int, list[StoreItem]]:
        """Return all items under a prefix, and the revision from which to watch.

        The pages are not one snapshot, so the revision is that of the first page: the watch repeats
        changes made in the meantime.

        :raises StoreError: if a call fails.
        """
        items: list[StoreItem] = []
        revision = None
        after_key = ""
        while True:
            query = f"prefix={quote(prefix, safe='')}"
            if after_key:
                query += f"&after={quote(after_key, safe='')}"
            page = await self._get_json(f"/-/kv-range?{query}", CALL_TIMEOUT_MS)
            if revision is None:
                revision = _integer_field(page, "currentRev")
            page_items = [_parse_item(row) for row in _rows_field(page, "items")]
            items += page_items
            if not page.get("hasMore") or not page_items:
                return revision, items
            after_key = page_items[-1].key

    async def watch(
        self, prefix: str, revision: int, wait_ms: Millis
    ) -> tuple[int, list[StoreItem]]:
        """Wait for changes after a revision; return them and the revision to watch from next.

        :param wait_ms: time after which the store answers without changes.
        :raises HistoryGoneError: if the store has discarded the changes, so that a list is needed.
        :raises StoreError: if the call fails.
        """
        query = f"prefix={quote(prefix, safe='')}&after={revision}&waitMs={wait_ms:.0f}"
        page = await self._get_json(f"/-/kv-watch?{query}", wait_ms + WATCH_TIMEOUT_MARGIN_MS)
        items = [_parse_item(row) for row in _rows_field(page, "events")]
        return max(revision, _integer_field(page, "currentRev")), items

    async def _get_json(self, target: str, timeout_ms: Millis) -> dict[str, Any]:
        self.calls += 1
        response = await self._send_get(target, timeout_ms)
        if response.status == HISTORY_GONE_STATUS:
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

    async def _send_get(self, target: str, timeout_ms: Millis) -> RawResponse:
        future: asyncio.Future[RawResponse] = asyncio.get_running_loop().create_future()

        def fail(reason: str) -> None:
            if not future.done():
                future.set_exception(StoreError(reason, exchange.received_bytes))

        def on_response(response: RawResponse) -> None:
            if not future.done():
                future.set_result(response)

        data = f"GET {target} HTTP/1.1\r\nHost: {self.address}\r\n\r\n".encode()
        exchange = HttpExchange(
            data,
            lambda response, require_request_id: True,
            on_response,
            lambda failure, may_have_run: fail(failure.value),
        )
        self.pool.send(self.address, exchange)
        call_on_stall(exchange, timeout_ms, lambda: fail("timed_out"))
        try:
            return await future
        finally:
            if not exchange.ended:
                self.pool.cancel(exchange)


def _rows_field(page: dict[str, Any], name: str) -> list[dict[str, Any]]:
    rows = page.get(name)
    if not isinstance(rows, list) or not all(isinstance(row, dict) for row in rows):
        raise StoreError(f"no_{name}")
    return rows


def _integer_field(row: dict[str, Any], name: str) -> int:
    value = row.get(name)
    if not isinstance(value, int):
        raise StoreError(f"no_{name}")
    return value


def _parse_item(row: dict[str, Any]) -> StoreItem:
    key = row.get("key")
    if not isinstance(key, str):
        raise StoreError("no_key")
    revision = _integer_field(row, "rev")
    if row.get("tombstone"):
        return StoreItem(key, revision, None)
    value = row.get("value")
    try:
        return StoreItem(key, revision, base64.b64decode(value or "", validate=True))
    except (binascii.Error, TypeError, ValueError):
        return StoreItem(key, revision, b"")
