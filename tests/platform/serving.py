"""An instance with stand-ins for the platform's store and servers, all in the test's event loop."""

from __future__ import annotations

import asyncio
import random
import socket
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from aiohttp import web

from standins.shard_server import ShardServer
from standins.store import StoreStandin, application, encode_value
from turmerictiller.platform.application import PlatformApplication
from turmerictiller.platform.settings import read_settings

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path

HOST = "search.example"
SHARDS = 4

SETTINGS = """
node = "front-here-1"
zone = "here"
unknown = ["ignored"]
ip = "127.0.0.1"
portRange = [{peer}, {peer}]
seeds = [{seeds}]
[listenAddrs]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
[limits]
maxFds = 4100
[bounds]
drainMs = 3000
applyMs = 3000
graceS = {grace_s}
budgetRatio = 0.2
budgetWindowS = 10
budgetSlack = {slack}
contactMs = 4000
[platform]
address = "127.0.0.1:{store}"
"""


def free_ports(number: int) -> list[int]:
    """Return unused ports.

    They are below the ephemeral port range, so that no connection or stand-in takes one of them
    before the instance does.
    """
    found: list[int] = []
    while len(found) < number:
        port = random.randrange(20_000, 30_000)
        with socket.socket() as item:
            try:
                item.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in found:
            found.append(port)
    return found


def configuration(version: int = 1, shards: int = SHARDS, **changes: Any) -> dict[str, Any]:
    """Return an operator's configuration with a search, a single and a non-idempotent route."""
    names = [f"s{index}" for index in range(shards)]
    common = {"host": HOST, "timeoutMs": 2_000, "maxAttempts": 2, "priority": 1}
    routes: list[dict[str, Any]] = [
        {
            **common,
            "name": "search",
            "prefix": "/search/",
            "kind": "idempotent",
            "targetLatencyMs": 200,
            "gather": names,
            "topK": 5,
            "minShare": 0.75,
        },
        {
            **common,
            "name": "one",
            "prefix": "/one/",
            "kind": "idempotent",
            "targetLatencyMs": 500,
            "service": "a",
        },
        {
            **common,
            "name": "once",
            "prefix": "/once/",
            "kind": "non_idempotent",
            "targetLatencyMs": 500,
            "service": "a",
        },
    ]
    services = [
        {"name": name, "healthPath": "/health", "maxConns": 31, "protocol": "h1", "tls": False}
        for name in (*names, "a")
    ]
    limits = {
        "maxHeaderBytes": 16_384,
        "maxBodyBytes": 10_000,
        "headerTimeoutMs": 1_000,
        "idleTimeoutMs": 15_000,
    }
    document = {"version": version, "routes": routes, "services": services, "limits": limits}
    return {**document, **changes}


@dataclass
class Answer:
    """An answer to a caller."""

    status: int
    headers: dict[str, str]
    body: bytes


