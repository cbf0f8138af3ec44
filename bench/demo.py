"""Demonstration of Dakar's booking desk on loopback; run it with ``make demo``.

Three entry instances in two failure domains, ten services of three servers each. The thirty servers
share seven processes: one per failure domain and half of the services, and one for a server that is
killed alone. Every answer is compared with
what the stand-ins hold; the exit status is 1 if anything shown is wrong.
"""

from __future__ import annotations

import asyncio
import itertools
import statistics
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING, Any

import aiohttp
import orjson

from bench.booking_desk import (
    DOMAINS,
    FRONT,
    SERVICES,
    SHARDS,
    DeskServer,
    desk_servers,
    first_note,
    next_note,
    find_problems,
)
from bench.processes import Processes, free_addresses

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

TIME_LIMIT_S = 55.0
WAIT_LIMIT_S = 20.0
POLL_S = 0.05
SEARCHES = 60
GAP_S = 0.008  # shorter than a search takes, so that some are in flight whatever happens
K = 5
LONE_SERVER = "jobs-0-almadies"
LOST_GROUP = "upstreams-pikine-a"
DEADLINE_MS = 2_000.0
SHORT_DEADLINE_MS = 250.0
SLOWDOWN = 20.0
ENTRIES = (("entry-1", "plateau"), ("entry-2", "plateau"), ("entry-3", "almadies"))
QUERIES = ("velvet", "damask", "hem", "rail", "blackout", "pleat")


class DemoError(Exception):
    """Something that the demonstration shows is wrong."""


@dataclass
class Demo:
    """The running processes and how to reach them.

    :param entries: callers' and operators' address by name of the instance.
    """

    processes: Processes
    session: aiohttp.ClientSession
    platform: str
    servers: list[DeskServer]
    entries: dict[str, tuple[str, str]]
    peers: list[str]
    note: dict[str, Any]
    turns: itertools.count[int] = field(default_factory=itertools.count)


async def main() -> None:
    """Show the booking desk, and end every process that was started."""
    processes = Processes(Path("build/demo"))
    try:
        async with asyncio.timeout(TIME_LIMIT_S), aiohttp.ClientSession() as session:
            await _show(_start(processes, session))
    finally:
        processes.kill_all()


def _start(processes: Processes, session: aiohttp.ClientSession) -> Demo:
    addresses = free_addresses(1 + len(SERVICES) * len(DOMAINS) + 3 * len(ENTRIES))
    platform, *rest = addresses
    servers = desk_servers(rest[: len(SERVICES) * len(DOMAINS)])
    entry_addresses = rest[len(servers) :]
    processes.start("platform", "standins.platform", "--address", platform)
    for name, group in _server_groups(servers).items():
        rows = orjson.dumps([server.as_argument() for server in group]).decode()
        processes.start(name, "standins.upstream", "--servers", rows)
    entries = {}
    peers = entry_addresses[1::3]
    for index, (name, domain) in enumerate(ENTRIES):
        own = entry_addresses[3 * index : 3 * index + 3]
        others = ",".join(peer for peer in peers if peer != own[1])
        processes.start(name, "turmerictiller", *_entry_flags(name, domain, own, platform, others))
        entries[name] = (own[0], own[2])
    return Demo(processes, session, platform, servers, entries, peers, first_note(servers))


def _server_groups(servers: list[DeskServer]) -> dict[str, list[DeskServer]]:
    """Return the servers by the process that holds them."""
    groups: dict[str, list[DeskServer]] = {}
    for server in servers:
        half = "a" if SERVICES.index(server.service) < len(SERVICES) / 2 else "b"
        group = f"upstreams-{server.domain}-{half}"
        groups.setdefault(server.id if server.id == LONE_SERVER else group, []).append(server)
    return groups


def _entry_flags(
    name: str, domain: str, addresses: list[str], platform: str, peers: str
) -> list[str]:
    values = {
        "instance-id": name,
        "failure-domain": domain,
        "caller-address": addresses[0],
        "peer-address": addresses[1],
        "operator-address": addresses[2],
        "platform-address": platform,
        "peers": peers,
        "health-interval-ms": "250",
        "drain-notice-ms": "200",
        "quiet-close-ms": "100",
    }
    return ["entry", *(part for key, value in values.items() for part in (f"--{key}", value))]


async def _show(demo: Demo) -> None:
    await _publish(demo)
    await _searches(demo, "All servers well", full=True)
    await _slowed(demo)
    await _silent(demo)
    await _killed(demo)
    await _index_change(demo)
    await _next_note(demo)
    await _refusal(demo)
    await _pickup(demo)
    await _shutdown(demo)


async def _publish(demo: Demo) -> None:
    began = time.monotonic()
    await _until("the platform answers", lambda: _put(demo, demo.platform, "note", demo.note))
    rows = [
        {"id": name, "kind": "entry", "address": peer, "domain": domain, "state": "live"}
        for (name, domain), peer in zip(ENTRIES, demo.peers, strict=True)
    ]
    await _put(demo, demo.platform, "instances", rows)
    await _until("every instance is ready", lambda: _all_ready(demo))
    passed = time.monotonic() - began
    print(f"Note 1: {len(SERVICES)} services, {len(demo.servers)} servers, 3 entry instances in")
    print(f"  2 failure domains; all ready {passed:.1f} s after the start of the processes.")


