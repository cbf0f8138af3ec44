"""Stand-in for an upstream server.

Run it as ``python -m standins.upstream --id s1 --service jobs-0 --address 127.0.0.1:9100``. ``PUT
/control`` changes its behaviour while it runs.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import hashlib
import os
import random
import secrets
import time
from dataclasses import dataclass, field
from typing import Any
from weakref import WeakSet

import orjson
from aiohttp import web

from turmerictiller.util.canonical import snapshot_name


@dataclass
class Behaviour:
    """Settings of the stand-in that ``PUT /control`` can change; times in milliseconds.

    :param services: names of all services, of which each has ``shards_per_service`` shards.
    :param versions: index versions that are served.
    :param service_ms: mean time that a call holds a slot.
    :param open_ms: delay of the first answer on each connection, which simulates a handshake.
    :param cold_ms: time after the start of the server until which calls wait.
    :param max_waiting: number of calls that may wait for a slot; more are shed.
    :param reported_load: load that is reported instead of the measured one.
    :param crash_query: text in a query that makes the process exit without an answer.
    :param silent: whether searches and runs are never answered.
    """

    service: str = "jobs-0"
    services: list[str] = field(default_factory=lambda: ["jobs-0"])
    shards_per_service: int = 2
    versions: list[int] = field(default_factory=lambda: [1])
    service_ms: float = 5.0
    slowdown: float = 1.0
    open_ms: float = 0.0
    cold_ms: float = 0.0
    slots: int = 3
    max_waiting: int = 30
    draining: bool = False
    reported_load: float | None = None
    crash_query: str = ""
    silent: bool = False


@dataclass
class Upstream:
    """State of the stand-in.

    :param busy: slots in use.
    :param ran: bodies of the runs that were executed, as JSON.
    """

    id: str
    behaviour: Behaviour
    incarnation: str = field(default_factory=lambda: secrets.token_hex(8))
    busy: int = 0
    waiting: int = 0
    ran: list[str] = field(default_factory=list)
    served: int = 0
    cancelled: int = 0

    def __post_init__(self) -> None:
        self.started_s = time.monotonic()
        self.slot_semaphore = asyncio.Semaphore(self.behaviour.slots)
        self.rng = random.Random(self.id)

    def shard_map(self, version: int) -> dict[str, list[str]]:
        """Return the shards of each service at an index version."""
        shards = self.behaviour.shards_per_service
        return {
            name: [f"{name}/{number}" for number in range(shards)]
            for name in self.behaviour.services
        }

    def snapshots(self) -> list[str]:
        """Return the names of the snapshots that are served."""
        versions = self.behaviour.versions
        return [snapshot_name(version, self.shard_map(version)) for version in versions]

    def status(self) -> dict[str, Any]:
        """Return the status that the server reports."""
        load = self.behaviour.reported_load
        return {
            "incarnation": self.incarnation,
            "draining": self.behaviour.draining,
            "snapshots": self.snapshots(),
            "load": load if load is not None else self.busy / self.behaviour.slots,
            "age_ms": 0,
        }

    async def work(self, budget_ms: float) -> str:
        """Hold a slot for the service time; return the error, or an empty string on success."""
        if self.behaviour.draining:
            return "draining"
        if self.waiting >= self.behaviour.max_waiting:
            return "shed"
        loop = asyncio.get_running_loop()
        expires_at = loop.time() + budget_ms / 1000
        self.waiting += 1
        try:
            await self.slot_semaphore.acquire()
        finally:
            self.waiting -= 1
        self.busy += 1
        try:
            await self._wait_for_cold_start()
            if loop.time() > expires_at:
                return "expired"
            mean_ms = self.behaviour.service_ms * self.behaviour.slowdown
            await asyncio.sleep(self.rng.uniform(0.7, 1.3) * mean_ms / 1000)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        finally:
            self.busy -= 1
            self.slot_semaphore.release()
        self.served += 1
        return ""

    async def _wait_for_cold_start(self) -> None:
        warm_at = self.started_s + self.behaviour.cold_ms / 1000
        if (wait_s := warm_at - time.monotonic()) > 0:
            await asyncio.sleep(wait_s)

    def search(self, request: dict[str, Any]) -> dict[str, Any]:
        """Return the hits of a query; they depend only on the request and the service."""
        version = int(request["snapshot"].partition("-")[0])
        shards = self.shard_map(version)[self.behaviour.service]
        after = tuple(request["after"]) if request.get("after") else None
        hits = [hit for shard in shards for hit in documents(shard, version, request["query"])]
        hits = [hit for hit in hits if after is None or _sort_key(hit) > after]
        hits.sort(key=_sort_key)
        return {
            "snapshot": request["snapshot"],
            "shards": shards,
            "hits": hits[: request["k"]],
            "status": self.status(),
        }


def documents(shard: str, version: int, query: str, count: int = 20) -> list[dict[str, Any]]:
    """Return the documents of a shard that match a query."""
    hits = []
    for number in range(count):
        seed = hashlib.sha256(f"{shard}|{version}|{query}|{number}".encode()).digest()
        score = int.from_bytes(seed[:2], "big") / 65_536
        fields = {"title": f"{query} {shard} {number}", "version": version}
        hits.append(
            {"score": round(score, 3), "shard": shard, "id": f"{shard}#{number}", "fields": fields}
        )
    return hits


def _sort_key(hit: dict[str, Any]) -> tuple[float, str, str]:
    return (-hit["score"], hit["shard"], hit["id"])


def application(upstream: Upstream) -> web.Application:
    """Return the aiohttp application of the stand-in."""
    behaviour = upstream.behaviour

    async def on_search(request: web.Request) -> web.Response:
        body = orjson.loads(await request.read())
        if behaviour.crash_query and behaviour.crash_query in body["query"]:
            os._exit(1)
        if behaviour.silent:
            await asyncio.sleep(3600)
        if body["snapshot"] not in upstream.snapshots():
            return _json({"error": "snapshot_gone", "ran": False, "status": upstream.status()}, 410)
        error = await upstream.work(body["budget_ms"])
        if error:
            return _refusal(upstream, error)
        return _json(upstream.search(body))

    async def on_run(request: web.Request) -> web.Response:
        body = orjson.loads(await request.read())
        if behaviour.silent:
            await asyncio.sleep(3600)
        error = await upstream.work(body["budget_ms"])
        if error:
            return _refusal(upstream, error)
        upstream.ran.append(orjson.dumps(body["body"]).decode())
        number = len(upstream.ran)
        return _json({"answer": {"number": number}, "status": upstream.status()})

    async def on_health(request: web.Request) -> web.Response:
        return _json(upstream.status())

    async def on_snapshot(request: web.Request) -> web.Response:
        name = request.match_info["name"]
        for version in behaviour.versions:
            shards = upstream.shard_map(version)
            if snapshot_name(version, shards) == name:
                return _json({"shards_by_service": shards})
        return _json({"error": "snapshot_gone"}, 410)

    async def get_control(request: web.Request) -> web.Response:
        counts = {name: getattr(upstream, name) for name in ("ran", "served", "cancelled", "busy")}
        return _json(counts)

    async def put_control(request: web.Request) -> web.Response:
        for name, value in orjson.loads(await request.read()).items():
            setattr(behaviour, name, value)
        return _json({"ok": True})

    opened_transports: WeakSet[Any] = WeakSet()

    @web.middleware
    async def open_connection(request: web.Request, handler: Any) -> web.StreamResponse:
        if behaviour.open_ms and request.transport not in opened_transports:
            opened_transports.add(request.transport)
            await asyncio.sleep(behaviour.open_ms / 1000)
        response: web.StreamResponse = await handler(request)
        return response

    app = web.Application(middlewares=[open_connection])
    app.router.add_post("/search", on_search)
    app.router.add_post("/run", on_run)
    app.router.add_get("/health", on_health)
    app.router.add_get("/snapshots/{name}", on_snapshot)
    app.router.add_get("/control", get_control)
    app.router.add_put("/control", put_control)
    return app


def _refusal(upstream: Upstream, error: str) -> web.Response:
    status = 504 if error == "expired" else 503
    body = {"error": error, "ran": False, "retry_after_ms": 50, "status": upstream.status()}
    return _json(body, status)


def _json(body: Any, status: int = 200) -> web.Response:
    return web.Response(status=status, body=orjson.dumps(body), content_type="application/json")


async def serve(servers: list[tuple[str, str, Behaviour]]) -> None:
    """Run servers, given as (id, address, behaviour), until the process is ended."""
    for id_, address, behaviour in servers:
        host, _, port = address.rpartition(":")
        app = application(Upstream(id_, behaviour))
        runner = web.AppRunner(app, handler_cancellation=True, access_log=None)
        await runner.setup()
        await web.TCPSite(runner, host, int(port)).start()
    await asyncio.Event().wait()


def main() -> None:
    """Run the stand-in."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--id", default="s1")
    parser.add_argument("--address", default="127.0.0.1:9100")
    parser.add_argument("--behaviour", default="{}", help="JSON object of Behaviour fields")
    parser.add_argument(
        "--servers",
        default="",
        help="JSON list of {id, address, behaviour}, to run several servers in one process",
    )
    arguments = parser.parse_args()
    if arguments.servers:
        rows = orjson.loads(arguments.servers)
    else:
        behaviour = orjson.loads(arguments.behaviour)
        rows = [{"id": arguments.id, "address": arguments.address, "behaviour": behaviour}]
    servers = [(row["id"], row["address"], Behaviour(**row["behaviour"])) for row in rows]
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(serve(servers))


if __name__ == "__main__":
    main()
