"""The booking desk as real processes on loopback, with searches that run all the time."""

from __future__ import annotations

import asyncio
import itertools
from collections import Counter
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import aiohttp
import orjson

from bench import booking_desk as desk
from bench.processes import Processes, free_addresses

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable
    from pathlib import Path

LONE = "jobs-0-almadies"
ENTRIES = ("e1", "e2", "e3")
DEADLINE_MS = 1_500.0
GUARD_S = 60.0  # ends a test that would wait for ever; no test relies on it
SETTINGS = {
    "health-interval-ms": "200",
    "gossip-interval-ms": "200",
    "join-wait-ms": "1000",
    "pause-threshold-ms": "500",
    "drain-notice-ms": "600",
    "quiet-close-ms": "150",
    "ticket-lifetime-ms": "600000",
}


@dataclass
class Desk:
    """Running processes, how to reach them, and what callers were told.

    :param answers: status by instance of every search that was answered.
    :param broken: searches whose connection ended without an answer, by instance.
    :param refusals: what callers were told in place of hits, by instance.
    :param targets: instances that searches go to.
    """

    processes: Processes
    session: aiohttp.ClientSession
    platform: str
    servers: list[desk.DeskServer]
    addresses: dict[str, list[str]]
    note: dict[str, Any]
    answers: Counter[tuple[str, int]] = field(default_factory=Counter)
    broken: Counter[str] = field(default_factory=Counter)
    refusals: list[tuple[str, int, Any]] = field(default_factory=list)
    full: Counter[str] = field(default_factory=Counter)
    problems: list[str] = field(default_factory=list)
    targets: list[str] = field(default_factory=lambda: list(ENTRIES))
    turns: itertools.count[int] = field(default_factory=itertools.count)

    def start_entry(self, name: str) -> None:
        """Start an instance, or start it again under its addresses."""
        caller, peer, operator = self.addresses[name]
        peers = ",".join(item[1] for item in self.addresses.values() if item[1] != peer)
        values = {
            "instance-id": name,
            "failure-domain": "plateau",
            "caller-address": caller,
            "peer-address": peer,
            "operator-address": operator,
            "platform-address": self.platform,
            "peers": peers,
            **SETTINGS,
        }
        flags = [part for key, value in values.items() for part in (f"--{key}", value)]
        self.processes.start(name, "turmerictiller", "entry", *flags)

    def start_platform(self) -> None:
        self.processes.start("platform", "standins.platform", "--address", self.platform)

    def start_upstreams(self, name: str) -> None:
        """Start the process that holds the lone server, or all others."""
        rows = [
            server.as_argument() for server in self.servers if (server.id == LONE) is (name == LONE)
        ]
        self.processes.start(name, "standins.upstream", "--servers", orjson.dumps(rows).decode())

    async def call(self, name: str, path: str, body: Any) -> tuple[int, Any]:
        """Post to the callers' port of an instance."""
        url = f"http://{self.addresses[name][0]}/v1/fronts/booking/{path}"
        async with self.session.post(url, data=orjson.dumps(body), headers=JSON) as response:
            return response.status, await response.json()

    async def search(self, name: str) -> dict[str, Any] | None:
        """Run one search, check and count its answer; ``None`` if there was none."""
        query = f"velvet {next(self.turns)}"
        body = {"query": query, "k": 5, "deadline_ms": DEADLINE_MS}
        try:
            status, answer = await self.call(name, "search", body)
        except aiohttp.ClientError:
            self.broken[name] += 1
            return None
        self.answers[name, status] += 1
        if status != 200:
            self.refusals.append((name, status, answer))
            return None
        self.problems += desk.find_problems(answer, query, 5)
        self.full[name] += answer["coverage"]["share"] == 1
        return dict(answer)

    async def state(self, name: str) -> dict[str, Any]:
        """Return the state dump of an instance."""
        async with self.session.get(f"http://{self.addresses[name][2]}/state") as response:
            return dict(await response.json())

    async def number(self, name: str) -> int:
        """Return the number of the note in force on an instance, 0 for none."""
        note = (await self.state(name))["note"]
        return note["number"] if note else 0

    async def is_ready(self, name: str) -> bool:
        """Return whether an instance can ask every server that runs."""
        dump = await self.state(name)
        known = [server["snapshots"] for server in dump["servers"] if server["reachable"]]
        return bool(dump["health"]["ready"] and known and all(known))

    async def put(self, address: str, path: str, value: Any) -> bool:
        """Change a value of a stand-in."""
        async with self.session.put(f"http://{address}/{path}", data=orjson.dumps(value)) as answer:
            return answer.status == 200

    async def publish(self, document: dict[str, Any]) -> None:
        """Set the note of the platform as soon as it listens."""
        await until(lambda: self.put(self.platform, "control/note", document))

    async def upstream(self, server: desk.DeskServer) -> dict[str, Any]:
        """Return what a stand-in counts."""
        async with self.session.get(f"http://{server.address}/control") as answer:
            return dict(await answer.json())

    def server(self, id_: str) -> desk.DeskServer:
        return next(server for server in self.servers if server.id == id_)

    @asynccontextmanager
    async def load(self, callers: int = 6) -> AsyncIterator[None]:
        """Keep searches running; those of a caller follow each other."""
        is_over = False

        async def keep_calling(number: int) -> None:
            while not is_over:
                await self.search(self.targets[number % len(self.targets)])
                await asyncio.sleep(0.01)

        tasks = [asyncio.create_task(keep_calling(number)) for number in range(callers)]
        try:
            yield
            is_over = True
            await asyncio.gather(*tasks)
        finally:
            for task in tasks:
                task.cancel()

    async def more_full(self, *names: str, count: int = 10) -> None:
        """Wait until further searches at the instances cover everything."""
        wanted = {name: self.full[name] + count for name in names}
        await until(lambda: all(self.full[name] >= wanted[name] for name in names))


