"""Tests of processes under load, with crashes, freezes, shutdowns and dead connections."""

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
    """Run a test on its own desk, and assert that no search got a wrong answer."""

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
    """Return the refusals that instances gave to searches."""
    return [refusal for refusal in cluster.refusals if refusal[0] in names]


@on_desk()
async def test_killed_instance_fails_only_its_own_calls(cluster: DeskCluster) -> None:
    """Guards against a crash that fails calls of other instances, and a failed rejoin."""
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
async def test_killed_upstream_fails_no_call(cluster: DeskCluster) -> None:
    """Guards against searches that fail with a server, and a restarted server without calls."""
    async with cluster.load():
        await cluster.wait_for_full_answers(*ENTRIES)
        cluster.processes.kill(SEPARATE_SERVER)
        await cluster.wait_for_full_answers(*ENTRIES)
        cluster.start_upstream_process(SEPARATE_SERVER)
        await until(lambda: has_served(cluster, 0))
    assert (cluster.connection_errors, refused(cluster, *ENTRIES)) == ({}, [])
    assert sum(cluster.full_answers.values()) == sum(
        cluster.answers.values()
    ), "a failed attempt was not retried"


async def has_served(cluster: DeskCluster, before: int) -> bool:
    """Return whether the separate server has served more requests than before."""
    return int((await cluster.upstream_stats(cluster.server(SEPARATE_SERVER)))["served"]) > before


@on_desk()
async def test_frozen_upstream_is_avoided_until_it_resumes(cluster: DeskCluster) -> None:
    """Guards against searches that wait for a server that accepts connections but never answers."""
    async with cluster.load():
        await until(lambda: has_served(cluster, 0))
        cluster.processes.signal(SEPARATE_SERVER, signal.SIGSTOP)
        await cluster.wait_for_full_answers(*ENTRIES, count=30)
        cluster.processes.signal(SEPARATE_SERVER, signal.SIGCONT)
        served = (await cluster.upstream_stats(cluster.server(SEPARATE_SERVER)))["served"]
        await until(lambda: has_served(cluster, served))
    assert (cluster.connection_errors, refused(cluster, *ENTRIES)) == ({}, [])


@on_desk()
async def test_frozen_instance_answers_after_resuming_and_adopts_the_newer_note(
    cluster: DeskCluster,
) -> None:
    """Guards against a process that resumes with expired timers or an old note, or loses calls."""
    async with cluster.load():
        await cluster.wait_for_full_answers(*ENTRIES)
        cluster.processes.signal("e2", signal.SIGSTOP)
        cluster.targets = ["e1", "e3"]
        frozen_at = (await cluster.state("e1"))["now_ms"]
        delayed_search = asyncio.create_task(cluster.search("e2"))
        await cluster.publish(desk.next_note(cluster.note))
        for name in cluster.targets:
            await until(lambda name=name: has_note_number(cluster, name, 2))

        async def is_pause_over() -> bool:
            return bool((await cluster.state("e1"))["now_ms"] > frozen_at + 1_500)

        await until(is_pause_over)
        assert not delayed_search.done()
        cluster.processes.signal("e2", signal.SIGCONT)
        await delayed_search
        await until(lambda: has_note_number(cluster, "e2", 2))
        assert (await cluster.state("e2"))["counters"]["pauses"] >= 1
        cluster.targets = list(ENTRIES)
        await cluster.wait_for_full_answers(*ENTRIES)
    assert cluster.connection_errors == {}
    assert refused(cluster, "e1", "e3") == []


async def has_note_number(cluster: DeskCluster, name: str, number: int) -> bool:
    """Return whether the note with this number is in force on an instance."""
    return await cluster.note_number(name) == number


@on_desk()
async def test_shutdown_under_load_fails_no_call(cluster: DeskCluster) -> None:
    """Guards against calls that fail in a graceful shutdown before balancers have detected it."""
    async with cluster.load(callers=9):
        await cluster.wait_for_full_answers(*ENTRIES)
        stopping = asyncio.create_task(asyncio.to_thread(cluster.processes.stop, ["e2"]))
        await until(lambda: is_health_failing(cluster, "e2"))
        before = cluster.answers["e2", 200]
        await until(lambda: cluster.answers["e2", 200] > before)
        cluster.targets = ["e1", "e3"]
        assert await stopping == {"e2": 0}
        await cluster.wait_for_full_answers("e1", "e3")
    assert (cluster.connection_errors, refused(cluster, *ENTRIES)) == ({}, [])


