"""Growth of processor time, memory and message sizes, for docs/CAPACITY.md.

``python -m bench.slopes`` measures each cost at three or more sizes and fits a line. Processor time
is that of this process; the server of the network measurements runs in a separate process.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import subprocess
import sys
import time
from collections.abc import Callable
from typing import Any

import aiohttp
import orjson

from bench.control_slopes import control_series
from bench.series import Series, report, traced_bytes
from turmerictiller.config import load_settings
from turmerictiller.core import effects, events
from turmerictiller.core.configuration.note_model import DefinitionsModel, WithdrawnModel
from turmerictiller.core.configuration.notes import check_note, seal_note
from turmerictiller.core.reducer import reduce
from turmerictiller.core.state import State, new_state
from turmerictiller.util.canonical import canonical_json, snapshot_name

SERVERS_PER_SERVICE = 3


def definitions(services: int) -> DefinitionsModel:
    """Return one front over services of ``SERVERS_PER_SERVICE`` servers each."""
    names = [f"jobs-{number}" for number in range(services)]
    return DefinitionsModel.model_validate(
        {
            "services": [
                {
                    "name": name,
                    "servers": [
                        {
                            "id": f"{name}-s{number}",
                            "address": f"10.{index // 250}.{index % 250}.{number + 1}:9000",
                            "domain": f"domain-{number}",
                        }
                        for number in range(SERVERS_PER_SERVICE)
                    ],
                    "slots": 3,
                    "connections": 30,
                    "open_ms": 6.0,
                }
                for index, name in enumerate(names)
            ],
            "fronts": [{"name": "booking", "services": names}],
        }
    )


def sealed_note(services: int) -> dict[str, Any]:
    """Return a first release note with the given number of services."""
    return seal_note(None, definitions(services), DefinitionsModel(), WithdrawnModel()).unwrap()


def serving_state(services: int) -> State:
    """Return the state of an instance that serves a front over the given number of services."""
    state = new_state(load_settings({"instance_id": "e1", "failure_domain": "d1", "seed": 1}))
    reduce(state, events.NoteSeen(0.0, "platform", sealed_note(services)))
    shards: dict[str, tuple[str, ...]] = {
        f"jobs-{number}": (f"jobs-{number}/0",) for number in range(services)
    }
    name = snapshot_name(1, {key: list(value) for key, value in shards.items()})
    for server_id in list(state.servers_by_id):
        status = events.UpstreamStatus(f"i-{server_id}", False, (name,))
        reduce(state, events.HealthReported(0.0, server_id, status))
    reduce(state, events.ShardMapSeen(0.0, "jobs-0-s0", name, shards))
    return state


def reducer_us(services: int) -> float:
    """Return microseconds of processor time of the reducer per sub-request."""
    state = serving_state(services)
    searches = max(3, 3_000 // services)
    started_at = time.process_time()
    for call_id in range(searches):
        at = 1.0 + call_id
        search = events.SearchArrived(at, call_id, "booking", "velvet")
        for effect in reduce(state, search):
            if isinstance(effect, effects.SendSearch):
                shard = f"{effect.service}/0"
                hits = (events.Hit(0.5, shard, f"{shard}#1"),)
                answer = events.AttemptAnswered(
                    at + 0.5, effect.attempt_id, effect.snapshot, (shard,), hits
                )
                reduce(state, answer)
    return (time.process_time() - started_at) * 1e6 / (searches * services)


def state_bytes(services: int) -> float:
    """Return the bytes of an instance's state."""
    return traced_bytes(serving_state, services)


def note_check_ms(services: int) -> float:
    """Return milliseconds of processor time to check a note."""
    document = json.loads(canonical_json(sealed_note(services)))
    started_at = time.process_time()
    check_note(None, document).unwrap()
    return (time.process_time() - started_at) * 1e3


def note_bytes(services: int) -> float:
    """Return the size of a note in bytes, without its list of additions."""
    document = sealed_note(services)
    document["added"] = {"services": [], "fronts": []}
    return len(canonical_json(document))


