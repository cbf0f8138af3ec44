"""The processes and proxies of one run of the soak."""

from __future__ import annotations

import asyncio
import json
import random
from dataclasses import dataclass, field
from pathlib import Path

from aiohttp import ClientSession

from soak.callers import SoakResults
from soak.processes import ManagedProcess
from soak.proxy import Proxy
from standins.shard_server import ShardServer
from tests.platform.serving import SETTINGS, configuration, free_ports

INSTANCES = 3
SHARDS = 4
SERVERS_PER_SERVICE = 3


@dataclass
class Deployment:
    """All processes and proxies of one run.

    :param extra_routes: routes of the configuration beside those that callers use.
    :param drained_at_by_id: wall time at which a draining entry was acknowledged.
    :param servers: processes by server id.
    :param leaving_ids: servers that announce in their answers that they leave.
    :param link_faults: start and end (wall time) of faults on connections to servers.
    :param store_faults: start and end (wall time) of faults that may make the store unreadable.
    :param fault_names: injected faults in their order.
    """

    seed: int
    folder: Path
    rng: random.Random
    results: SoakResults = field(default_factory=SoakResults)
    version: int = 1
    extra_routes: int = 0
    instances: list[ManagedProcess] = field(default_factory=list)
    servers: dict[str, ManagedProcess] = field(default_factory=dict)
    server_models_by_id: dict[str, ShardServer] = field(default_factory=dict)
    proxies_by_id: dict[str, Proxy] = field(default_factory=dict)
    drained_at_by_id: dict[str, float] = field(default_factory=dict)
    leaving_ids: set[str] = field(default_factory=set)
    link_faults: list[tuple[float, float]] = field(default_factory=list)
    store_faults: list[tuple[float, float]] = field(default_factory=list)
    store: ManagedProcess | None = None
    store_address: str = ""
    store_proxies: list[Proxy] = field(default_factory=list)
    caller_addresses: list[str] = field(default_factory=list)
    session: ClientSession | None = None
    fault_names: list[str] = field(default_factory=list)

    async def start(self) -> None:
        """Start the store, the servers, the proxies and the instances."""
        front, ready, store, peer = free_ports(4)
        self.store_address = f"127.0.0.1:{store}"
        self.session = ClientSession()
        self.store = ManagedProcess(
            "store", ["-m", "standins.store", "--address", self.store_address]
        )
        await self.store.start()
        services = [*(f"s{index}" for index in range(SHARDS)), "a"]
        ports = free_ports(len(services) * SERVERS_PER_SERVICE)
        await self._wait_for_store()
        for service in services:
            for index in range(SERVERS_PER_SERVICE):
                await self._start_server(f"{service}n{index}", service, f"127.0.0.1:{ports.pop()}")
        await self.publish_configuration(SHARDS)
        # All instances use the same ports, so each has its own loopback address, set by the seed.
        hosts = f"127.{1 + self.seed % 200}.{1 + self.seed // 200 % 200}"
        for number in range(1, INSTANCES + 1):
            host = f"{hosts}.{number}"
            proxy = Proxy(self.store_address)
            await proxy.open()
            self.store_proxies.append(proxy)
            text = SETTINGS.format(
                front=front,
                ready=ready,
                store=proxy.address.rpartition(":")[2],
                peer=peer,
                slack=500,
                grace_s=4,
                seeds=f'"{hosts}.1:1", "{hosts}.2:1"',
            ).replace(f"127.0.0.1:{front}", f"{host}:{front}")
            text = text.replace(f"127.0.0.1:{ready}", f"{host}:{ready}")
            text = text.replace('ip = "127.0.0.1"', f'ip = "{host}"')
            path = self.folder / f"instance-{number}.toml"
            path.write_text(text.replace("front-here-1", f"instance-{number}"))
            child = ManagedProcess(
                f"instance-{number}",
                ["-m", "turmerictiller.platform"],
                {"TURMERICTILLER_NODE_FILE": str(path)},
            )
            self.instances.append(child)
            self.caller_addresses.append(f"{host}:{front}")
            await child.start()

    async def _wait_for_store(self) -> None:
        async with asyncio.timeout(10):
            while True:
                try:
                    await self.set_store("ok")
                    return
                except OSError:
                    await asyncio.sleep(0.05)

    async def _start_server(self, server_id: str, service: str, address: str) -> None:
        child = ManagedProcess(
            server_id,
            ["-m", "standins.shard_server", "--tell-runs", f"{server_id}={service}={address}"],
        )
        await child.start()
        self.servers[server_id] = child
        proxy = Proxy(address)
        await proxy.open()
        self.proxies_by_id[server_id] = proxy
        self.server_models_by_id[server_id] = ShardServer(server_id, service, proxy.address)
        await self.publish(server_id)

    async def publish(self, server_id: str, draining: bool = False) -> None:
        """Write the entry of a server to the store."""
        model = self.server_models_by_id[server_id]
        model.draining = draining
        await self._put(f"/control/item?key=servers/{server_id}", model.entry())

    async def publish_configuration(self, shards: int) -> None:
        """Publish the next configuration version with the given number of shards."""
        document = configuration(self.version, shards)
        single = document["routes"][1]
        document["routes"] += [
            {**single, "name": f"r{number}", "prefix": f"/r{number}/"}
            for number in range(self.extra_routes)
        ]
        self.version += 1
        await self._put("/control/item?key=op/config", document)

    async def set_store(self, mode: str, history: bool = True) -> None:
        """Set the fault mode of the store.

        :param history: false drops the history, so that watches must start again.
        """
        await self._put("/control/mode", {"mode": mode, "history": history})

    async def _put(self, path: str, body: object) -> None:
        assert self.session is not None
        url = f"http://{self.store_address}{path}"
        async with self.session.put(url, data=json.dumps(body)) as response:
            await response.read()

    async def set_behaviour(self, server_id: str, body: dict[str, object]) -> None:
        """Set the behaviour of a server; ignored if the server cannot be reached."""
        assert self.session is not None
        try:
            async with (
                asyncio.timeout(2),
                self.session.put(
                    f"http://{self.proxies_by_id[server_id].target}/control", data=json.dumps(body)
                ) as response,
            ):
                await response.read()
        except (OSError, TimeoutError):
            pass  # a killed server restarts with defaults; a paused one keeps its behaviour

    async def end(self) -> None:
        """End all processes and collect their output."""
        children = [*self.instances, *self.servers.values(), *([self.store] if self.store else [])]
        await asyncio.gather(*(child.end() for child in children))
        for proxy in [*self.proxies_by_id.values(), *self.store_proxies]:
            await proxy.close()
        if self.session is not None:
            await self.session.close()