JSON = {"Content-Type": "application/json"}


async def until(holds: Callable[[], bool | Awaitable[bool]]) -> None:
    """Wait until a condition holds; a refused connection counts as not yet."""
    while True:
        with suppress(aiohttp.ClientError):
            result = holds()
            if result if isinstance(result, bool) else await result:
                return
        await asyncio.sleep(0.02)


@asynccontextmanager
async def running(
    folder: Path, lone_of_service: bool = False, relay: Any = None
) -> AsyncIterator[Desk]:
    """Run the desk until its instances are ready; all processes are ended afterwards.

    :param lone_of_service: whether the lone server is the only one of its service.
    :param relay: stands before the lone server; gets its address as ``target``.
    """
    addresses = free_addresses(1 + 30 + 3 * len(ENTRIES))
    servers = desk.desk_servers(addresses[1:31])
    if lone_of_service:
        servers = [item for item in servers if item.id == LONE or item.service != "jobs-0"]
    places = {name: addresses[31 + 3 * i : 34 + 3 * i] for i, name in enumerate(ENTRIES)}
    processes = Processes(folder)
    try:
        # Each search has a connection of its own, as a reset of a kept one is a race of HTTP/1.1.
        connector = aiohttp.TCPConnector(force_close=True, limit=0)
        async with asyncio.timeout(GUARD_S), aiohttp.ClientSession(connector=connector) as session:
            seen = [_seen_through(item, relay) for item in servers]
            note = desk.first_note(seen)
            result = Desk(processes, session, addresses[0], servers, places, note)
            result.start_platform()
            result.start_upstreams(LONE)
            result.start_upstreams("upstreams")
            for name in ENTRIES:
                result.start_entry(name)
            await result.publish(note)
            for name in ENTRIES:
                await until(lambda name=name: result.is_ready(name))
            yield result
    finally:
        processes.kill_all()


def _seen_through(server: desk.DeskServer, relay: Any) -> desk.DeskServer:
    if server.id != LONE or relay is None:
        return server
    host, _, port = server.address.rpartition(":")
    relay.target = (host, int(port))
    return desk.DeskServer(server.id, server.service, server.domain, relay.address)