async def post_us(url: str, hits: int, calls: int = 2_000, concurrency: int = 20) -> float:
    """Return microseconds of processor time per POST by aiohttp's client."""
    body = orjson.dumps({"query": "velvet", "k": hits})
    pending_calls = iter(range(calls))

    async with aiohttp.ClientSession() as session:

        async def worker() -> None:
            for _ in pending_calls:
                async with session.post(url, data=body) as response:
                    orjson.loads(await response.read())

        await asyncio.gather(*(worker() for _ in range(concurrency)))
        started_at = time.process_time()
        pending_calls = iter(range(calls))
        await asyncio.gather(*(worker() for _ in range(concurrency)))
    return (time.process_time() - started_at) * 1e6 / calls


async def batch_us(port: int, batch: int, items: int = 20_000) -> float:
    """Return microseconds of processor time per frame of several items and its answer."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    frame = orjson.dumps([{"id": f"a-{n}", "query": "velvet", "k": 10} for n in range(batch)])
    frames = max(10, items // batch)
    started_at = time.process_time()
    for _ in range(frames):
        writer.write(len(frame).to_bytes(4, "big") + frame)
        size = int.from_bytes(await reader.readexactly(4), "big")
        orjson.loads(await reader.readexactly(size))
    cpu_s = time.process_time() - started_at
    writer.close()
    await writer.wait_closed()
    return cpu_s * 1e6 / frames


async def serve() -> None:
    """Print the ports, then answer POSTs and frames until standard input is closed."""
    from aiohttp import web

    async def on_post(request: web.Request) -> web.Response:
        k = orjson.loads(await request.read())["k"]
        return web.Response(body=orjson.dumps(hits(k)))

    async def on_frames(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                size = int.from_bytes(await reader.readexactly(4), "big")
                items = orjson.loads(await reader.readexactly(size))
                answer = orjson.dumps([hits(item["k"]) for item in items])
                writer.write(len(answer).to_bytes(4, "big") + answer)
        except asyncio.IncompleteReadError:
            writer.close()

    app = web.Application()
    app.router.add_post("/search", on_post)
    runner = web.AppRunner(app)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    server = await asyncio.start_server(on_frames, "127.0.0.1", 0)
    print(runner.addresses[0][1], server.sockets[0].getsockname()[1], flush=True)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)


def hits(k: int) -> list[dict[str, Any]]:
    """Return ``k`` hits in the form of an answer."""
    return [{"score": 0.5, "shard": "jobs-0/0", "id": f"jobs-0/0#{n}"} for n in range(k)]


def network_series() -> list[Series]:
    """Measure POSTs and frames against a server in a separate process."""
    command = [sys.executable, "-m", "bench.slopes", "--serve"]
    server = subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)
    try:
        assert server.stdout is not None
        http_port, frame_port = (int(part) for part in server.stdout.readline().split())
        url = f"http://127.0.0.1:{http_port}/search"
        posts = {size: asyncio.run(post_us(url, size)) for size in (1, 10, 50)}
        batches = {size: asyncio.run(batch_us(frame_port, size)) for size in (1, 10, 50, 200)}
    finally:
        server.terminate()
        server.wait()
    return [
        Series("POST by aiohttp's client", "us", "hit in the answer", posts),
        Series("frame on a kept connection", "us", "item in the frame", batches),
    ]


def local_series() -> list[Series]:
    """Measure the costs that need no network."""
    measured: list[tuple[str, str, str, Callable[[int], float], tuple[int, ...]]] = [
        ("reducer per sub-request", "us", "service", reducer_us, (10, 50, 150, 370)),
        ("state of an instance", "bytes", "service", state_bytes, (10, 100, 370, 1_133)),
        ("check of a note", "ms", "service", note_check_ms, (10, 100, 370, 1_133)),
        ("size of a note", "bytes", "service", note_bytes, (10, 100, 370, 1_133)),
    ]
    return [
        Series(name, unit, per, {size: measure(size) for size in sizes})
        for name, unit, per, measure, sizes in measured
    ]


def main() -> None:
    """Measure all costs and report them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--serve", action="store_true", help=argparse.SUPPRESS)
    if parser.parse_args().serve:
        asyncio.run(serve())
        return
    report(local_series() + control_series() + network_series())


if __name__ == "__main__":
    main()
