"""Another writer leaves one entry that can't be read; then a server drains."""

from __future__ import annotations

import asyncio
import sys
import tempfile
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "rig"))

from rig import (
    BOUNDS,
    Client,
    Deployment,
    Server,
    configuration,
    route,
    run_case,
    trouble,
)

DRAIN_S = BOUNDS["drainMs"] / 1000
MARGIN_S = 0.05  # for the order of events within this process
# Well-formed JSON of 11 kB, far below ``valueBytes``, but no entry of a server.
DEPTH = 2_000
FOREIGN_VALUE = b'{"a":' * DEPTH + b"1" + b"}" * DEPTH


async def case(deployment: Deployment) -> bool:
    """Return whether a request reached a server later than ``drainMs`` after it began to drain."""
    store, record = deployment.store, deployment.record
    servers = [Server(f"i-a{number}", "a", record) for number in range(3)]
    for server in servers:
        await server.open()
        store.write(f"servers/{server.id}", server.entry())
    routes = [route("one", "/one/", service="a", targetLatencyMs=500, timeoutMs=5000)]
    store.write("op/config", configuration(10, routes, ["a"]))
    await deployment.add_instances(3)
    await deployment.start()
    clients = [
        Client(f"n{node.number}", node.number, node.front, "/one/2f", record, 0.02, 5000)
        for node in deployment.instances
    ]
    tasks = [asyncio.create_task(client.run()) for client in clients]
    await asyncio.sleep(12)
    if trouble():
        store.write("servers/i-tool", FOREIGN_VALUE)
    await asyncio.sleep(5)
    drained = servers[0]
    drained.state = "draining"
    acknowledged_at = store.write(f"servers/{drained.id}", drained.entry())
    await asyncio.sleep(DRAIN_S + 5)
    late = [
        (at, request_id)
        for at, request_id in drained.arrivals
        if at > acknowledged_at + DRAIN_S + MARGIN_S
    ]
    for at, request_id in late:
        record.add(f"BROKEN: {request_id} reached {drained.id}", at)

    # Not part of the verdict: whether a process that starts now gets ready.
    node = deployment.instances[2]
    node.end()
    node.start()
    await asyncio.sleep(10)
    record.add(f"node 2, started again 10 s ago, is ready: {await node.is_ready()}")
    for client in clients:
        client.stopped = True
    await asyncio.gather(*tasks)
    last = max((at for at, _ in late), default=acknowledged_at) - acknowledged_at
    record.add(
        f"{len(late)} requests reached {drained.id} over {DRAIN_S} s after the store had "
        f"acknowledged that it is draining, the last one {last:.2f} s after it"
    )
    return bool(late)


if __name__ == "__main__":
    with tempfile.TemporaryDirectory() as folder:
        run_case(case, folder)
