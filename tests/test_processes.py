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
from tests.running import ENTRIES, LONE, Desk, running, until


def on_desk(**options: Any) -> Callable[[Callable[..., Awaitable[None]]], Callable[..., None]]:
    """Run a test on a desk of its own."""

    def decorate(test: Callable[..., Awaitable[None]]) -> Callable[..., None]:
        @functools.wraps(test)
        def run(tmp_path: Path) -> None:
            async def serve() -> None:
                async with running(tmp_path, **options) as running_desk:
                    await test(running_desk)
                    assert running_desk.problems == []

            asyncio.run(serve())

        del run.__wrapped__  # type: ignore[attr-defined]
        return run

    return decorate


def refused(running_desk: Desk, *names: str) -> list[tuple[str, int, Any]]:
    """Return what searches at instances were answered in place of hits."""
    return [refusal for refusal in running_desk.refusals if refusal[0] in names]


@on_desk()
async def test_killed_instance_breaks_only_its_own_calls(d: Desk) -> None:
    """Guards against a loss that others feel, and a restart that does not find back."""
    async with d.load():
        await d.more_full(*ENTRIES)
        d.processes.kill("e2")
        await until(lambda: d.broken["e2"] > 0)
        await d.more_full("e1", "e3")
        d.start_entry("e2")
        await d.more_full("e2")
    assert (d.broken["e1"], d.broken["e3"], refused(d, "e1", "e3")) == (0, 0, [])


@on_desk()
async def test_killed_upstream_costs_no_call(d: Desk) -> None:
    """Guards against a search that a lost server fails, and a server that stays out of use."""
    async with d.load():
        await d.more_full(*ENTRIES)
        d.processes.kill(LONE)
        await d.more_full(*ENTRIES)
        d.start_upstreams(LONE)
        await until(lambda: has_served(d, 0))
    assert (d.broken, refused(d, *ENTRIES)) == ({}, [])
    assert sum(d.full.values()) == sum(d.answers.values()), "a lost call was not retried"


async def has_served(d: Desk, before: int) -> bool:
    """Return whether the lone server has served more than before."""
    return int((await d.upstream(d.server(LONE)))["served"]) > before


@on_desk()
async def test_frozen_upstream_is_routed_around_and_comes_back(d: Desk) -> None:
    """Guards against searches that wait for a server that takes connections and never answers."""
    async with d.load():
        await until(lambda: has_served(d, 0))
        d.processes.signal(LONE, signal.SIGSTOP)
        await d.more_full(*ENTRIES, count=30)
        d.processes.signal(LONE, signal.SIGCONT)
        served = (await d.upstream(d.server(LONE)))["served"]
        await until(lambda: has_served(d, served))
    assert (d.broken, refused(d, *ENTRIES)) == ({}, [])


@on_desk()
async def test_frozen_instance_answers_late_and_takes_the_newer_note(d: Desk) -> None:
    """Guards against a process that resumes with old timers and an old note, or loses calls."""
    async with d.load():
        await d.more_full(*ENTRIES)
        d.processes.signal("e2", signal.SIGSTOP)
        d.targets = ["e1", "e3"]
        frozen_at = (await d.state("e1"))["now_ms"]
        late = asyncio.create_task(d.search("e2"))
        await d.publish(desk.next_note(d.note))
        for name in d.targets:
            await until(lambda name=name: has_number(d, name, 2))

        async def is_long_enough() -> bool:
            return bool((await d.state("e1"))["now_ms"] > frozen_at + 1_500)

        await until(is_long_enough)
        assert not late.done()
        d.processes.signal("e2", signal.SIGCONT)
        await late
        await until(lambda: has_number(d, "e2", 2))
        assert (await d.state("e2"))["counters"]["pauses"] >= 1
        d.targets = list(ENTRIES)
        await d.more_full(*ENTRIES)
    assert d.broken == {}
    assert refused(d, "e1", "e3") == []


async def has_number(d: Desk, name: str, number: int) -> bool:
    """Return whether a note is in force on an instance."""
    return await d.number(name) == number


