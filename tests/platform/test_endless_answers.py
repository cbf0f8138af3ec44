"""Tests of an instance with a server whose answers have no end; all are real processes."""

from __future__ import annotations

import asyncio
import json
import time
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING

import pytest
from aiohttp import ClientSession

from soak.processes import ManagedProcess
from standins.endless_answers import FORMS
from standins.shard_server import ShardServer
from tests.platform.serving import SETTINGS, SHARDS, Caller, configuration, free_ports

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path

FAULTY_ID = "s0n0"
TARGET_MS = 500.0  # targetLatencyMs of the route to the healthy service
MAX_RESIDENT_KB = 160_000  # memory of the smallest machine of a deployment
LOAD_S = 1.5


@dataclass
class Processes:
    """A store, servers and an instance.

    :param faulty_address: address of the server whose answers have no end.
    """

    instance: ManagedProcess
    front: int
    faulty_address: str
    session: ClientSession

    async def set_faulty(self, behaviour: str) -> None:
        """Set the behaviour of the faulty server."""
        url = f"http://{self.faulty_address}/control"
        async with self.session.put(url, data=json.dumps({"behaviour": behaviour})) as response:
            await response.read()

    async def wait_until_served(self, path: str) -> None:
        """Wait until a request is answered."""
        async with asyncio.timeout(15):
            while True:
                try:
                    if (await self.ask(path, "ready"))[0] == 200:
                        return
                except OSError:
                    pass
                await asyncio.sleep(0.1)

    async def ask(self, path: str, request_id: str) -> tuple[int, float]:
        """Send one request; return the status and the time to the answer in milliseconds."""
        started_at = time.monotonic()
        caller = Caller(*await asyncio.open_connection("127.0.0.1", self.front))
        try:
            answer = await caller.ask(path, request_id=request_id)
        finally:
            caller.writer.close()
        return answer.status, (time.monotonic() - started_at) * 1000


@asynccontextmanager
async def processes(folder: Path) -> AsyncIterator[Processes]:
    """Run the processes; the faulty server shares its process with no other."""
    services = [*(f"s{index}" for index in range(SHARDS)), "a"]
    front, ready, store, peer, *ports = free_ports(4 + 2 * len(services))
    models = [
        ShardServer(f"{service}n{index}", service, f"127.0.0.1:{ports.pop()}")
        for service in services
        for index in range(2)
    ]
    store_address = f"127.0.0.1:{store}"
    faulty = [f"{m.id}={m.service}={m.address}" for m in models if m.id == FAULTY_ID]
    sound = [f"{m.id}={m.service}={m.address}" for m in models if m.id != FAULTY_ID]
    path = folder / "node.toml"
    ports_by_name = {"front": front, "ready": ready, "store": store, "peer": peer}
    path.write_text(SETTINGS.format(**ports_by_name, seeds="", slack=500, grace_s=4))
    instance = ManagedProcess(
        "instance", ["-m", "turmerictiller.platform"], {"TURMERICTILLER_NODE_FILE": str(path)}
    )
    children = [
        ManagedProcess("store", ["-m", "standins.store", "--address", store_address]),
        ManagedProcess("faulty", ["-m", "standins.shard_server", *faulty]),
        ManagedProcess("sound", ["-m", "standins.shard_server", *sound]),
        instance,
    ]
    try:
        async with ClientSession() as session:
            for child in children:
                await child.start()
            documents = {f"servers/{model.id}": model.entry() for model in models}
            await publish(session, store_address, {**documents, "op/config": configuration()})
            found = Processes(instance, front, models[0].address, session)
            await found.wait_until_served("/search/start")
            await found.wait_until_served("/one/start")
            yield found
    except TimeoutError as error:
        state = {child.name: (child.is_running, child.errors) for child in children}
        raise AssertionError(f"not served in time: {state}") from error
    finally:
        for child in children:
            await child.end()


async def publish(session: ClientSession, address: str, documents: dict[str, object]) -> None:
    """Write documents to the store as soon as it listens."""
    async with asyncio.timeout(10):
        for key, document in documents.items():
            while True:
                try:
                    url = f"http://{address}/control/item?key={key}"
                    async with session.put(url, data=json.dumps(document)) as response:
                        await response.read()
                    break
                except OSError:
                    await asyncio.sleep(0.05)


@pytest.mark.parametrize("form", list(FORMS))
def test_endless_answer_delays_and_fails_no_other_request(form: str, tmp_path: Path) -> None:
    """Guards against one faulty server that stops the service of all clients of an instance."""
    others: list[tuple[int, float]] = []
    searches: list[tuple[int, float]] = []

    async def send_requests(found: Processes, kind: str, results: list[tuple[int, float]]) -> None:
        end = time.monotonic() + LOAD_S
        while time.monotonic() < end:
            name = f"{kind}{time.monotonic_ns()}"
            results.append(await found.ask(f"/{kind}/{name}", name))
            await asyncio.sleep(0.02)

    async def scenario() -> None:
        async with processes(tmp_path) as found:
            await found.set_faulty(f"endless_{form}")
            await asyncio.gather(
                *(send_requests(found, "one", others) for _ in range(2)),
                *(send_requests(found, "search", searches) for _ in range(2)),
            )
            resident_kb, _ = found.instance.usage()
            assert 0 < resident_kb < MAX_RESIDENT_KB

    asyncio.run(scenario())
    assert {status for status, _ in others} == {200}
    assert {status for status, _ in searches} == {200}
    assert max(ms for _, ms in others) < TARGET_MS
