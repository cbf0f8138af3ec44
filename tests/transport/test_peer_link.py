"""Tests of exchanges between instances whose links are small."""

from __future__ import annotations

import asyncio
import base64
import os
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING

import orjson

from standins.shard_server import ShardServer
from tests.platform.serving import configuration, free_ports
from tests.slow_link import SlowLink
from turmerictiller.clock import Clock
from turmerictiller.forwarding.effects import SendGossip
from turmerictiller.forwarding.events import RegistryLost
from turmerictiller.forwarding.peers import GOSSIP_INTERVAL_MS, build_gossip
from turmerictiller.forwarding.readers import ReadPlan
from turmerictiller.forwarding.settings import ForwardingSettings
from turmerictiller.platform.http_dialect import DIALECT
from turmerictiller.platform.registry import CONFIGURATION_KEY, RegistryReplica
from turmerictiller.platform.store import StoreClient, StoreItem
from turmerictiller.transport.http_client import ConnectionPool
from turmerictiller.transport.peer_link import PeerLink
from turmerictiller.transport.shell import ForwardingShell

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

MAX_VALUE_BYTES = 1_048_576  # largest value that the platform stores
LINK_BYTES_PER_S = 625_000  # 5 Mbit/s, the smallest link of a deployment
PROPAGATION_BOUND_MS = 5_000.0


@dataclass
class Instance:
    """The parts of an instance that exchange documents."""

    shell: ForwardingShell
    registry: RegistryReplica
    peers: PeerLink

    @property
    def version(self) -> int:
        """Version of the configuration in force."""
        configuration = self.shell.state.configuration
        return configuration.version if configuration is not None else 0

    def read_configuration(self, version: int, value: bytes) -> None:
        """Store a configuration as if it had been read from the platform's store."""
        self.registry._on_list(version, [StoreItem(CONFIGURATION_KEY, version, value)])

    def exchange_with(self, address: str) -> None:
        """Start an exchange with the instance at an address."""
        self.peers.send_exchange(SendGossip(address, build_gossip(self.shell.state)))


