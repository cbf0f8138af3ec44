"""Real processes on loopback that are killed, frozen, stopped and cut off under load."""

from __future__ import annotations

import asyncio
import functools
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest

from bench import booking_desk as desk
from tests.desk_processes import ENTRIES, SEPARATE_SERVER, DeskCluster, running_cluster, until


def on_desk(**options: Any) -> Callable[[Callable[..., Awaitable[None]]], Callable[..., None]]:
    """Run a test on a desk of its own."""

    def decorate(test: Callable[..., Awaitable[None]]) -> Callable[..., None]:
        @functools.wraps(test)
        def run(tmp_path: Path) -> None:
            async def serve() -> None:
                async with running_cluster(tmp_path, **options) as cluster:
                    await test(cluster)
                    assert cluster.problems == []

            asyncio.run(serve())

        del run.__wrapped__  # type: ignore[attr-defined]
        return run

    return decorate


def refused(cluster: DeskCluster, *names: str) -> list[tuple[str, int, Any]]:
    """Return what searches at instances were answered in place of hits."""
    return [refusal for refusal in cluster.refusals if refusal[0] in names]


@on_desk()
async def test_killed_instance_breaks_only_its_own_calls(cluster: DeskCluster) -> None:
    """Guards against a loss that others feel, and a restart that does not find back."""
    async with cluster.load():
        await cluster.wait_for_full_answers(*ENTRIES)
        cluster.processes.kill("e2")
        await until(lambda: cluster.connection_errors["e2"] > 0)
        await cluster.wait_for_full_answers("e1", "e3")
        cluster.start_entry_process("e2")
        await cluster.wait_for_full_answers("e2")
    assert (
        cluster.connection_errors["e1"],
        cluster.connection_errors["e3"],
        refused(cluster, "e1", "e3"),
    ) == (0, 0, [])


@on_desk()
async def test_killed_upstream_costs_no_call(cluster: DeskCluster) -> None:
    """Guards against a search that a lost server fails, and a server that stays out of use."""
    async with cluster.load():
        await cluster.wait_for_full_answers(*ENTRIES)
        cluster.processes.kill(SEPARATE_SERVER)
        await cluster.wait_for_full_answers(*ENTRIES)
        cluster.start_upstream_process(SEPARATE_SERVER)
        await until(lambda: has_served(cluster, 0))
    assert (cluster.connection_errors, refused(cluster, *ENTRIES)) == ({}, [])
    assert sum(cluster.full_answers.values()) == sum(
        cluster.answers.values()
    ), "a lost call was not retried"


async def has_served(cluster: DeskCluster, before: int) -> bool:
    """Return whether the lone server has served more than before."""
    return int((await cluster.upstream_stats(cluster.server(SEPARATE_SERVER)))["served"]) > before


@on_desk()
async def test_frozen_upstream_is_routed_around_and_comes_back(cluster: DeskCluster) -> None:
    """Guards against searches that wait for a server that takes connections and never answers."""
    async with cluster.load():
        await until(lambda: has_served(cluster, 0))
        cluster.processes.signal(SEPARATE_SERVER, signal.SIGSTOP)
        await cluster.wait_for_full_answers(*ENTRIES, count=30)
        cluster.processes.signal(SEPARATE_SERVER, signal.SIGCONT)
        served = (await cluster.upstream_stats(cluster.server(SEPARATE_SERVER)))["served"]
        await until(lambda: has_served(cluster, served))
    assert (cluster.connection_errors, refused(cluster, *ENTRIES)) == ({}, [])


@on_desk()
async def test_frozen_instance_answers_late_and_takes_the_newer_note(cluster: DeskCluster) -> None:
    """Guards against a process that resumes with old timers and an old note, or loses calls."""
    async with cluster.load():
        await cluster.wait_for_full_answers(*ENTRIES)
        cluster.processes.signal("e2", signal.SIGSTOP)
        cluster.targets = ["e1", "e3"]
        frozen_at = (await cluster.state("e1"))["now_ms"]
        late = asyncio.create_task(cluster.search("e2"))
        await cluster.publish(desk.next_note(cluster.note))
        for name in cluster.targets:
            await until(lambda name=name: has_note_number(cluster, name, 2))

        async def is_long_enough() -> bool:
            return bool((await cluster.state("e1"))["now_ms"] > frozen_at + 1_500)

        await until(is_long_enough)
        assert not late.done()
        cluster.processes.signal("e2", signal.SIGCONT)
        await late
        await until(lambda: has_note_number(cluster, "e2", 2))
        assert (await cluster.state("e2"))["counters"]["pauses"] >= 1
        cluster.targets = list(ENTRIES)
        await cluster.wait_for_full_answers(*ENTRIES)
    assert cluster.connection_errors == {}
    assert refused(cluster, "e1", "e3") == []


async def has_note_number(cluster: DeskCluster, name: str, number: int) -> bool:
    """Return whether a note is in force on an instance."""
    return await cluster.note_number(name) == number


@on_desk()
async def test_shutdown_under_load_cuts_off_nothing(cluster: DeskCluster) -> None:
    """Guards against a call that a graceful shutdown breaks or refuses while balancers notice."""
    async with cluster.load(callers=9):
        await cluster.wait_for_full_answers(*ENTRIES)
        stopping = asyncio.create_task(asyncio.to_thread(cluster.processes.stop, ["e2"]))
        await until(lambda: is_leaving(cluster, "e2"))
        before = cluster.answers["e2", 200]
        await until(lambda: cluster.answers["e2", 200] > before)
        cluster.targets = ["e1", "e3"]
        assert await stopping == {"e2": 0}
        await cluster.wait_for_full_answers("e1", "e3")
    assert (cluster.connection_errors, refused(cluster, *ENTRIES)) == ({}, [])


