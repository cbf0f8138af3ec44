"""Run the soak: ``python -m soak.run --seed 1 --seconds 20``.

The real programs run as separate processes; faults come from outside them, in series and overlapping,
chosen by the seed. The promises are checked from what callers and servers see, and from the logs.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import signal
import sys
import tempfile
import time
from collections import defaultdict
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING

from aiohttp import ClientSession

from soak.callers import Book, Checker
from soak.processes import Child
from soak.proxy import Proxy
from standins.shard_server import ShardServer
from tests.platform.serving import SETTINGS, configuration, free_ports

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

INSTANCES = 3
SHARDS = 4
SERVERS_PER_SERVICE = 3
CALLERS = 8
DRAIN_S = 3.0
DRAIN_SLACK_S = 0.5  # between the clocks' readings of two processes
RECOVERY_S = 7.0
LAST_S = 3.0
LEAST_SERVED = 0.9
MAX_RESIDENT_KB = 150_000
MAX_DESCRIPTORS = 500
SERVER_BEHAVIOURS = ("shed", "error", "truncate", "extra", "late_extra", "unframed_reset", "lost")
PROXY_MODES = ("delay", "silent", "cut_back", "refuse")
STORE_MODES = ("busy", "silent", "reset")


@dataclass
class Soak:
    """All processes and proxies of one run.

    :param drained_at_by_id: wall time at which a draining entry was acknowledged.
    """

    seed: int
    folder: Path
    rng: random.Random
    book: Book = field(default_factory=Book)
    version: int = 1
    instances: list[Child] = field(default_factory=list)
    servers: dict[str, Child] = field(default_factory=dict)
    models_by_id: dict[str, ShardServer] = field(default_factory=dict)
    proxies_by_id: dict[str, Proxy] = field(default_factory=dict)
    drained_at_by_id: dict[str, float] = field(default_factory=dict)
    store: Child | None = None
    store_address: str = ""
    caller_addresses: list[str] = field(default_factory=list)
    session: ClientSession | None = None
    faults: list[str] = field(default_factory=list)

    async def start(self) -> None:
        """Start everything."""
        front, ready, store, peer = free_ports(4)
        self.store_address = f"127.0.0.1:{store}"
        self.session = ClientSession()
        self.store = Child("store", ["-m", "standins.store", "--address", self.store_address])
        await self.store.start()
        names = [*(f"s{index}" for index in range(SHARDS)), "a"]
        ports = free_ports(len(names) * SERVERS_PER_SERVICE)
        await self._until_store_answers()
        for name in names:
            for index in range(SERVERS_PER_SERVICE):
                await self._start_server(f"{name}n{index}", name, f"127.0.0.1:{ports.pop()}")
        await self.configure(SHARDS)
        # Ports are the same on all instances, so each run and instance has a host of its own.
        hosts = f"127.{1 + self.seed % 200}.{1 + self.seed // 200 % 200}"
        for number in range(1, INSTANCES + 1):
            host = f"{hosts}.{number}"
            text = SETTINGS.format(
                front=front,
                ready=ready,
                store=store,
                peer=peer,
                slack=500,
                grace_s=4,
                seeds=f'"{hosts}.1:1", "{hosts}.2:1"',
            ).replace(f"127.0.0.1:{front}", f"{host}:{front}")
            text = text.replace(f"127.0.0.1:{ready}", f"{host}:{ready}")
            text = text.replace('ip = "127.0.0.1"', f'ip = "{host}"')
            path = self.folder / f"instance-{number}.toml"
            path.write_text(text.replace("front-here-1", f"instance-{number}"))
            child = Child(
                f"instance-{number}",
                ["-m", "turmerictiller.platform"],
                {"TURMERICTILLER_NODE_FILE": str(path)},
            )
            self.instances.append(child)
            self.caller_addresses.append(f"{host}:{front}")
            await child.start()

    async def _until_store_answers(self) -> None:
        async with asyncio.timeout(10):
            while True:
                try:
                    await self.set_store("ok")
                    return
                except OSError:
                    await asyncio.sleep(0.05)

    async def _start_server(self, server_id: str, service: str, address: str) -> None:
        child = Child(
            server_id,
            ["-m", "standins.shard_server", "--tell-runs", f"{server_id}={service}={address}"],
        )
        await child.start()
        self.servers[server_id] = child
        proxy = Proxy(address)
        await proxy.open()
        self.proxies_by_id[server_id] = proxy
        self.models_by_id[server_id] = ShardServer(server_id, service, proxy.address)
        await self.publish(server_id)

    async def publish(self, server_id: str, draining: bool = False) -> None:
        """Write the entry of a server."""
        model = self.models_by_id[server_id]
        model.draining = draining
        await self._put(f"/control/item?key=servers/{server_id}", model.entry())

    async def configure(self, shards: int) -> None:
        """Publish the next version, with some of the shards."""
        document = configuration(self.version, shards)
        self.version += 1
        await self._put("/control/item?key=op/config", document)

    async def set_store(self, mode: str, history: bool = True) -> None:
        """Set how the store answers readers."""
        await self._put("/control/mode", {"mode": mode, "history": history})

    async def _put(self, path: str, body: object) -> None:
        assert self.session is not None
        url = f"http://{self.store_address}{path}"
        async with self.session.put(url, data=json.dumps(body)) as response:
            await response.read()

    # Faults; each undoes itself

    async def kill_instance(self) -> None:
        """Kill an instance and start it again."""
        child = self.rng.choice(self.instances)
        child.send(signal.SIGKILL)
        await child.wait(5)
        await asyncio.sleep(self.rng.uniform(0, 1))
        await child.start()

    async def stop_instance(self) -> None:
        """Stop an instance gracefully and start it again."""
        child = self.rng.choice(self.instances)
        if not child.is_running or child.paused:
            return
        child.send(signal.SIGTERM)
        if not await child.wait(6) and child.is_running and not child.paused:
            self.book.problems.append(f"{child.name} did not end within its grace")
            child.send(signal.SIGKILL)
            await child.wait(5)
        await child.start()

    async def reload_instance(self) -> None:
        """Let an instance read its settings again."""
        self.rng.choice(self.instances).send(signal.SIGHUP)

    async def pause_instance(self) -> None:
        """Freeze an instance for a while."""
        child = self.rng.choice(self.instances)
        child.send(signal.SIGSTOP)
        await asyncio.sleep(self.rng.uniform(0.2, 2))
        child.send(signal.SIGCONT)

    async def pause_server(self) -> None:
        """Freeze a server for a while."""
        child = self.rng.choice(list(self.servers.values()))
        child.send(signal.SIGSTOP)
        await asyncio.sleep(self.rng.uniform(0.1, 1))
        child.send(signal.SIGCONT)

    async def kill_server(self) -> None:
        """Kill a server and start it again as a new incarnation."""
        server_id = self.rng.choice(list(self.servers))
        child = self.servers[server_id]
        child.send(signal.SIGKILL)
        await child.wait(5)
        await asyncio.sleep(self.rng.uniform(0.2, 2))
        await child.start()

    async def drain_server(self) -> None:
        """Let a server report that it leaves, and come back later."""
        server_id = self.rng.choice(list(self.servers))
        if server_id in self.drained_at_by_id:
            return
        await self.publish(server_id, draining=True)
        self.drained_at_by_id[server_id] = time.time()
        await asyncio.sleep(DRAIN_S + 2)

    async def spoil_server(self) -> None:
        """Let a server give bad answers."""
        server_id = self.rng.choice(list(self.servers))
        behaviour = self.rng.choice(SERVER_BEHAVIOURS)
        await self._behave(server_id, {"behaviour": behaviour, "share": 0.4})
        await asyncio.sleep(self.rng.uniform(0.5, 3))
        await self._behave(server_id, {"behaviour": "ok"})

    async def _behave(self, server_id: str, body: dict[str, object]) -> None:
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
            pass  # the server is down or frozen; it comes back with good behaviour or keeps it

    async def trouble_links(self) -> None:
        """Let the connections to some servers misbehave."""
        chosen = self.rng.sample(list(self.proxies_by_id.values()), self.rng.randint(1, 5))
        mode = self.rng.choice(PROXY_MODES)
        for proxy in chosen:
            proxy.mode = mode
        await asyncio.sleep(self.rng.uniform(0.3, 3))
        for proxy in chosen:
            proxy.mode = "ok"

    async def reset_links(self) -> None:
        """Reset all open connections to some servers."""
        for proxy in self.rng.sample(list(self.proxies_by_id.values()), 6):
            proxy.reset()

    async def trouble_store(self) -> None:
        """Let the store fail its readers, and forget its history now and then."""
        await self.set_store(self.rng.choice(STORE_MODES), history=self.rng.random() < 0.5)
        await asyncio.sleep(self.rng.uniform(0.5, 4))
        await self.set_store("ok")

    async def change_configuration(self) -> None:
        """Publish other shards."""
        await self.configure(self.rng.choice((SHARDS - 1, SHARDS)))

    # The run

    async def play(self, seconds: float) -> None:
        """Let faults overlap for some seconds, then look whether service returns."""
        await asyncio.sleep(2)
        checkers = [
            Checker(
                number,
                self.caller_addresses,
                self.models_by_id,
                (SHARDS - 1, SHARDS),
                self.book,
                random.Random(self.seed * 1_000 + number),
            )
            for number in range(CALLERS)
        ]
        tasks = [asyncio.create_task(checker.run()) for checker in checkers]
        kinds: list[Callable[[], Awaitable[None]]] = [
            self.kill_instance,
            self.stop_instance,
            self.reload_instance,
            self.pause_instance,
            self.pause_server,
            self.kill_server,
            self.drain_server,
            self.spoil_server,
            self.spoil_server,
            self.trouble_links,
            self.trouble_links,
            self.reset_links,
            self.trouble_store,
            self.change_configuration,
        ]
        end = time.monotonic() + seconds
        running: set[asyncio.Task[None]] = set()
        while time.monotonic() < end:
            kind = self.rng.choice(kinds)
            self.faults.append(kind.__name__)
            running.add(asyncio.create_task(kind()))  # type: ignore[arg-type]
            self._check_usage()
            await asyncio.sleep(self.rng.uniform(0.1, 1.2))
        await asyncio.gather(*running)
        for server_id in list(self.drained_at_by_id):
            await self.publish(server_id)
        await asyncio.sleep(RECOVERY_S)
        before = self.book.statuses.copy()
        await asyncio.sleep(LAST_S)
        self._check_recovery(self.book.statuses - before)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _check_usage(self) -> None:
        for child in self.instances:
            resident_kb, descriptors = child.usage()
            if resident_kb > MAX_RESIDENT_KB or descriptors > MAX_DESCRIPTORS:
                text = f"{child.name} uses {resident_kb} kB and {descriptors} descriptors"
                self.book.problems.append(text)

    def _check_recovery(self, last: dict[str, int]) -> None:
        served = sum(count for status, count in last.items() if status.endswith(" 200"))
        if served < LEAST_SERVED * sum(last.values()) or not served:
            self.book.problems.append(f"service has not returned: {dict(last)}")

    async def end(self) -> None:
        """End all processes, and check what servers ran and instances logged."""
        children = [*self.instances, *self.servers.values(), *([self.store] if self.store else [])]
        await asyncio.gather(*(child.end() for child in children))
        for proxy in self.proxies_by_id.values():
            proxy.close()
        if self.session is not None:
            await self.session.close()
        self._check_runs()
        self._check_logs()

    def _check_runs(self) -> None:
        servers_by_request: dict[str, list[str]] = defaultdict(list)
        for server_id, child in self.servers.items():
            drained_at = self.drained_at_by_id.get(server_id, float("inf"))
            for line in (line for life in child.lines_by_life for line in life):
                at, _, request_id, method, path = line.split(" ")
                if path.startswith("/once/"):
                    servers_by_request[request_id].append(server_id)
                self._check_drained(server_id, float(at), drained_at, f"{method} {path}")
        for request_id, servers in servers_by_request.items():
            if len(servers) > 1:
                self.book.problems.append(f"{request_id} ran {len(servers)} times: {servers}")
            if request_id in self.book.not_run:
                self.book.problems.append(f"{request_id} was refused as not run, and ran")
        for request_id, server_id in self.book.served_once.items():
            if servers_by_request[request_id] != [server_id]:
                self.book.problems.append(f"{request_id} was answered by {server_id}, but not run")

    def _check_drained(self, server_id: str, at: float, drained_at: float, path: str) -> None:
        latest = drained_at + DRAIN_S + DRAIN_SLACK_S
        # Afterwards the server is published again. A store that fails hides the entry meanwhile.
        if latest < at < drained_at + DRAIN_S + 2 and "trouble_store" not in self.faults:
            self.book.problems.append(
                f"{server_id} drained at {drained_at:.3f} and ran {path} at {at}"
            )

    def _check_logs(self) -> None:
        for child in self.instances:
            if child.errors:
                self.book.problems.append(f"{child.name} wrote errors: {child.errors[:3]}")
            for life in child.lines_by_life:
                events = []
                for line in life:
                    try:
                        events.append(json.loads(line))
                    except json.JSONDecodeError:
                        # A process that is killed leaves the last line unfinished.
                        continue
                faults = [event for event in events if event["event"].endswith("_failed")]
                if faults:
                    self.book.problems.append(f"{child.name} failed: {faults[0]}")
                versions = [e["version"] for e in events if e["event"] == "configuration"]
                if versions != sorted(set(versions)):
                    self.book.problems.append(f"{child.name} went back: {versions}")


async def soak(seed: int, seconds: float) -> Soak:
    """Play one seed and return what was seen."""
    with tempfile.TemporaryDirectory() as folder:
        played = Soak(seed, Path(folder), random.Random(seed))
        try:
            await played.start()
            await played.play(seconds)
        finally:
            await played.end()
        return played


def main() -> int:
    """Play seeds one after the other; return 1 if a promise was broken."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--seed", type=int, default=None, help="one seed; drawn if left out")
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds, counted up")
    parser.add_argument("--seconds", type=float, default=15.0, help="time of faults per seed")
    options = parser.parse_args()
    first = random.randrange(10**6) if options.seed is None else options.seed
    broken = 0
    for seed in range(first, first + options.seeds):
        played = asyncio.run(soak(seed, options.seconds))
        statuses = dict(sorted(played.book.statuses.items()))
        print(f"seed {seed}: {len(played.faults)} faults, {statuses}", flush=True)
        for problem in played.book.problems:
            print(f"  broken: {problem}", flush=True)
        broken += bool(played.book.problems)
    print(f"{options.seeds} seeds, {broken} with broken promises")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