def large_configuration(version: int) -> bytes:
    """Return a configuration of the largest size, which hardly compresses."""
    document = configuration(version)
    padding = MAX_VALUE_BYTES - len(orjson.dumps(document)) - 100
    document["padding"] = base64.b64encode(os.urandom(padding * 3 // 4)).decode()
    return orjson.dumps(document)


def new_instance(name: str, address: str) -> Instance:
    """Return an instance that does not read the store."""
    clock = Clock()
    settings = ForwardingSettings(name, "north", peer_address=address)
    shell = ForwardingShell(settings, DIALECT, clock, max_connections=16)
    registry = RegistryReplica(
        StoreClient("127.0.0.1:1", ConnectionPool(clock), clock),
        clock,
        PROPAGATION_BOUND_MS,
        PROPAGATION_BOUND_MS,
        lambda: ReadPlan.FOLLOWER,
        shell.dispatch,
        shell.log.write,
    )
    return Instance(shell, registry, PeerLink(shell, registry))


@dataclass
class Fleet:
    """One instance that is behind, others that are up to date, and the link to the former.

    :param addresses: addresses at which the replies of the others pass the link.
    """

    late: Instance
    current: list[Instance]
    addresses: list[str]


@asynccontextmanager
async def fleet(current: int, value: bytes) -> AsyncIterator[Fleet]:
    """Run a fleet in which some instances have version 2, and one has version 1."""
    link = SlowLink(LINK_BYTES_PER_S)
    ports = free_ports(current + 1)
    instances = [new_instance(f"e{port}", f"127.0.0.1:{port}") for port in ports]
    late, *others = instances
    proxies: list[asyncio.Server] = []

    async def open_proxy(port: int) -> str:
        async def relay(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            peer_reader, peer_writer = await asyncio.open_connection("127.0.0.1", port)
            replies = asyncio.create_task(link.relay(peer_reader, writer))
            try:
                while data := await reader.read(65_536):
                    peer_writer.write(data)
            except ConnectionError:
                pass
            finally:
                replies.cancel()
                writer.close()
                peer_writer.close()

        proxies.append(await asyncio.start_server(relay, "127.0.0.1", 0))
        return f"127.0.0.1:{proxies[-1].sockets[0].getsockname()[1]}"

    for instance in instances:
        await instance.peers.listener.open(instance.shell.settings.peer_address)
    addresses = [await open_proxy(port) for port in ports[1:]]
    late.read_configuration(1, orjson.dumps(configuration(1)))
    for instance in others:
        instance.read_configuration(2, value)
    try:
        yield Fleet(late, others, addresses)
    finally:
        for instance in instances:
            instance.peers.close()
            instance.shell.close()
        for proxy in proxies:
            proxy.close()
        await asyncio.sleep(0.05)  # lets the proxies close their connections


async def wait_for_version(found: Fleet, exchanges: int) -> None:
    """Start exchanges in each interval until the late instance has version 2."""
    async with asyncio.timeout(PROPAGATION_BOUND_MS / 1000):
        while True:
            for address in found.addresses[:exchanges]:
                found.late.exchange_with(address)
            for _ in range(10):
                await asyncio.sleep(GOSSIP_INTERVAL_MS / 10_000)
                if found.late.version == 2:
                    return


def test_largest_configuration_arrives_over_a_slow_link() -> None:
    """Guards against an instance that stays behind because each exchange is cut off."""

    async def scenario() -> None:
        async with fleet(1, large_configuration(2)) as found:
            await wait_for_version(found, exchanges=1)

    asyncio.run(scenario())


def test_configuration_that_several_instances_offer_is_sent_once() -> None:
    """Guards against replies with the same documents that slow each other down."""

    async def scenario() -> None:
        value = large_configuration(2)
        async with fleet(3, value) as found:
            await wait_for_version(found, exchanges=3)
            sent = sum(item.shell.counters["exchanges.reply_bytes"] for item in found.current)
            assert sent < 1.1 * len(value)

    asyncio.run(scenario())


def test_configuration_is_sent_compressed() -> None:
    """Guards against configurations that take the links of few instances for seconds."""

    async def scenario() -> None:
        document = configuration(2)
        one = document["routes"][1]
        document["routes"] += [
            {**one, "name": f"r-{os.urandom(4).hex()}", "prefix": f"/{os.urandom(4).hex()}/"}
            for _ in range(4_000)
        ]
        value = orjson.dumps(document)
        async with fleet(1, value) as found:
            await wait_for_version(found, exchanges=1)
            assert found.current[0].shell.counters["exchanges.reply_bytes"] < len(value) / 4

    asyncio.run(scenario())


def test_small_changes_arrive_while_a_large_document_is_transferred() -> None:
    """Guards against requests to servers that drain while a configuration takes seconds."""
    entry = orjson.dumps(ShardServer("a", "s0", "127.0.0.1:9", draining=True).entry())

    async def scenario() -> None:
        value = large_configuration(2)
        async with fleet(2, value) as found:
            late = found.late
            for instance in (late, *found.current):
                instance.registry._advance_revision(1, 0.0)
            other = found.current[1].registry
            other.complete_since_revision = 1
            other._on_change(StoreItem("servers/a", 3, entry))
            late.shell.dispatch(RegistryLost(late.shell.now_ms(), "test"))
            late.exchange_with(found.addresses[0])
            await asyncio.sleep(0.1)
            late.exchange_with(found.addresses[1])
            async with asyncio.timeout(1):
                while "servers/a" not in late.registry.items_by_key:
                    await asyncio.sleep(0.02)
            assert late.version == 1
            assert found.current[1].shell.counters["exchanges.reply_bytes"] < 2_000

    asyncio.run(scenario())
