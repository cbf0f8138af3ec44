"""A grey server runs requests that must not be repeated and fails part of them with 503."""

from __future__ import annotations

import asyncio
import random
import sys
import tempfile
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "rig"))

from rig import Client, Deployment, Message, Server, configuration, route, run_case, trouble

# The largest dose of ``srv_grey`` in the troubles of the site.
SHARE = 0.14
FAILED_SHARE = 0.45
LENGTH_S = 6.5
SERVERS = 8
NOT_RUN_STATUSES = (408, 421, 429, 503)


async def case(deployment: Deployment) -> bool:
    """Return whether a request that has run was answered with a status that denies it."""
    store, record = deployment.store, deployment.record
    rng = random.Random(1)
    is_grey = False

    def failure(server: Server, request: Message) -> int | None:
        return 503 if is_grey and rng.random() < FAILED_SHARE else None

    servers = [Server(f"i-p{number}", "p", record, work_s=0.02) for number in range(SERVERS)]
    for server in servers[: int(SHARE * SERVERS)]:
        server.failure = failure
    for server in servers:
        await server.open()
        store.write(f"servers/{server.id}", server.entry())
    fields = {"kind": "non_idempotent", "targetLatencyMs": 500, "timeoutMs": 5000}
    routes = [route("order", "/order/", service="p", **fields)]
    store.write("op/config", configuration(10, routes, ["p"]))
    await deployment.add_instances(3)
    await deployment.start()
    clients = [
        Client(
            f"n{node.number}c{number}",
            node.number,
            node.front,
            "/order/2f",
            record,
            0.05,
            5000,
            "POST",
            b"one carton",
        )
        for node in deployment.instances
        for number in range(3)
    ]
    tasks = [asyncio.create_task(client.run()) for client in clients]
    await asyncio.sleep(12)
    is_grey = trouble()
    await asyncio.sleep(LENGTH_S)
    is_grey = False
    await asyncio.sleep(2)
    for client in clients:
        client.stopped = True
    await asyncio.gather(*tasks)

    ran = {request_id for server in servers for _, request_id in server.runs}
    sent = [item for client in clients for item in client.sent]
    broken = [item for item in sent if item.status in NOT_RUN_STATUSES and item.id in ran]
    for item in broken:
        record.add(f"BROKEN: {item.id} has run and is answered {item.status}", item.answered_at)
    record.add(
        f"{len(broken)} of {len(sent)} requests that must not run twice had run and were answered "
        "with a status that says that they have not"
    )
    return bool(broken)


if __name__ == "__main__":
    with tempfile.TemporaryDirectory() as folder:
        run_case(case, folder)