@on_desk()
async def test_shutdown_under_load_cuts_off_nothing(d: Desk) -> None:
    """Guards against a call that a graceful shutdown breaks or refuses while balancers notice."""
    async with d.load(callers=9):
        await d.more_full(*ENTRIES)
        stopping = asyncio.create_task(asyncio.to_thread(d.processes.stop, ["e2"]))
        await until(lambda: is_leaving(d, "e2"))
        before = d.answers["e2", 200]
        await until(lambda: d.answers["e2", 200] > before)
        d.targets = ["e1", "e3"]
        assert await stopping == {"e2": 0}
        await d.more_full("e1", "e3")
    assert (d.broken, refused(d, *ENTRIES)) == ({}, [])


async def is_leaving(d: Desk, name: str) -> bool:
    """Return what the balancer sees of a shutdown."""
    async with d.session.get(f"http://{d.addresses[name][0]}/health") as response:
        return response.status == 503


@on_desk()
async def test_platform_with_an_older_note_reverts_nothing(d: Desk) -> None:
    """Guards against a stale platform that takes back a note, also on an instance that restarts."""
    await d.publish(desk.next_note(d.note))
    for name in ENTRIES:
        await until(lambda name=name: has_number(d, name, 2))
    d.processes.kill("platform")
    d.start_platform()
    await d.publish(d.note)
    for name in ENTRIES:
        await until(lambda name=name: has_refused_older(d, name))
    d.processes.kill("e3")
    d.start_entry("e3")
    numbers = set()

    async def has_joined() -> bool:
        numbers.add(await d.number("e3"))
        return await d.is_ready("e3")

    await until(has_joined)
    await until(lambda: has_refused_older(d, "e3"))
    assert numbers <= {0, 2}
    assert [await d.number(name) for name in ENTRIES] == [2, 2, 2]


async def has_refused_older(d: Desk, name: str) -> bool:
    """Return whether an instance shows that it refused an older note."""
    return "older_note" in str((await d.state(name))["refused_notes"])


@pytest.mark.parametrize("when", ["before", "during", "after"])
def test_pickup_whose_owner_is_killed_runs_at_most_once(tmp_path: Path, when: str) -> None:
    """Guards against a second run, or a claim that nothing ran, once the owner's record is lost."""

    async def serve() -> None:
        async with running(tmp_path) as d:
            await _kill_owner(d, when)

    asyncio.run(serve())


async def _kill_owner(d: Desk, when: str) -> None:
    servers = [server for server in d.servers if server.service == "jobs-0"]
    if when == "during":
        for server in servers:
            await d.put(server.address, "control", {"service_ms": 60_000.0})
    _, issued = await d.call("e1", "tickets", {})
    body = {"ticket": issued["ticket"], "action": "pickup", "body": {"job": 7}}
    body |= {"service": "jobs-0", "deadline_ms": 9_000.0}
    if when == "after":
        assert (await d.call("e2", "run", body))[1]["outcome"] == "done"
    elif when == "during":
        first = asyncio.create_task(d.call("e2", "run", body))
        await until(lambda: is_busy(d, servers))
    d.processes.kill("e1")
    if when == "during":
        assert (await first)[1]["outcome"] == "unknown"
    told = [(await d.call(name, "run", body))[1]["outcome"] for name in ("e2", "e3")]
    d.start_entry("e1")
    await until(lambda: d.is_ready("e1"))
    for server in servers:
        await d.put(server.address, "control", {"service_ms": 1.0})
    told += [(await d.call(name, "run", body))[1]["outcome"] for name in ENTRIES]
    assert told == ["unknown"] * 5
    ran = [len((await d.upstream(server))["ran"]) for server in servers]
    assert sum(ran) == (1 if when == "after" else 0)


async def is_busy(d: Desk, servers: list[desk.DeskServer]) -> bool:
    """Return whether any of the servers works."""
    return any([(await d.upstream(server))["busy"] for server in servers])


def partial_answers(d: Desk) -> int:
    """Return how many searches did not cover everything."""
    return sum(d.answers.values()) - sum(d.full.values())


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
        async with running(tmp_path, lone_of_service=True, relay=relay) as d:
            async with d.load(callers=30):
                await d.more_full(*ENTRIES, count=40)
            relay.swallow()
            partial = partial_answers(d)
            async with d.load(callers=3):
                await d.more_full(*ENTRIES, count=20)
            # Without a reset, each of about 30 kept connections costs a time-out of its own.
            assert partial_answers(d) - partial <= 10
            assert d.problems == []
        listening.close()

    asyncio.run(serve())
