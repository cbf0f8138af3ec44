"""Stand-in for the platform's key-value store with revisions, range reads and watches.

``PUT /control/item?key=K`` writes the body, ``DELETE /control/item?key=K`` removes a key, and
``PUT /control/mode`` sets how the store answers: ``{"mode": "ok" | "busy" | "silent" | "reset" |
"lost", "history": bool, "delay_ms": number}``.
"""

from __future__ import annotations

import argparse
import asyncio
import base64
import json
from dataclasses import dataclass, field
from typing import Any

from aiohttp import web

PAGE_ITEMS = 50
FIRST_REVISION = 3


@dataclass
class Change:
    """One write or removal of a key.

    :param created: revision at which the key was created.
    :param value: ``None`` for a removal.
    """

    key: str
    revision: int
    created: int
    value: bytes | None

    def as_item(self) -> dict[str, Any]:
        """Return the change as reads and watches answer it."""
        if self.value is None:
            return {"key": self.key, "rev": self.revision, "tombstone": True}
        return {
            "key": self.key,
            "value": base64.b64encode(self.value).decode(),
            "rev": self.revision,
            "createdRev": self.created,
            "lease": 0,
        }


@dataclass
class StoreStandin:
    """All keys, and the history from which watches are answered.

    :param compacted_revision: watches from an earlier revision fail.
    :param mode: how reads are answered; ``silent`` and ``lost`` never answer.
    :param reads: number of reads and answered watches.
    """

    items_by_key: dict[str, Change] = field(default_factory=dict)
    history: list[Change] = field(default_factory=list)
    revision: int = FIRST_REVISION
    compacted_revision: int = 0
    mode: str = "ok"
    delay_ms: float = 0.0
    reads: int = 0
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def write(self, key: str, value: bytes | None) -> int:
        """Write a key, or remove it if the value is ``None``; return the revision."""
        self.revision += 1
        previous = self.items_by_key.get(key)
        created = previous.created if previous else self.revision
        change = Change(key, self.revision, created, value)
        if value is None:
            self.items_by_key.pop(key, None)
        else:
            self.items_by_key[key] = change
        self.history.append(change)
        self.changed.set()
        self.changed = asyncio.Event()
        return self.revision

    def compact_history(self) -> None:
        """Drop all history, which ends all waiting watches."""
        self.history.clear()
        self.compacted_revision = self.revision
        self.changed.set()
        self.changed = asyncio.Event()

    def page(self, prefix: str, after: str) -> dict[str, Any]:
        """Return one page of the items under a prefix, after a key."""
        keys = sorted(key for key in self.items_by_key if key.startswith(prefix) and key > after)
        items = [self.items_by_key[key].as_item() for key in keys[:PAGE_ITEMS]]
        return {"items": items, "hasMore": len(keys) > PAGE_ITEMS, "currentRev": self.revision}

    async def changes(self, prefix: str, after: int, wait_ms: float) -> dict[str, Any] | None:
        """Return the changes after a revision, or ``None`` if they were compacted."""
        loop = asyncio.get_running_loop()
        end = loop.time() + wait_ms / 1000
        while True:
            if after < self.compacted_revision:
                return None
            items = [
                change.as_item()
                for change in self.history
                if change.revision > after and change.key.startswith(prefix)
            ]
            remaining_s = end - loop.time()
            if items or remaining_s <= 0:
                return {"events": items, "currentRev": self.revision}
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), remaining_s)
            except TimeoutError:
                continue


def application(store: StoreStandin) -> web.Application:
    """Return the HTTP interface of a store."""

    async def respond(request: web.Request, answer: dict[str, Any] | None) -> web.StreamResponse:
        store.reads += 1
        if store.delay_ms:
            await asyncio.sleep(store.delay_ms / 1000)
        if store.mode == "busy":
            return web.Response(status=503)
        if store.mode in ("silent", "lost"):
            await asyncio.sleep(3_600)
        if store.mode == "reset" and request.transport is not None:
            request.transport.abort()
        if answer is None:
            return web.Response(status=410)
        return web.json_response(answer)

    async def key(request: web.Request) -> web.StreamResponse:
        item = store.items_by_key.get(request.query["key"])
        if item is None:
            return web.Response(status=404)
        return await respond(request, {**item.as_item(), "currentRev": store.revision})

    async def list_range(request: web.Request) -> web.StreamResponse:
        prefix, after = request.query.get("prefix", ""), request.query.get("after", "")
        return await respond(request, store.page(prefix, after))

    async def watch(request: web.Request) -> web.StreamResponse:
        query = request.query
        if store.mode != "ok":
            return await respond(request, None)
        answer = await store.changes(
            query.get("prefix", ""), int(query["after"]), float(query.get("waitMs", "0"))
        )
        return await respond(request, answer)

    async def write(request: web.Request) -> web.StreamResponse:
        value = await request.read() if request.method == "PUT" else None
        return web.json_response({"rev": store.write(request.query["key"], value)})

    async def set_mode(request: web.Request) -> web.StreamResponse:
        body = await request.json()
        store.mode = body.get("mode", store.mode)
        store.delay_ms = body.get("delay_ms", store.delay_ms)
        if body.get("history") is False:
            store.compact_history()
        return web.json_response({"mode": store.mode, "reads": store.reads})

    app = web.Application()
    app.router.add_get("/-/kv-key", key)
    app.router.add_get("/-/kv-range", list_range)
    app.router.add_get("/-/kv-watch", watch)
    app.router.add_put("/control/item", write)
    app.router.add_delete("/control/item", write)
    app.router.add_put("/control/mode", set_mode)
    return app


def main() -> None:
    """Run the store until it receives SIGINT or SIGTERM."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--address", default="127.0.0.1:9000")
    host, _, port = parser.parse_args().address.rpartition(":")
    web.run_app(
        application(StoreStandin()), host=host, port=int(port), print=None, handle_signals=True
    )


def encode_value(document: object) -> bytes:
    """Return a document in the encoding of stored values."""
    return json.dumps(document).encode()


if __name__ == "__main__":
    main()
