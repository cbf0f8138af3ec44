"""A small store with revisions, ranges and watches, as the users' platform publishes it.

``PUT /control/item?key=K`` writes the body, ``DELETE /control/item?key=K`` removes a key,
``PUT /control/mode`` sets how it answers: ``{"mode": "ok" | "busy" | "silent" | "reset" | "lost",
"history": bool, "delay_ms": number}``.
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
    """One write or removal."""

    key: str
    revision: int
    created: int
    value: bytes | None

    def row(self) -> dict[str, Any]:
        """Return the change as it is told to readers."""
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
    """All keys, and the changes that watches can still be told."""

    items_by_key: dict[str, Change] = field(default_factory=dict)
    history: list[Change] = field(default_factory=list)
    revision: int = FIRST_REVISION
    forgotten: int = 0
    mode: str = "ok"
    delay_ms: float = 0.0
    reads: int = 0
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def write(self, key: str, value: bytes | None) -> int:
        """Write or remove a key; return the revision."""
        self.revision += 1
        known = self.items_by_key.get(key)
        created = known.created if known else self.revision
        change = Change(key, self.revision, created, value)
        if value is None:
            self.items_by_key.pop(key, None)
        else:
            self.items_by_key[key] = change
        self.history.append(change)
        self.changed.set()
        self.changed = asyncio.Event()
        return self.revision

    def forget_history(self) -> None:
        """Drop all history, and cut the watches that wait."""
        self.history.clear()
        self.forgotten = self.revision
        self.changed.set()
        self.changed = asyncio.Event()

    def page(self, prefix: str, after: str) -> dict[str, Any]:
        """Return one page of the items under a prefix."""
        keys = sorted(key for key in self.items_by_key if key.startswith(prefix) and key > after)
        rows = [self.items_by_key[key].row() for key in keys[:PAGE_ITEMS]]
        return {"items": rows, "hasMore": len(keys) > PAGE_ITEMS, "currentRev": self.revision}

    async def changes(self, prefix: str, after: int, wait_ms: float) -> dict[str, Any] | None:
        """Return the changes after a revision, or ``None`` if they are forgotten."""
        loop = asyncio.get_running_loop()
        end = loop.time() + wait_ms / 1000
        while True:
            if after < self.forgotten:
                return None
            rows = [
                change.row()
                for change in self.history
                if change.revision > after and change.key.startswith(prefix)
            ]
            left = end - loop.time()
            if rows or left <= 0:
                return {"events": rows, "currentRev": self.revision}
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), left)
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
        found = store.items_by_key.get(request.query["key"])
        if found is None:
            return web.Response(status=404)
        return await respond(request, {**found.row(), "currentRev": store.revision})

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
            store.forget_history()
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
    """Run the store until it is told to stop."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--address", default="127.0.0.1:9000")
    host, _, port = parser.parse_args().address.rpartition(":")
    web.run_app(
        application(StoreStandin()), host=host, port=int(port), print=None, handle_signals=True
    )


def as_value(document: object) -> bytes:
    """Return a document as it is stored."""
    return json.dumps(document).encode()


if __name__ == "__main__":
    main()
