"""Faults that are injected from outside the processes; most revert themselves."""

from __future__ import annotations

import asyncio
import signal
import time
from typing import TYPE_CHECKING

from soak.deployment import SHARDS
from standins.endless_answers import FORMS

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from soak.deployment import Deployment

DRAIN_S = 3.0
# Recovery bound in the settings: other bounds hold again this long after connections went silent.
RECOVERY_BOUND_S = 4.0
SERVER_BEHAVIOURS = ("shed", "errors", "truncate", "extra", "late_extra", "unframed_reset", "lost")
MAX_EXTRA_ROUTES = 4_000  # 0.7 MB
# A body without a length is complete when its server is killed, so callers may get that one.
ENDLESS_FORMS = tuple(sorted(set(FORMS) - {"until_close"}))
PROXY_MODES = ("delay", "silent", "cut_back", "refuse")
STORE_MODES = ("busy", "silent", "reset")


async def kill_instance(run: Deployment) -> None:
    """Kill an instance and start it again."""
    child = run.rng.choice(run.instances)
    child.send(signal.SIGKILL)
    await child.wait(5)
    await asyncio.sleep(run.rng.uniform(0, 1))
    await child.start()


async def stop_instance(run: Deployment) -> None:
    """Stop an instance gracefully and start it again."""
    child = run.rng.choice(run.instances)
    if not child.is_running or child.paused:
        return
    child.send(signal.SIGTERM)
    if not await child.wait(6) and child.is_running and not child.paused:
        run.results.problems.append(f"{child.name} did not exit within its grace period")
        child.send(signal.SIGKILL)
        await child.wait(5)
    await child.start()


async def reload_instance(run: Deployment) -> None:
    """Make an instance reload its settings."""
    run.rng.choice(run.instances).send(signal.SIGHUP)


async def pause_instance(run: Deployment) -> None:
    """Pause an instance by SIGSTOP and resume it."""
    child = run.rng.choice(run.instances)
    child.send(signal.SIGSTOP)
    await asyncio.sleep(run.rng.uniform(0.2, 2))
    child.send(signal.SIGCONT)


async def pause_server(run: Deployment) -> None:
    """Pause a server by SIGSTOP and resume it."""
    child = run.rng.choice(list(run.servers.values()))
    child.send(signal.SIGSTOP)
    await asyncio.sleep(run.rng.uniform(0.1, 1))
    child.send(signal.SIGCONT)


async def kill_server(run: Deployment) -> None:
    """Kill a server and start it again as a new incarnation."""
    server_id = run.rng.choice(list(run.servers))
    child = run.servers[server_id]
    child.send(signal.SIGKILL)
    await child.wait(5)
    await asyncio.sleep(run.rng.uniform(0.2, 2))
    await child.start()


async def drain_server(run: Deployment) -> None:
    """Publish a server as draining; ``run_faults`` publishes it as ready again."""
    server_id = run.rng.choice(list(run.servers))
    if server_id in run.drained_at_by_id:
        return
    await run.publish(server_id, draining=True)
    run.drained_at_by_id[server_id] = time.time()
    await asyncio.sleep(DRAIN_S + 2)


async def inject_server_fault(run: Deployment) -> None:
    """Make a server answer some of its requests faultily."""
    server_id = run.rng.choice(list(run.servers))
    behaviour = run.rng.choice(SERVER_BEHAVIOURS)
    await run.set_behaviour(server_id, {"behaviour": behaviour, "share": 0.4})
    await asyncio.sleep(run.rng.uniform(0.5, 3))
    await run.set_behaviour(server_id, {"behaviour": "ok"})


async def inject_endless_answers(run: Deployment) -> None:
    """Make a server send some of its answers without end."""
    server_id = run.rng.choice(list(run.servers))
    form = run.rng.choice(ENDLESS_FORMS)
    await run.set_behaviour(server_id, {"behaviour": f"endless_{form}", "share": 0.3})
    await asyncio.sleep(run.rng.uniform(0.3, 2))
    await run.set_behaviour(server_id, {"behaviour": "ok"})


async def grow_configuration(run: Deployment) -> None:
    """Publish configurations with many more routes, one right after the other."""
    for _ in range(run.rng.randint(1, 3)):
        run.extra_routes = run.rng.randint(0, MAX_EXTRA_ROUTES)
        await run.publish_configuration(run.rng.choice((SHARDS - 1, SHARDS)))
        await asyncio.sleep(run.rng.uniform(0, 0.5))