async def _searches(
    demo: Demo, title: str, full: bool, midway: Callable[[], None] | None = None
) -> None:
    """Run searches at all instances in turn, check each answer and print what callers see.

    :param midway: what happens while the second half of the searches runs.
    """
    tasks = [asyncio.create_task(_search_later(demo, index * GAP_S)) for index in range(SEARCHES)]
    if midway is not None:
        asyncio.get_running_loop().call_later(SEARCHES * GAP_S / 2, midway)
    answers = await asyncio.gather(*tasks)
    shares = [answer["coverage"]["share"] for answer in answers]
    if full and min(shares) < 1:
        raise DemoError(f"{title}: coverage fell to {min(shares):.0%}")
    times = [answer["took_ms"] for answer in answers]
    last = answers[-1]
    best = last["hits"][0]
    print(f"{title}:")
    print(
        f"  {len(answers)} searches: median {statistics.median(times):.1f} ms, "
        f"longest {max(times):.1f} ms, coverage {min(shares):.0%} to {max(shares):.0%}, "
        f"snapshot {last['snapshot']}"
    )
    print(f"  best hit of the last: {best['score']:.3f} {best['fields']['title']} ({best['id']})")
    reasons = sorted({item["reason"] for a in answers for item in a["coverage"]["missing"]})
    if reasons:
        print(f"  reasons for missing shards: {', '.join(reasons)}")


async def _search_later(demo: Demo, delay_s: float) -> dict[str, Any]:
    await asyncio.sleep(delay_s)
    return await _search(demo)


async def _search(demo: Demo, deadline_ms: float = DEADLINE_MS) -> dict[str, Any]:
    turn = next(demo.turns)
    caller, _ = list(demo.entries.values())[turn % len(demo.entries)]
    query = f"{QUERIES[turn % len(QUERIES)]} {turn}"
    url = f"http://{caller}/v1/fronts/{FRONT}/search"
    body = {"query": query, "k": K, "deadline_ms": deadline_ms}
    async with demo.session.post(url, json=body) as response:
        answer: dict[str, Any] = await response.json()
        if response.status != 200:
            raise DemoError(f"a search was refused: {answer}")
    problems = find_problems(answer, query, K)
    if problems:
        raise DemoError(f"search {query!r}: {'; '.join(problems)}")
    return answer


async def _slowed(demo: Demo) -> None:
    slow = demo.servers[::7]
    for server in slow:
        await _control(demo, server, slowdown=SLOWDOWN)
    await _searches(demo, f"{len(slow)} servers slowed {SLOWDOWN:g} times", full=False)
    for server in slow:
        await _control(demo, server, slowdown=1.0)


async def _silent(demo: Demo) -> None:
    """Show honest coverage: all servers of one service stop to answer."""
    silent = [server for server in demo.servers if server.service == SERVICES[-1]]
    for server in silent:
        await _control(demo, server, silent=True)
    answers = await asyncio.gather(*(_search(demo, SHORT_DEADLINE_MS) for _ in demo.entries))
    for server in silent:
        await _control(demo, server, silent=False)
    print(f"No server of {SERVICES[-1]} answers, deadline {SHORT_DEADLINE_MS:g} ms:")
    for answer in answers:
        coverage = answer["coverage"]
        missing = {item["shard"]: item["reason"] for item in coverage["missing"]}
        if not missing.keys() >= {shard for shard in SHARDS if shard.startswith(SERVICES[-1])}:
            raise DemoError(f"shards that nobody searched count as covered: {coverage}")
        reasons = ", ".join(sorted(set(missing.values())))
        print(
            f"  {answer['took_ms']:.1f} ms, {coverage['merged']} of {coverage['total']} shards, "
            f"{len(answer['hits'])} hits; the others are missing: {reasons}"
        )
    await _until("coverage is full again", lambda: _is_full(demo))


async def _killed(demo: Demo) -> None:
    title = f"{LONE_SERVER} killed while searches run"
    await _searches(demo, title, full=False, midway=lambda: demo.processes.kill(LONE_SERVER))
    demo.servers = [server for server in demo.servers if server.id != LONE_SERVER]
    lost = _server_groups(demo.servers)[LOST_GROUP]
    title = f"{len(lost)} servers of {lost[0].domain} killed at once while searches run"
    await _searches(demo, title, full=False, midway=lambda: demo.processes.kill(LOST_GROUP))
    demo.servers = [server for server in demo.servers if server not in lost]
    await _until("coverage is full again", lambda: _is_full(demo))
    print("  coverage is full again without these servers.")


async def _index_change(demo: Demo) -> None:
    for server in demo.servers:
        await _control(demo, server, versions=[1, 2])
    await _until("every instance uses the new index version", lambda: _is_version(demo, 2))
    for server in demo.servers:
        await _control(demo, server, versions=[2])
    await _searches(demo, "Index version 2", full=False)