@dataclass
class Caller:
    """One connection of a caller."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    sent: int = 0

    def write(
        self,
        path: str,
        method: str = "GET",
        request_id: str = "",
        body: bytes = b"",
        budget_ms: int | None = 1_500,
        host: str = HOST,
        extra: str = "",
    ) -> None:
        """Send a request."""
        self.sent += 1
        request_id = request_id or f"{id(self):x}{self.sent}"
        head = f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nRequest-Id: {request_id}\r\n{extra}"
        if budget_ms is not None:
            head += f"Deadline-Ms: {budget_ms}\r\n"
        if body:
            head += f"Content-Length: {len(body)}\r\n"
        self.writer.write(f"{head}\r\n".encode() + body)

    async def read(self) -> Answer:
        """Read one answer."""
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        headers = {}
        for line in head[1:]:
            name, _, value = line.partition(":")
            if name:
                headers[name.lower()] = value.strip()
        body = await self.reader.readexactly(int(headers["content-length"]))
        return Answer(int(head[0].split(" ")[1]), headers, body)

    async def ask(self, path: str, **options: Any) -> Answer:
        """Send a request and read its answer."""
        self.write(path, **options)
        return await asyncio.wait_for(self.read(), 5)


@dataclass
class Deployment:
    """A store, servers and one instance."""

    store: StoreStandin
    servers_by_id: dict[str, ShardServer]
    instance: PlatformApplication
    running: asyncio.Task[None]
    ports: dict[str, int]
    callers: list[Caller] = field(default_factory=list)

    async def caller(self) -> Caller:
        """Open a connection of a caller."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.ports["front"])
        caller = Caller(reader, writer)
        self.callers.append(caller)
        return caller

    async def readiness(self) -> int:
        """Return the status of the readiness endpoint, which the load balancer polls."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.ports["ready"])
        caller = Caller(reader, writer)
        try:
            return (await caller.ask("/-/readiness")).status
        finally:
            writer.close()

    async def wait_until_ready(self) -> None:
        """Wait until the instance is ready for callers."""
        async with asyncio.timeout(5):
            while not await self._is_ready():
                await asyncio.sleep(0.02)

    async def _is_ready(self) -> bool:
        try:
            return await self.readiness() == 200
        except ConnectionRefusedError:
            return False

    def publish(self, server: ShardServer) -> None:
        """Write the entry of a server to the store."""
        self.store.write(f"servers/{server.id}", encode_value(server.entry()))

    def servers_of(self, service: str) -> list[ShardServer]:
        """Return the servers of a service."""
        return [server for server in self.servers_by_id.values() if server.service == service]


@asynccontextmanager
async def deployment(
    folder: Path,
    servers_per_service: int = 2,
    shards: int = SHARDS,
    slack: int = 1_000,
    grace_s: float = 6,
    document: dict[str, Any] | None = None,
) -> AsyncIterator[Deployment]:
    """Run a deployment with a published configuration; yield it once it is ready."""
    front, ready, store_port, peer = free_ports(4)
    ports = {"front": front, "ready": ready, "store": store_port, "peer": peer}
    store = StoreStandin()
    runner = web.AppRunner(application(store), access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", store_port).start()
    store.write("op/config", encode_value(document or configuration(shards=shards)))
    servers: dict[str, ShardServer] = {}
    listening = []
    for service in (*(f"s{index}" for index in range(shards)), "a"):
        for index in range(servers_per_service):
            server = ShardServer(f"i-{service}-{index}", service)
            listening.append(await server.open("127.0.0.1:0"))
            servers[server.id] = server
            store.write(f"servers/{server.id}", encode_value(server.entry()))
    path = folder / "node.toml"
    path.write_text(SETTINGS.format(**ports, seeds="", slack=slack, grace_s=grace_s))
    instance = PlatformApplication(path, read_settings(path), metrics_port=0)
    running = asyncio.create_task(instance.run())
    deployed = Deployment(store, servers, instance, running, ports)
    try:
        await deployed.wait_until_ready()
        yield deployed
    finally:
        instance.shell.stopped.set()
        await running
        for caller in deployed.callers:
            caller.writer.close()
        for item in listening:
            item.close()
        await runner.cleanup()


@asynccontextmanager
async def second_instance(folder: Path, deployed: Deployment) -> AsyncIterator[Caller]:
    """Run a second instance that uses the first one as its seed, and yield a caller of it.

    Instances share the same ports, so it listens at another loopback address.
    """
    settings = SETTINGS.format(**deployed.ports, seeds='"127.0.0.1:1"', slack=1_000, grace_s=6)
    for name in ("front", "ready"):
        port = deployed.ports[name]
        settings = settings.replace(f"127.0.0.1:{port}", f"127.0.0.2:{port}")
    settings = settings.replace('ip = "127.0.0.1"', 'ip = "127.0.0.2"')
    path = folder / "second.toml"
    path.write_text(settings.replace("front-here-1", "front-here-2"))
    instance = PlatformApplication(path, read_settings(path), metrics_port=0)
    running = asyncio.create_task(instance.run())
    await asyncio.sleep(0.1)
    reader, writer = await asyncio.open_connection("127.0.0.2", deployed.ports["front"])
    try:
        yield Caller(reader, writer)
    finally:
        writer.close()
        instance.shell.stopped.set()
        await running
