"""Processes of a load test: Dakar's booking desk with a configurable number of services."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp
import orjson

from bench.booking_desk import DOMAINS
from bench.processes import Processes, free_addresses
from turmerictiller.core.configuration.note_model import DefinitionsModel, WithdrawnModel
from turmerictiller.core.configuration.notes import seal_note

FRONT = "booking"
SHARDS_PER_SERVICE = 4
SERVICE_MS = 5.0
OPEN_MS = 6.0
SLOWDOWN = 10.0
UPSTREAM_GROUPS = 2  # processes per failure domain that share its servers
READY_TIMEOUT_S = 30.0
POLL_S = 0.05
IDLE_INSTANCE = "entry-idle"


@dataclass(frozen=True)
class Instance:
    """An entry instance and its addresses."""

    name: str
    caller_address: str
    peer_address: str
    operator_address: str


@dataclass
class Fleet:
    """The running processes.

    :param instances: instances that receive searches.
    :param idle: an instance that receives none.
    :param probe_folder: folder for the output of probes.
    :param probe_by_instance: environment variables of probes by name of the instance.
    """

    processes: Processes
    session: aiohttp.ClientSession
    platform: str
    servers: list[dict[str, Any]]
    instances: list[Instance]
    idle: Instance
    probe_folder: Path
    probe_by_instance: dict[str, dict[str, str]] = field(default_factory=dict)


def plan_fleet(
    processes: Processes, session: aiohttp.ClientSession, instances: int, services: int
) -> Fleet:
    """Return a fleet with free addresses; nothing is started."""
    names = [f"jobs-{number}" for number in range(services)]
    platform, *addresses = free_addresses(1 + services * len(DOMAINS) + 3 * (instances + 1))
    servers = [
        {
            "id": f"{service}-{domain}",
            "service": service,
            "domain": domain,
            "address": addresses.pop(),
            "group": f"upstreams-{domain}-{names.index(service) % UPSTREAM_GROUPS}",
        }
        for service in names
        for domain in DOMAINS
    ]
    instance_names = [f"entry-{number}" for number in range(1, instances + 1)]
    load_instances = [
        Instance(name, *(addresses.pop() for _ in range(3))) for name in instance_names
    ]
    idle = Instance(IDLE_INSTANCE, *(addresses.pop() for _ in range(3)))
    folder = processes.log_folder.resolve()
    return Fleet(processes, session, platform, servers, load_instances, idle, folder)


def start(fleet: Fleet, baseline: Path | None) -> None:
    """Start all processes.

    :param baseline: another checkout, from which every second instance is started.
    """
    fleet.processes.start("platform", "standins.platform", "--address", fleet.platform)
    names = sorted({server["service"] for server in fleet.servers})
    for group in sorted({server["group"] for server in fleet.servers}):
        rows = [
            _server_argument(server, names) for server in fleet.servers if server["group"] == group
        ]
        rows_text = orjson.dumps(rows).decode()
        fleet.processes.start(group, "standins.upstream", "--servers", rows_text)
    all_instances = [*fleet.instances, fleet.idle]
    for number, instance in enumerate(all_instances):
        probe = fleet.probe_by_instance.get(instance.name)
        is_baseline = baseline is not None and number % 2 == 1 and instance is not fleet.idle
        fleet.processes.start(
            instance.name,
            "bench.load_probe" if probe else "turmerictiller",
            *_entry_flags(fleet, instance, DOMAINS[number % len(DOMAINS)]),
            folder=baseline if is_baseline else None,
            environment=probe,
        )


def _server_argument(server: dict[str, Any], services: list[str]) -> dict[str, Any]:
    behaviour = {
        "service": server["service"],
        "services": services,
        "shards_per_service": SHARDS_PER_SERVICE,
        "service_ms": SERVICE_MS,
        "open_ms": OPEN_MS,
    }
    return {"id": server["id"], "address": server["address"], "behaviour": behaviour}


def _entry_flags(fleet: Fleet, instance: Instance, domain: str) -> list[str]:
    other_peers = [
        item.peer_address for item in [*fleet.instances, fleet.idle] if item is not instance
    ]
    values = {
        "instance-id": instance.name,
        "failure-domain": domain,
        "caller-address": instance.caller_address,
        "peer-address": instance.peer_address,
        "operator-address": instance.operator_address,
        "platform-address": fleet.platform,
        "peers": ",".join(other_peers),
        "drain-notice-ms": "200",
        "quiet-close-ms": "100",
    }
    return ["entry", *(part for key, value in values.items() for part in (f"--{key}", value))]


async def publish(fleet: Fleet) -> None:
    """Publish the note and wait until every instance has the snapshots of every server.

    :raises TimeoutError: if this takes longer than ``READY_TIMEOUT_S``.
    """
    async with asyncio.timeout(READY_TIMEOUT_S):
        await _wait_until(lambda: _put(fleet, f"{fleet.platform}/control/note", _note(fleet)))
        await _wait_until(lambda: _all_ready(fleet))


async def slow_down(fleet: Fleet, share: float, seed: int) -> int:
    """Slow a random share of the servers and return their number."""
    slowed = random.Random(seed).sample(fleet.servers, round(share * len(fleet.servers)))
    for server in slowed:
        await _put(fleet, f"{server['address']}/control", {"slowdown": SLOWDOWN})
    return len(slowed)


async def read_states(fleet: Fleet) -> dict[str, dict[str, Any]]:
    """Return the state dump of each instance by name."""
    states = {}
    for instance in [*fleet.instances, fleet.idle]:
        async with fleet.session.get(f"http://{instance.operator_address}/state") as response:
            states[instance.name] = await response.json()
    return states


def _note(fleet: Fleet) -> dict[str, Any]:
    names = sorted({server["service"] for server in fleet.servers})
    services = [
        {
            "name": name,
            "slots": 3,
            "connections": 30,
            "open_ms": OPEN_MS,
            "servers": [
                {key: server[key] for key in ("id", "address", "domain")}
                for server in fleet.servers
                if server["service"] == name
            ],
        }
        for name in names
    ]
    front = {"name": FRONT, "services": names, "actions": [], "deadline_default_ms": 2_000.0}
    added = DefinitionsModel.model_validate({"services": services, "fronts": [front]})
    return seal_note(None, added, DefinitionsModel(), WithdrawnModel()).unwrap()


async def _wait_until(condition: Callable[[], Awaitable[bool]]) -> None:
    while True:
        try:
            if await condition():
                return
        except aiohttp.ClientConnectionError:
            pass
        await asyncio.sleep(POLL_S)


async def _put(fleet: Fleet, path: str, value: Any) -> bool:
    async with fleet.session.put(f"http://{path}", data=orjson.dumps(value)) as response:
        return response.status == 200


async def _all_ready(fleet: Fleet) -> bool:
    states = await read_states(fleet)
    return all(
        state["health"]["ready"]
        and state["snapshots"]
        and all(server["snapshots"] for server in state["servers"])
        for state in states.values()
    )