async def is_health_failing(cluster: DeskCluster, name: str) -> bool:
    """Return whether the health check of a load balancer fails."""
    async with cluster.session.get(
        f"http://{cluster.addresses_by_instance[name][0]}/health"
    ) as response:
        return response.status == 503


@on_desk()
async def test_older_note_of_the_platform_is_refused(cluster: DeskCluster) -> None:
    """Guards against a stale platform that reverts a note, also on an instance that restarts."""
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
    """Return whether the state dump of an instance lists an older note as refused."""
    return "older_note" in str((await cluster.state(name))["refused_notes"])


@pytest.mark.parametrize("when", ["before", "during", "after"])
def test_pickup_whose_owner_is_killed_runs_at_most_once(tmp_path: Path, when: str) -> None:
    """Guards against a second run, or the answer ``not_run``, once the owner's record is lost."""

    async def serve() -> None:
        async with running_cluster(tmp_path) as cluster:
            await _run_with_killed_owner(cluster, when)

    asyncio.run(serve())


async def _run_with_killed_owner(cluster: DeskCluster, when: str) -> None:
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
    outcomes = [(await cluster.call(name, "run", body))[1]["outcome"] for name in ("e2", "e3")]
    cluster.start_entry_process("e1")
    await until(lambda: cluster.is_ready("e1"))
    for server in servers:
        await cluster.put(server.address, "control", {"service_ms": 1.0})
    outcomes += [(await cluster.call(name, "run", body))[1]["outcome"] for name in ENTRIES]
    assert outcomes == ["unknown"] * 5
    ran = [len((await cluster.upstream_stats(server))["ran"]) for server in servers]
    assert sum(ran) == (1 if when == "after" else 0)


async def is_busy(cluster: DeskCluster, servers: list[desk.DeskServer]) -> bool:
    """Return whether any of the servers is processing a request."""
    return any([(await cluster.upstream_stats(server))["busy"] for server in servers])


def count_partial_answers(cluster: DeskCluster) -> int:
    """Return the number of answers, refusals included, that did not cover all shards."""
    return sum(cluster.answers.values()) - sum(cluster.full_answers.values())


class Relay:
    """TCP proxy to a server; black-holed connections stay open but drop all further data."""

    def __init__(self) -> None:
        self.target = ("", 0)
        self.black_holed: set[int] = set()
        self.connection_count = 0
        self.address = ""

    async def start(self) -> asyncio.Server:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        return server

    def black_hole(self) -> None:
        """Drop all further data on the connections opened so far."""
        self.black_holed |= set(range(self.connection_count))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        number, self.connection_count = self.connection_count, self.connection_count + 1
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.close()
            return
        await asyncio.gather(
            self._forward(number, reader, upstream_writer),
            self._forward(number, upstream_reader, writer),
        )

    async def _forward(
        self, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while data := await reader.read(65_536):
                if number not in self.black_holed:
                    writer.write(data)
        except ConnectionError:
            pass
        finally:
            writer.close()


def test_black_holed_connections_are_replaced(tmp_path: Path) -> None:
    """Guards against a pool that keeps dead connections though new ones would reach the server."""

    async def serve() -> None:
        relay = Relay()
        listening = await relay.start()
        async with running_cluster(tmp_path, is_only_in_service=True, relay=relay) as cluster:
            async with cluster.load(callers=30):
                await cluster.wait_for_full_answers(*ENTRIES, count=40)
            relay.black_hole()
            partial = count_partial_answers(cluster)
            async with cluster.load(callers=3):
                await cluster.wait_for_full_answers(*ENTRIES, count=20)
            # Without a reset, each of about 30 pooled connections costs a separate timeout.
            assert count_partial_answers(cluster) - partial <= 10
            assert cluster.problems == []
        listening.close()

    asyncio.run(serve())
