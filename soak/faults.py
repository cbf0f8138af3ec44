"""Faults from outside the processes; each undoes itself."""

from __future__ import annotations

import asyncio
import signal
import time
from typing import TYPE_CHECKING

from soak.deployment import SHARDS

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from soak.deployment import Deployment

DRAIN_S = 3.0
WATCH_S = 5.0  # the longest watch of an instance; only its end shows that a connection is silent
SERVER_BEHAVIOURS = ("shed", "error", "truncate", "extra", "late_extra", "unframed_reset", "lost")
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
        run.book.problems.append(f"{child.name} did not end within its grace")
        child.send(signal.SIGKILL)
        await child.wait(5)
    await child.start()


async def reload_instance(run: Deployment) -> None:
    """Let an instance read its settings again."""
    run.rng.choice(run.instances).send(signal.SIGHUP)


async def pause_instance(run: Deployment) -> None:
    """Freeze an instance for a while."""
    child = run.rng.choice(run.instances)
    child.send(signal.SIGSTOP)
    await asyncio.sleep(run.rng.uniform(0.2, 2))
    child.send(signal.SIGCONT)


async def pause_server(run: Deployment) -> None:
    """Freeze a server for a while."""
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
    """Let a server report that it leaves, and come back later."""
    server_id = run.rng.choice(list(run.servers))
    if server_id in run.drained_at_by_id:
        return
    await run.publish(server_id, draining=True)
    run.drained_at_by_id[server_id] = time.time()
    await asyncio.sleep(DRAIN_S + 2)


async def spoil_server(run: Deployment) -> None:
    """Let a server give bad answers."""
    server_id = run.rng.choice(list(run.servers))
    behaviour = run.rng.choice(SERVER_BEHAVIOURS)
    await run.behave(server_id, {"behaviour": behaviour, "share": 0.4})
    await asyncio.sleep(run.rng.uniform(0.5, 3))
    await run.behave(server_id, {"behaviour": "ok"})


async def trouble_links(run: Deployment) -> None:
    """Let the connections to some servers misbehave."""
    chosen = run.rng.sample(list(run.proxies_by_id.values()), run.rng.randint(1, 5))
    mode = run.rng.choice(PROXY_MODES)
    began = time.time()
    for proxy in chosen:
        proxy.mode = mode
    await asyncio.sleep(run.rng.uniform(0.3, 3))
    for proxy in chosen:
        proxy.mode = "ok"
    run.link_troubles.append((began, time.time()))


async def reset_links(run: Deployment) -> None:
    """Reset all open connections to some servers."""
    for proxy in run.rng.sample(list(run.proxies_by_id.values()), 6):
        proxy.reset()
    run.link_troubles.append((time.time(), time.time()))


async def trouble_store(run: Deployment) -> None:
    """Let the store fail its readers, and forget its history now and then."""
    began = time.time()
    await run.set_store(run.rng.choice(STORE_MODES), history=run.rng.random() < 0.5)
    await asyncio.sleep(run.rng.uniform(0.5, 4))
    await run.set_store("ok")
    run.store_troubles.append((began, time.time()))


async def ask_for_time(run: Deployment) -> None:
    """Let a server turn requests away and name the time for which it wants none."""
    server_id = run.rng.choice(list(run.servers))
    pause_s = run.rng.uniform(0.8, 3)
    await run.behave(server_id, {"behaviour": "shed", "share": 0.5, "pause_s": pause_s})
    await asyncio.sleep(run.rng.uniform(0.3, 2))
    await run.behave(server_id, {"behaviour": "ok", "pause_s": 0})


async def leave_server(run: Deployment) -> None:
    """Let a server say that it leaves in its answers only, and start it anew later."""
    server_id = run.rng.choice(list(run.servers))
    if server_id in run.leaving_ids:
        return
    run.leaving_ids.add(server_id)
    await run.behave(server_id, {"leaving": True})
    await asyncio.sleep(DRAIN_S + run.rng.uniform(1, 3))
    child = run.servers[server_id]
    child.send(signal.SIGKILL)
    await child.wait(5)
    await child.start()
    run.models_by_id[server_id].incarnation += 1
    await run.publish(server_id)
    run.leaving_ids.discard(server_id)


async def change_configuration(run: Deployment) -> None:
    """Publish other shards."""
    await run.configure(run.rng.choice((SHARDS - 1, SHARDS)))


async def trouble_store_links(run: Deployment) -> None:
    """Let the connections of some instances to the store misbehave, new ones included."""
    chosen = run.rng.sample(run.store_proxies, run.rng.randint(1, len(run.store_proxies)))
    mode = run.rng.choice(PROXY_MODES)
    began = time.time()
    for proxy in chosen:
        proxy.mode = mode
    await asyncio.sleep(run.rng.uniform(0.5, 4))
    for proxy in chosen:
        proxy.mode = "ok"
    run.store_troubles.append((began, time.time()))


async def silence_store_connections(run: Deployment) -> None:
    """Let open connections to the store go silent for good while new ones work."""
    for proxy in run.rng.sample(run.store_proxies, run.rng.randint(1, len(run.store_proxies))):
        proxy.silence_open()
    now = time.time()
    run.store_troubles.append((now, now + WATCH_S))


# The faults of the seeds up to 306; a seed chooses the same faults only from the same list.
FIRST_KINDS: tuple[Callable[[Deployment], Awaitable[None]], ...] = (
    kill_instance,
    stop_instance,
    reload_instance,
    pause_instance,
    pause_server,
    kill_server,
    drain_server,
    spoil_server,
    spoil_server,
    trouble_links,
    trouble_links,
    reset_links,
    trouble_store,
    change_configuration,
)
# The same for seeds up to 91015.
SECOND_KINDS = (*FIRST_KINDS, trouble_store_links, silence_store_connections)
KINDS = (*SECOND_KINDS, ask_for_time, ask_for_time, leave_server, leave_server)