async def _next_note(demo: Demo) -> None:
    began = time.monotonic()
    await _put(demo, demo.platform, "note", next_note(demo.note))
    await _until("note 2 is in force everywhere", lambda: _is_note(demo, 2))
    passed = time.monotonic() - began
    print(f"Note 2 (at most 50 hits): in force on all instances after {passed * 1000:.0f} ms.")


async def _refusal(demo: Demo) -> None:
    caller, _ = demo.entries["entry-1"]
    body = {"query": "velvet", "k": 51}
    async with demo.session.post(f"http://{caller}/v1/fronts/{FRONT}/search", json=body) as answer:
        refusal = await answer.json()
        if answer.status != 400 or refusal["ran"] != "no":
            raise DemoError(f"51 hits were not refused as not run: {answer.status} {refusal}")
    print(f"A search for 51 hits is refused: {refusal['error']}, {refusal['message']}, not run.")


async def _pickup(demo: Demo) -> None:
    """Show one pickup request that is repeated at every instance and runs once."""
    first, *others = [caller for caller, _ in demo.entries.values()]
    ticket = (await _post(demo, first, "tickets", {}))["ticket"]
    body = {"ticket": ticket, "action": "pickup", "body": {"job": 7}}
    answers = [await _post(demo, caller, "run", body) for caller in [*others, first]]
    ran = 0
    for server in demo.servers:
        async with demo.session.get(f"http://{server.address}/control") as response:
            ran += len((await response.json())["ran"])
    if ran != 1 or any(answer["outcome"] != "done" for answer in answers):
        raise DemoError(f"the pickup ran {ran} times: {answers}")
    print(f"A pickup with one ticket, sent to {len(answers)} instances:")
    print(f"  each says {answers[0]['outcome']}, and it ran {ran} time at the upstreams.")


async def _post(demo: Demo, caller: str, path: str, body: dict[str, Any]) -> dict[str, Any]:
    url = f"http://{caller}/v1/fronts/{FRONT}/{path}"
    async with demo.session.post(url, json=body) as response:
        answer: dict[str, Any] = await response.json()
        if response.status != 200:
            raise DemoError(f"{path} was refused: {answer}")
        return answer


async def _shutdown(demo: Demo) -> None:
    if ended := demo.processes.ended():
        raise DemoError(f"ended by themselves: {', '.join(ended)}")
    names = list(demo.entries)
    statuses = await asyncio.to_thread(demo.processes.stop, names)
    if any(statuses.values()):
        raise DemoError(f"exit statuses after SIGTERM: {statuses}")
    print("All instances stopped on SIGTERM with exit status 0.")


async def _until(what: str, holds: Callable[[], Awaitable[bool]]) -> None:
    ends_at = time.monotonic() + WAIT_LIMIT_S
    while not await _try(holds):
        if time.monotonic() > ends_at:
            raise DemoError(f"not within {WAIT_LIMIT_S:g} s: {what}")
        await asyncio.sleep(POLL_S)


async def _try(holds: Callable[[], Awaitable[bool]]) -> bool:
    try:
        return await holds()
    except aiohttp.ClientConnectionError:
        return False


async def _put(demo: Demo, address: str, path: str, value: Any) -> bool:
    url = f"http://{address}/control/{path}"
    async with demo.session.put(url, data=orjson.dumps(value)) as response:
        return response.status == 200


async def _control(demo: Demo, server: DeskServer, **behaviour: Any) -> None:
    url = f"http://{server.address}/control"
    async with demo.session.put(url, data=orjson.dumps(behaviour)) as response:
        if response.status != 200:
            raise DemoError(f"{server.id} did not change its behaviour")


async def _read_all(demo: Demo, path: str) -> list[dict[str, Any]]:
    """Read a path of the operators' port of every instance."""
    found = []
    for _, operator in demo.entries.values():
        async with demo.session.get(f"http://{operator}{path}") as response:
            found.append(await response.json())
    return found


async def _all_ready(demo: Demo) -> bool:
    """Return whether every instance can ask every server."""
    dumps = await _read_all(demo, "/state")
    return all(
        dump["health"]["ready"]
        and dump["snapshots"]
        and all(server["snapshots"] for server in dump["servers"])
        for dump in dumps
    )


async def _is_note(demo: Demo, number: int) -> bool:
    dumps = await _read_all(demo, "/state")
    return all(dump["note"] and dump["note"]["number"] == number for dump in dumps)


async def _is_full(demo: Demo) -> bool:
    answers = [await _search(demo) for _ in demo.entries]
    return all(answer["coverage"]["share"] == 1 for answer in answers)


async def _is_version(demo: Demo, version: int) -> bool:
    answers = [await _search(demo) for _ in demo.entries]
    return all(answer["snapshot"].startswith(f"{version}-") for answer in answers)


if __name__ == "__main__":
    try:
        asyncio.run(main())
    except (DemoError, TimeoutError, aiohttp.ClientError) as error:
        sys.exit(f"The demonstration failed: {type(error).__name__}: {error}")