async def is_leaving(cluster: DeskCluster, name: str) -> bool:
    """Return what the balancer sees of a shutdown."""
    async with cluster.session.get(
        f"http://{cluster.addresses_by_instance[name][0]}/health"
    ) as response:
        return response.status == 503


@on_desk()
async def test_platform_with_an_older_note_reverts_nothing(cluster: DeskCluster) -> None:
    """Guards against a stale platform that takes back a note, also on an instance that restarts."""
    await cluster.publish(desk.next_note(cluster.note))
    for name in ENTRIES:
        await until(lambda name=name: has_note_number(cluster, name, 2))
    cluster.processes.kill("platform")
    cluster.start_platform_process()
    await cluster.publish(cluster.note)
    for name in ENTRIES:
        await until(lambda name=name: has_refused_older(cluster, name))
    cluster.processes.kill("e3")
    cluster.start_entry_process("e3")
    numbers = set()

    async def has_joined() -> bool:
        numbers.add(await cluster.note_number("e3"))
        return await cluster.is_ready("e3")

    await until(has_joined)
    await until(lambda: has_refused_older(cluster, "e3"))
    assert numbers <= {0, 2}
    assert [await cluster.note_number(name) for name in ENTRIES] == [2, 2, 2]


async def has_refused_older(cluster: DeskCluster, name: str) -> bool:
    """Return whether an instance shows that it refused an older note."""
    return "older_note" in str((await cluster.state(name))["refused_notes"])


@pytest.mark.parametrize("when", ["before", "during", "after"])
def test_pickup_whose_owner_is_killed_runs_at_most_once(tmp_path: Path, when: str) -> None:
    """Guards against a second run, or a claim that nothing ran, once the owner's record is lost."""

    async def serve() -> None:
        async with running_cluster(tmp_path) as cluster:
            await _kill_owner(cluster, when)

    asyncio.run(serve())


async def _kill_owner(cluster: DeskCluster, when: str) -> None:
    servers = [server for server in cluster.servers if server.service == "jobs-0"]
    if when == "during":
        for server in servers:
            await cluster.put(server.address, "control", {"service_ms": 60_000.0})
    _, issued = await cluster.call("e1", "tickets", {})
    body = {"ticket": issued["ticket"], "action": "pickup", "body": {"job": 7}}
    body |= {"service": "jobs-0", "deadline_ms": 9_000.0}
    if when == "after":
        assert (await cluster.call("e2", "run", body))[1]["outcome"] == "done"
    elif when == "during":
        first = asyncio.create_task(cluster.call("e2", "run", body))
        await until(lambda: is_busy(cluster, servers))
    cluster.processes.kill("e1")
    if when == "during":
        assert (await first)[1]["outcome"] == "unknown"
    told = [(await cluster.call(name, "run", body))[1]["outcome"] for name in ("e2", "e3")]
    cluster.start_entry_process("e1")
    await until(lambda: cluster.is_ready("e1"))
    for server in servers:
        await cluster.put(server.address, "control", {"service_ms": 1.0})
    told += [(await cluster.call(name, "run", body))[1]["outcome"] for name in ENTRIES]
    assert told == ["unknown"] * 5
    ran = [len((await cluster.upstream_stats(server))["ran"]) for server in servers]
    assert sum(ran) == (1 if when == "after" else 0)


async def is_busy(cluster: DeskCluster, servers: list[desk.DeskServer]) -> bool:
    """Return whether any of the servers works."""
    return any([(await cluster.upstream_stats(server))["busy"] for server in servers])


def partial_answers(cluster: DeskCluster) -> int:
    """Return how many searches did not cover everything."""
    return sum(cluster.answers.values()) - sum(cluster.full_answers.values())


class Relay:
    """Passes bytes to a server; connections that are swallowed stay open and pass nothing more."""

    def __init__(self) -> None:
        self.target = ("", 0)
        self.swallowed: set[int] = set()
        self.opened = 0
        self.address = ""

    async def start(self) -> asyncio.Server:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        return server

    def swallow(self) -> None:
        """Let all open connections go silent for good."""
        self.swallowed |= set(range(self.opened))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        number, self.opened = self.opened, self.opened + 1
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.close()
            return
        await asyncio.gather(
            self._pass(number, reader, upstream_writer), self._pass(number, upstream_reader, writer)
        )

    async def _pass(
        self, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while data := await reader.read(65_536):
                if number not in self.swallowed:
                    writer.write(data)
        except ConnectionError:
            pass
        finally:
            writer.close()


def test_swallowed_connections_are_replaced(tmp_path: Path) -> None:
    """Guards against a server that is never reached again though new connections work."""

    async def serve() -> None:
        relay = Relay()
        listening = await relay.start()
        async with running_cluster(tmp_path, is_only_in_service=True, relay=relay) as cluster:
            async with cluster.load(callers=30):
                await cluster.wait_for_full_answers(*ENTRIES, count=40)
            relay.swallow()
            partial = partial_answers(cluster)
            async with cluster.load(callers=3):
                await cluster.wait_for_full_answers(*ENTRIES, count=20)
            # Without a reset, each of about 30 kept connections costs a time-out of its own.
            assert partial_answers(cluster) - partial <= 10
            assert cluster.problems == []
        listening.close()

    asyncio.run(serve())
