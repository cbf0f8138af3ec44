"""Runs the booking desk as processes on loopback, under a continuous load of searches."""

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

SEPARATE_SERVER = "jobs-0-almadies"  # runs in its own process, so that tests can kill or freeze it
ENTRIES = ("e1", "e2", "e3")
DEADLINE_MS = 1_500.0
TEST_TIMEOUT_S = 60.0  # ends a test that hangs; no test relies on it
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
class DeskCluster:
    """Hold the processes of the desk, their addresses, and the results of the searches.

    :param addresses_by_instance: caller, peer and operator address of each instance.
    :param answers: number of answered searches by instance and HTTP status.
    :param connection_errors: number of searches by instance whose connection ended unanswered.
    :param refusals: instance, HTTP status and body of each answer other than 200.
    :param full_answers: number of answers by instance that cover all shards.
    :param problems: errors found in answers.
    :param targets: instances to which searches are sent.
    """

    processes: Processes
    session: aiohttp.ClientSession
    platform: str
    servers: list[desk.DeskServer]
    addresses_by_instance: dict[str, list[str]]
    note: dict[str, Any]
    answers: Counter[tuple[str, int]] = field(default_factory=Counter)
    connection_errors: Counter[str] = field(default_factory=Counter)
    refusals: list[tuple[str, int, Any]] = field(default_factory=list)
    full_answers: Counter[str] = field(default_factory=Counter)
    problems: list[str] = field(default_factory=list)
    targets: list[str] = field(default_factory=lambda: list(ENTRIES))
    query_numbers: itertools.count[int] = field(default_factory=itertools.count)

    def start_entry_process(self, name: str) -> None:
        """Start or restart an instance on its addresses."""
        caller, peer, operator = self.addresses_by_instance[name]
        peers = ",".join(item[1] for item in self.addresses_by_instance.values() if item[1] != peer)
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

    def start_platform_process(self) -> None:
        self.processes.start("platform", "standins.platform", "--address", self.platform)

    def start_upstream_process(self, name: str) -> None:
        """Start the process of the separate server, or the one of all other servers."""
        rows = [
            server.as_argument()
            for server in self.servers
            if (server.id == SEPARATE_SERVER) is (name == SEPARATE_SERVER)
        ]
        self.processes.start(name, "standins.upstream", "--servers", orjson.dumps(rows).decode())

    async def call(self, name: str, path: str, body: Any) -> tuple[int, Any]:
        """Send a POST request to the caller port of an instance; return status and body."""
        url = f"http://{self.addresses_by_instance[name][0]}/v1/fronts/booking/{path}"
        async with self.session.post(url, data=orjson.dumps(body), headers=JSON) as response:
            return response.status, await response.json()

    async def search(self, name: str) -> dict[str, Any] | None:
        """Run one search, and check and count its answer.

        Return ``None`` if the search failed or was refused.
        """
        query = f"velvet {next(self.query_numbers)}"
        body = {"query": query, "k": 5, "deadline_ms": DEADLINE_MS}
        try:
            status, answer = await self.call(name, "search", body)
        except aiohttp.ClientError:
            self.connection_errors[name] += 1
            return None
        self.answers[name, status] += 1
        if status != 200:
            self.refusals.append((name, status, answer))
            return None
        self.problems += desk.find_problems(answer, query, 5)
        self.full_answers[name] += answer["coverage"]["share"] == 1
        return dict(answer)

    async def state(self, name: str) -> dict[str, Any]:
        """Return the state dump of an instance."""
        async with self.session.get(
            f"http://{self.addresses_by_instance[name][2]}/state"
        ) as response:
            return dict(await response.json())

    async def note_number(self, name: str) -> int:
        """Return the number of the note in force on an instance, 0 for none."""
        note = (await self.state(name))["note"]
        return note["number"] if note else 0

    async def is_ready(self, name: str) -> bool:
        """Return whether an instance is ready and has a snapshot of each reachable server."""
        dump = await self.state(name)
        snapshots = [server["snapshots"] for server in dump["servers"] if server["reachable"]]
        return bool(dump["health"]["ready"] and snapshots and all(snapshots))

    async def put(self, address: str, path: str, value: Any) -> bool:
        """Put a JSON value to a stand-in; return whether it accepted it."""
        async with self.session.put(f"http://{address}/{path}", data=orjson.dumps(value)) as answer:
            return answer.status == 200

    async def publish(self, document: dict[str, Any]) -> None:
        """Set the note of the platform, retrying until the platform accepts it."""
        await until(lambda: self.put(self.platform, "control/note", document))

    async def upstream_stats(self, server: desk.DeskServer) -> dict[str, Any]:
        """Return the counters of a stand-in server."""
        async with self.session.get(f"http://{server.address}/control") as answer:
            return dict(await answer.json())

    def server(self, id_: str) -> desk.DeskServer:
        return next(server for server in self.servers if server.id == id_)

    @asynccontextmanager
    async def load(self, callers: int = 6) -> AsyncIterator[None]:
        """Run callers that send one search after the other."""
        is_stopped = False

        async def keep_calling(number: int) -> None:
            while not is_stopped:
                await self.search(self.targets[number % len(self.targets)])
                await asyncio.sleep(0.01)

        tasks = [asyncio.create_task(keep_calling(number)) for number in range(callers)]
        try:
            yield
            is_stopped = True
            await asyncio.gather(*tasks)
        finally:
            for task in tasks:
                task.cancel()

    async def wait_for_full_answers(self, *names: str, count: int = 10) -> None:
        """Wait until each instance has given ``count`` more answers that cover all shards."""
        wanted = {name: self.full_answers[name] + count for name in names}
        await until(lambda: all(self.full_answers[name] >= wanted[name] for name in names))