async def inject_link_fault(run: Deployment) -> None:
    """Inject a fault into the connections to some servers."""
    chosen = run.rng.sample(list(run.proxies_by_id.values()), run.rng.randint(1, 5))
    mode = run.rng.choice(PROXY_MODES)
    started_at = time.time()
    for proxy in chosen:
        proxy.mode = mode
    await asyncio.sleep(run.rng.uniform(0.3, 3))
    for proxy in chosen:
        proxy.mode = "ok"
    run.link_faults.append((started_at, time.time()))


async def reset_links(run: Deployment) -> None:
    """Reset all open connections to some servers."""
    for proxy in run.rng.sample(list(run.proxies_by_id.values()), 6):
        proxy.reset()
    run.link_faults.append((time.time(), time.time()))


async def inject_store_fault(run: Deployment) -> None:
    """Make reads of the store fail, and drop its history in some cases."""
    started_at = time.time()
    await run.set_store(run.rng.choice(STORE_MODES), history=run.rng.random() < 0.5)
    await asyncio.sleep(run.rng.uniform(0.5, 4))
    await run.set_store("ok")
    run.store_faults.append((started_at, time.time()))


async def shed_with_retry_after(run: Deployment) -> None:
    """Make a server shed some of its requests and request a backoff by Retry-After."""
    server_id = run.rng.choice(list(run.servers))
    pause_s = run.rng.uniform(0.8, 3)
    await run.set_behaviour(server_id, {"behaviour": "shed", "share": 0.5, "pause_s": pause_s})
    await asyncio.sleep(run.rng.uniform(0.3, 2))
    await run.set_behaviour(server_id, {"behaviour": "ok", "pause_s": 0})


async def drain_server_by_answers(run: Deployment) -> None:
    """Make a server announce only in its answers that it leaves, and restart it later."""
    server_id = run.rng.choice(list(run.servers))
    if server_id in run.leaving_ids:
        return
    run.leaving_ids.add(server_id)
    await run.set_behaviour(server_id, {"leaving": True})
    await asyncio.sleep(DRAIN_S + run.rng.uniform(1, 3))
    child = run.servers[server_id]
    child.send(signal.SIGKILL)
    await child.wait(5)
    await child.start()
    run.server_models_by_id[server_id].incarnation += 1
    await run.publish(server_id)
    run.leaving_ids.discard(server_id)


async def change_configuration(run: Deployment) -> None:
    """Publish a configuration that may have another number of shards."""
    await run.publish_configuration(run.rng.choice((SHARDS - 1, SHARDS)))


async def inject_store_link_fault(run: Deployment) -> None:
    """Inject a fault into open and new connections of some instances to the store."""
    chosen = run.rng.sample(run.store_proxies, run.rng.randint(1, len(run.store_proxies)))
    mode = run.rng.choice(PROXY_MODES)
    started_at = time.time()
    for proxy in chosen:
        proxy.mode = mode
    await asyncio.sleep(run.rng.uniform(0.5, 4))
    for proxy in chosen:
        proxy.mode = "ok"
    run.store_faults.append((started_at, time.time()))


async def silence_store_connections(run: Deployment) -> None:
    """Blackhole open connections to the store for good; new ones work."""
    for proxy in run.rng.sample(run.store_proxies, run.rng.randint(1, len(run.store_proxies))):
        proxy.silence_open()
    now = time.time()
    run.store_faults.append((now, now + RECOVERY_BOUND_S))


# A seed reproduces its faults only with the list that it was run with. Seeds up to 306 were run
# with this list.
FAULTS_V1: tuple[Callable[[Deployment], Awaitable[None]], ...] = (
    kill_instance,
    stop_instance,
    reload_instance,
    pause_instance,
    pause_server,
    kill_server,
    drain_server,
    inject_server_fault,
    inject_server_fault,
    inject_link_fault,
    inject_link_fault,
    reset_links,
    inject_store_fault,
    change_configuration,
)
# Seeds up to 91015 were run with this list.
FAULTS_V2 = (*FAULTS_V1, inject_store_link_fault, silence_store_connections)
# Seeds up to 95005 were run with this list.
FAULTS_V3 = (
    *FAULTS_V2,
    shed_with_retry_after,
    shed_with_retry_after,
    drain_server_by_answers,
    drain_server_by_answers,
)
FAULTS = (*FAULTS_V3, inject_endless_answers, inject_endless_answers, grow_configuration)
