"""Demonstration of Dakar's booking desk on loopback; run it with ``make demo``.

Three entry instances in two failure domains, ten services of three servers each. The thirty servers
share seven processes: one per failure domain and half of the services, and one for a server that is
killed alone. Every answer is compared with the documents of the stand-ins; the exit status is 1
if a check fails.
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
    find_problems,
    first_note,
    next_note,
)
from bench.processes import Processes, free_addresses

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

DEMO_TIMEOUT_S = 55.0
WAIT_TIMEOUT_S = 20.0
POLL_S = 0.05
SEARCHES = 60
SEARCH_INTERVAL_S = 0.008  # shorter than a search, so that searches are always in flight
K = 5
KILLED_SERVER = "jobs-0-almadies"
KILLED_GROUP = "upstreams-pikine-a"
DEADLINE_MS = 2_000.0
SHORT_DEADLINE_MS = 250.0
SLOWDOWN = 20.0
ENTRIES = (("entry-1", "plateau"), ("entry-2", "plateau"), ("entry-3", "almadies"))
QUERIES = ("velvet", "damask", "hem", "rail", "blackout", "pleat")


class DemoError(Exception):
    """A check of the demonstration failed."""


@dataclass
class Demo:
    """The running processes and how to reach them.

    :param platform: address of the platform.
    :param entries: callers' and operators' addresses by name of the instance.
    :param peers: peer addresses of the instances.
    :param search_numbers: numbers of the searches, which select instance and query.
    """

    processes: Processes
    session: aiohttp.ClientSession
    platform: str
    servers: list[DeskServer]
    entries: dict[str, tuple[str, str]]
    peers: list[str]
    note: dict[str, Any]
    search_numbers: itertools.count[int] = field(default_factory=itertools.count)


async def main() -> None:
    """Run the demonstration, and end every process that was started."""
    processes = Processes(Path("build/demo"))
    try:
        async with asyncio.timeout(DEMO_TIMEOUT_S), aiohttp.ClientSession() as session:
            await _run_steps(_start(processes, session))
    finally:
        processes.kill_all()


def _start(processes: Processes, session: aiohttp.ClientSession) -> Demo:
    addresses = free_addresses(1 + len(SERVICES) * len(DOMAINS) + 3 * len(ENTRIES))
    platform, *entry_and_server_addresses = addresses
    servers = desk_servers(entry_and_server_addresses[: len(SERVICES) * len(DOMAINS)])
    entry_addresses = entry_and_server_addresses[len(servers) :]
    processes.start("platform", "standins.platform", "--address", platform)
    for name, group in _server_groups(servers).items():
        rows = orjson.dumps([server.as_argument() for server in group]).decode()
        processes.start(name, "standins.upstream", "--servers", rows)
    entries = {}
    peers = entry_addresses[1::3]
    for index, (name, domain) in enumerate(ENTRIES):
        instance_addresses = entry_addresses[3 * index : 3 * index + 3]
        other_peers = ",".join(peer for peer in peers if peer != instance_addresses[1])
        processes.start(
            name,
            "turmerictiller",
            *_entry_flags(name, domain, instance_addresses, platform, other_peers),
        )
        entries[name] = (instance_addresses[0], instance_addresses[2])
    return Demo(processes, session, platform, servers, entries, peers, first_note(servers))


def _server_groups(servers: list[DeskServer]) -> dict[str, list[DeskServer]]:
    """Return the servers by the process that runs them."""
    groups: dict[str, list[DeskServer]] = {}
    for server in servers:
        half = "a" if SERVICES.index(server.service) < len(SERVICES) / 2 else "b"
        group = f"upstreams-{server.domain}-{half}"
        groups.setdefault(server.id if server.id == KILLED_SERVER else group, []).append(server)
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


async def _run_steps(demo: Demo) -> None:
    await _publish(demo)
    await _run_searches(demo, "All servers healthy", full=True)
    await _slowed(demo)
    await _silent(demo)
    await _killed(demo)
    await _index_change(demo)
    await _next_note(demo)
    await _refusal(demo)
    await _pickup(demo)
    await _shutdown(demo)


async def _publish(demo: Demo) -> None:
    started_at = time.monotonic()
    await _wait_until("the platform answers", lambda: _put(demo, demo.platform, "note", demo.note))
    rows = [
        {"id": name, "kind": "entry", "address": peer, "domain": domain, "state": "live"}
        for (name, domain), peer in zip(ENTRIES, demo.peers, strict=True)
    ]
    await _put(demo, demo.platform, "instances", rows)
    await _wait_until("every instance is ready", lambda: _all_ready(demo))
    elapsed_s = time.monotonic() - started_at
    print(f"Note 1: {len(SERVICES)} services, {len(demo.servers)} servers, 3 entry instances in")
    print(f"  2 failure domains; all ready {elapsed_s:.1f} s after the start of the processes.")


async def _run_searches(
    demo: Demo, title: str, full: bool, midway: Callable[[], None] | None = None
) -> None:
    """Send searches to all instances in turn, check each answer and print a summary.

    :param full: whether every answer must have full coverage.
    :param midway: called after half of the searches were sent.
    """
    tasks = [
        asyncio.create_task(_search_later(demo, index * SEARCH_INTERVAL_S))
        for index in range(SEARCHES)
    ]
    if midway is not None:
        asyncio.get_running_loop().call_later(SEARCHES * SEARCH_INTERVAL_S / 2, midway)
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
    number = next(demo.search_numbers)
    caller, _ = list(demo.entries.values())[number % len(demo.entries)]
    query = f"{QUERIES[number % len(QUERIES)]} {number}"
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
        await _set_behaviour(demo, server, slowdown=SLOWDOWN)
    await _run_searches(demo, f"{len(slow)} servers slowed {SLOWDOWN:g} times", full=False)
    for server in slow:
        await _set_behaviour(demo, server, slowdown=1.0)


async def _silent(demo: Demo) -> None:
    """Show that coverage excludes shards without an answer: no server of one service responds."""
    silent = [server for server in demo.servers if server.service == SERVICES[-1]]
    for server in silent:
        await _set_behaviour(demo, server, silent=True)
    answers = await asyncio.gather(*(_search(demo, SHORT_DEADLINE_MS) for _ in demo.entries))
    for server in silent:
        await _set_behaviour(demo, server, silent=False)
    print(f"No server of {SERVICES[-1]} answers, deadline {SHORT_DEADLINE_MS:g} ms:")
    for answer in answers:
        coverage = answer["coverage"]
        missing = {item["shard"]: item["reason"] for item in coverage["missing"]}
        if not missing.keys() >= {shard for shard in SHARDS if shard.startswith(SERVICES[-1])}:
            raise DemoError(f"shards without an answer are reported as covered: {coverage}")
        reasons = ", ".join(sorted(set(missing.values())))
        print(
            f"  {answer['took_ms']:.1f} ms, {coverage['merged']} of {coverage['total']} shards, "
            f"{len(answer['hits'])} hits; the others are missing: {reasons}"
        )
    await _wait_until("coverage is full again", lambda: _has_full_coverage(demo))


async def _killed(demo: Demo) -> None:
    title = f"{KILLED_SERVER} killed while searches run"
    await _run_searches(demo, title, full=False, midway=lambda: demo.processes.kill(KILLED_SERVER))
    demo.servers = [server for server in demo.servers if server.id != KILLED_SERVER]
    lost = _server_groups(demo.servers)[KILLED_GROUP]
    title = f"{len(lost)} servers of {lost[0].domain} killed at once while searches run"
    await _run_searches(demo, title, full=False, midway=lambda: demo.processes.kill(KILLED_GROUP))
    demo.servers = [server for server in demo.servers if server not in lost]
    await _wait_until("coverage is full again", lambda: _has_full_coverage(demo))
    print("  coverage is full again without these servers.")


async def _index_change(demo: Demo) -> None:
    for server in demo.servers:
        await _set_behaviour(demo, server, versions=[1, 2])
    await _wait_until(
        "every instance uses the new index version", lambda: _has_index_version(demo, 2)
    )
    for server in demo.servers:
        await _set_behaviour(demo, server, versions=[2])
    await _run_searches(demo, "Index version 2", full=False)


async def _next_note(demo: Demo) -> None:
    started_at = time.monotonic()
    await _put(demo, demo.platform, "note", next_note(demo.note))
    await _wait_until("note 2 is in force everywhere", lambda: _has_note(demo, 2))
    elapsed_s = time.monotonic() - started_at
    print(f"Note 2 (at most 50 hits): in force on all instances after {elapsed_s * 1000:.0f} ms.")


async def _refusal(demo: Demo) -> None:
    caller, _ = demo.entries["entry-1"]
    body = {"query": "velvet", "k": 51}
    async with demo.session.post(f"http://{caller}/v1/fronts/{FRONT}/search", json=body) as answer:
        refusal = await answer.json()
        if answer.status != 400 or refusal["ran"] != "no":
            raise DemoError(f"51 hits were not refused as not run: {answer.status} {refusal}")
    print(f"A search for 51 hits is refused: {refusal['error']}, {refusal['message']}, not run.")


async def _pickup(demo: Demo) -> None:
    """Show that a pickup request sent to every instance with the same ticket runs once."""
    first, *other_callers = [caller for caller, _ in demo.entries.values()]
    ticket = (await _post(demo, first, "tickets", {}))["ticket"]
    body = {"ticket": ticket, "action": "pickup", "body": {"job": 7}}
    answers = [await _post(demo, caller, "run", body) for caller in [*other_callers, first]]
    ran = 0
    for server in demo.servers:
        async with demo.session.get(f"http://{server.address}/control") as response:
            ran += len((await response.json())["ran"])
    if ran != 1 or any(answer["outcome"] != "done" for answer in answers):
        raise DemoError(f"the pickup ran {ran} times: {answers}")
    print(f"A pickup with one ticket, sent to {len(answers)} instances:")
    print(f"  each reports {answers[0]['outcome']}, and it ran {ran} time at the upstreams.")


async def _post(demo: Demo, caller: str, path: str, body: dict[str, Any]) -> dict[str, Any]:
    url = f"http://{caller}/v1/fronts/{FRONT}/{path}"
    async with demo.session.post(url, json=body) as response:
        answer: dict[str, Any] = await response.json()
        if response.status != 200:
            raise DemoError(f"{path} was refused: {answer}")
        return answer


async def _shutdown(demo: Demo) -> None:
    if ended := demo.processes.ended():
        raise DemoError(f"processes exited unexpectedly: {', '.join(ended)}")
    names = list(demo.entries)
    statuses = await asyncio.to_thread(demo.processes.stop, names)
    if any(statuses.values()):
        raise DemoError(f"exit statuses after SIGTERM: {statuses}")
    print("All instances stopped on SIGTERM with exit status 0.")


async def _wait_until(description: str, condition: Callable[[], Awaitable[bool]]) -> None:
    ends_at = time.monotonic() + WAIT_TIMEOUT_S
    while not await _evaluate(condition):
        if time.monotonic() > ends_at:
            raise DemoError(f"timeout after {WAIT_TIMEOUT_S:g} s: {description}")
        await asyncio.sleep(POLL_S)


async def _evaluate(condition: Callable[[], Awaitable[bool]]) -> bool:
    try:
        return await condition()
    except aiohttp.ClientConnectionError:
        return False


async def _put(demo: Demo, address: str, path: str, value: Any) -> bool:
    url = f"http://{address}/control/{path}"
    async with demo.session.put(url, data=orjson.dumps(value)) as response:
        return response.status == 200


async def _set_behaviour(demo: Demo, server: DeskServer, **behaviour: Any) -> None:
    url = f"http://{server.address}/control"
    async with demo.session.put(url, data=orjson.dumps(behaviour)) as response:
        if response.status != 200:
            raise DemoError(f"{server.id} did not change its behaviour")


async def _read_all(demo: Demo, path: str) -> list[dict[str, Any]]:
    """Return the JSON answers of all instances to a GET on the operators' port."""
    answers = []
    for _, operator in demo.entries.values():
        async with demo.session.get(f"http://{operator}{path}") as response:
            answers.append(await response.json())
    return answers


async def _all_ready(demo: Demo) -> bool:
    """Return whether every instance is ready and has the snapshots of every server."""
    dumps = await _read_all(demo, "/state")
    return all(
        dump["health"]["ready"]
        and dump["snapshots"]
        and all(server["snapshots"] for server in dump["servers"])
        for dump in dumps
    )


async def _has_note(demo: Demo, number: int) -> bool:
    dumps = await _read_all(demo, "/state")
    return all(dump["note"] and dump["note"]["number"] == number for dump in dumps)


async def _has_full_coverage(demo: Demo) -> bool:
    answers = [await _search(demo) for _ in demo.entries]
    return all(answer["coverage"]["share"] == 1 for answer in answers)


async def _has_index_version(demo: Demo, version: int) -> bool:
    answers = [await _search(demo) for _ in demo.entries]
    return all(answer["snapshot"].startswith(f"{version}-") for answer in answers)


if __name__ == "__main__":
    try:
        asyncio.run(main())
    except (DemoError, TimeoutError, aiohttp.ClientError) as error:
        sys.exit(f"The demonstration failed: {type(error).__name__}: {error}")