JSON = {"Content-Type": "application/json"}


async def until(condition: Callable[[], bool | Awaitable[bool]]) -> None:
    """Wait until a condition holds; after a client error, check it again."""
    while True:
        with suppress(aiohttp.ClientError):
            result = condition()
            if result if isinstance(result, bool) else await result:
                return
        await asyncio.sleep(0.02)


@asynccontextmanager
async def running_cluster(
    folder: Path, is_only_in_service: bool = False, relay: Any = None
) -> AsyncIterator[DeskCluster]:
    """Start the desk, yield it once its instances are ready, and kill all processes at the end.

    :param is_only_in_service: whether the separate server is the only one of its service.
    :param relay: proxy to the separate server, whose address is set as its ``target``.
    """
    addresses = free_addresses(1 + 30 + 3 * len(ENTRIES))
    servers = desk.desk_servers(addresses[1:31])
    if is_only_in_service:
        servers = [
            item for item in servers if item.id == SEPARATE_SERVER or item.service != "jobs-0"
        ]
    addresses_by_instance = {
        name: addresses[31 + 3 * i : 34 + 3 * i] for i, name in enumerate(ENTRIES)
    }
    processes = Processes(folder)
    try:
        # Each search uses a new connection: on a keep-alive connection, a request can race with
        # the close by the server and is then reset, as HTTP/1.1 permits.
        connector = aiohttp.TCPConnector(force_close=True, limit=0)
        async with (
            asyncio.timeout(TEST_TIMEOUT_S),
            aiohttp.ClientSession(connector=connector) as session,
        ):
            relayed_servers = [_relayed(item, relay) for item in servers]
            note = desk.first_note(relayed_servers)
            cluster = DeskCluster(
                processes, session, addresses[0], servers, addresses_by_instance, note
            )
            cluster.start_platform_process()
            cluster.start_upstream_process(SEPARATE_SERVER)
            cluster.start_upstream_process("upstreams")
            for name in ENTRIES:
                cluster.start_entry_process(name)
            await cluster.publish(note)
            for name in ENTRIES:
                await until(lambda name=name: cluster.is_ready(name))
            yield cluster
    finally:
        processes.kill_all()


def _relayed(server: desk.DeskServer, relay: Any) -> desk.DeskServer:
    if server.id != SEPARATE_SERVER or relay is None:
        return server
    host, _, port = server.address.rpartition(":")
    relay.target = (host, int(port))
    return desk.DeskServer(server.id, server.service, server.domain, relay.address)
