"""Stand-in for the platform: serves the release note and the instance list by HTTP long polling.

Run it as ``python -m standins.platform --address 127.0.0.1:9000``. Tests write the values and
inject faults through the paths below ``/control``.
"""

from __future__ import annotations

import argparse
import asyncio
import secrets
from dataclasses import dataclass, field
from typing import Any

import orjson
from aiohttp import web

MAX_VALUE_BYTES = 1_000_000
MAX_WAIT_MS = 60_000


@dataclass
class WatchedValue:
    """A value with its revision, which clients can watch.

    The first revision is random, because a restarted platform must not reuse those of its last run.
    """

    revision: int = field(default_factory=lambda: 1 + secrets.randbelow(2**40))
    value: Any = None
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def put(self, value: Any) -> None:
        """Store a value under the next revision and wake all watches."""
        self.revision += 1
        self.value = value
        self.changed.set()
        self.changed = asyncio.Event()


@dataclass
class Platform:
    """State of the stand-in.

    :param is_down: whether reads fail with status 503.
    :param calls: number of reads.
    """

    note: WatchedValue = field(default_factory=WatchedValue)
    instances: WatchedValue = field(default_factory=WatchedValue)
    is_down: bool = False
    calls: int = 0

    async def read(self, watched: WatchedValue, after: int, wait_ms: float) -> bool:
        """Wait until the revision differs from ``after``; return whether it does."""
        self.calls += 1
        if watched.revision != after:
            return True
        changed = watched.changed
        try:
            await asyncio.wait_for(changed.wait(), min(wait_ms, MAX_WAIT_MS) / 1000)
        except TimeoutError:
            return False
        return True


def application(platform: Platform) -> web.Application:
    """Return the aiohttp application of the stand-in."""

    async def read(request: web.Request, watched: WatchedValue, name: str) -> web.Response:
        after = int(request.query.get("after", "0"))
        wait_ms = float(request.query.get("wait_ms", "0"))
        if not platform.is_down and not await platform.read(watched, after, wait_ms):
            return web.Response(status=204)
        if platform.is_down:
            return web.Response(status=503)
        return _json({"revision": watched.revision, name: watched.value})

    async def on_note(request: web.Request) -> web.Response:
        return await read(request, platform.note, "value")

    async def on_instances(request: web.Request) -> web.Response:
        return await read(request, platform.instances, "instances")

    async def put_note(request: web.Request) -> web.Response:
        platform.note.put(orjson.loads(await request.read()))
        return _json({"revision": platform.note.revision})

    async def put_instances(request: web.Request) -> web.Response:
        platform.instances.put(orjson.loads(await request.read()))
        return _json({"revision": platform.instances.revision})

    async def put_down(request: web.Request) -> web.Response:
        platform.is_down = bool(orjson.loads(await request.read()))
        if platform.is_down:
            platform.note.changed.set()
            platform.instances.changed.set()
        return _json({"down": platform.is_down})

    app = web.Application(client_max_size=MAX_VALUE_BYTES)
    app.router.add_get("/v1/note", on_note)
    app.router.add_get("/v1/instances", on_instances)
    app.router.add_put("/control/note", put_note)
    app.router.add_put("/control/instances", put_instances)
    app.router.add_put("/control/down", put_down)
    return app


def _json(body: Any) -> web.Response:
    return web.Response(body=orjson.dumps(body), content_type="application/json")


def main() -> None:
    """Run the stand-in."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", default="127.0.0.1:9000")
    host, _, port = parser.parse_args().address.rpartition(":")
    web.run_app(application(Platform()), host=host, port=int(port), print=None)


if __name__ == "__main__":
    main()
