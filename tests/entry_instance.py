"""Runs an entry instance, a platform and upstreams in the test process, with real sockets."""

from __future__ import annotations

import asyncio
import inspect
from contextlib import AsyncExitStack, asynccontextmanager
from typing import TYPE_CHECKING, Any

import orjson
from aiohttp import web

from standins import platform, upstream
from tests.harness import definitions
from turmerictiller.borders.application import Application
from turmerictiller.config import Settings, load_settings
from turmerictiller.core.configuration.note_model import DefinitionsModel, WithdrawnModel
from turmerictiller.core.configuration.notes import seal_note
from turmerictiller.core.events import Tick
from turmerictiller.core.lifecycle import NOTICE_OVER
from turmerictiller.core.state import TimerKind

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

SERVICES = ["jobs-0", "jobs-1"]
SETTINGS = {
    "instance_id": "e1",
    "failure_domain": "plateau",
    "incarnation": "a1",
    "seed": 1,
    "caller_address": "127.0.0.1:0",
    "operator_address": "127.0.0.1:0",
    "peer_address": "127.0.0.1:0",
    "drain_notice_ms": 300,
    "quiet_close_ms": 150,
    "max_deadline_ms": 5_000,
    "shutdown_limit_ms": 30_000,
    "read_timeout_ms": 20_000,
}


class RunningInstance:
    """Hold a running instance with its platform and upstreams."""

    def __init__(self, app: Application, upstreams: list[upstream.Upstream]) -> None:
        self.app = app
        self.upstreams = upstreams
        self.platform = platform.Platform()
        self.run: asyncio.Task[None]

    def set_service_time(self, service_ms: float = 3_600_000.0) -> None:
        """Set the service time of every upstream, one hour by default."""
        for item in self.upstreams:
            item.behaviour.service_ms = service_ms

    def trigger_shutdown_step(self, step: str) -> None:
        """Fire the timer of a shutdown step now."""
        now = self.app.clock.now_ms()
        self.app.state.timers.add(now, TimerKind.SHUTDOWN, step)
        self.app.dispatch(Tick(now))

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection as a caller."""
        return await asyncio.open_connection("127.0.0.1", self.app.callers.listener.port)

    async def call(self, raw: bytes) -> tuple[int, dict[str, str], Any]:
        """Send raw bytes on a new connection and return the first response."""
        reader, writer = await self.connect()
        writer.write(raw)
        try:
            return await read_answer(reader)
        finally:
            writer.close()


def post(path: str, body: Any, *headers: str) -> bytes:
    """Return a POST request with a JSON body; a body of bytes is not encoded."""
    raw = body if isinstance(body, bytes) else orjson.dumps(body)
    lines = [f"POST {path} HTTP/1.1", "Host: x", *headers, f"Content-Length: {len(raw)}"]
    if not any(line.lower().startswith("content-type") for line in headers):
        lines.append("Content-Type: application/json")
    return "\r\n".join([*lines, "", ""]).encode() + raw


def search(**body: Any) -> bytes:
    """Return a search request."""
    values = {"query": "velvet", "deadline_ms": 4_000, **body}
    return post("/v1/fronts/booking/search", values)


async def read_answer(reader: asyncio.StreamReader) -> tuple[int, dict[str, str], Any]:
    """Read one HTTP response with a JSON body and return status, headers and body.

    Header names and values are in lower case.
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    headers = dict(line.lower().split(": ", 1) for line in head[1:] if line)
    body = await reader.readexactly(int(headers["content-length"]))
    return int(head[0].split()[1]), headers, orjson.loads(body)


async def until(condition: Callable[[], Any]) -> None:
    """Wait until a condition holds, without a timeout, as the machine may be busy."""
    while not condition():
        await asyncio.sleep(0.002)


@asynccontextmanager
async def running_instance(
    is_platform_up: bool = True, **settings: Any
) -> AsyncIterator[RunningInstance]:
    """Run an instance, yield it once it is ready, and shut it down at the end."""
    async with AsyncExitStack() as stack:
        names = [f"{name}-s{number}" for name in SERVICES for number in range(2)]
        upstreams = [
            upstream.Upstream(
                name, upstream.Behaviour(service=name[:6], services=SERVICES, slots=64)
            )
            for name in names
        ]
        ports = [await _start(stack, upstream.application(item)) for item in upstreams]
        app_settings = load_settings({**SETTINGS, **settings})
        document = _definitions(ports, app_settings.max_deadline_ms)
        instance = RunningInstance(Application(app_settings), upstreams)
        platform_port = await _start(stack, platform.application(instance.platform))
        instance.app.settings = app_settings.model_copy(
            update={"platform_address": f"127.0.0.1:{platform_port}"}
        )
        added = DefinitionsModel.model_validate(document)
        note = seal_note(None, added, DefinitionsModel(), WithdrawnModel()).unwrap()
        instance.platform.note.put(note)
        instance.run = asyncio.create_task(instance.app.run())
        state = instance.app.state
        await until(lambda: state.shard_maps_by_snapshot and len(state.servers_by_id) == 4)
        await until(lambda: all(item.snapshots for item in state.servers_by_id.values()))
        if not is_platform_up:
            instance.platform.is_down = True
            instance.platform.note.changed.set()
        try:
            yield instance
        finally:
            instance.set_service_time(1.0)
            instance.app.shut_down()
            instance.trigger_shutdown_step(NOTICE_OVER)
            await instance.run


def on_instance(**settings: Any) -> Callable[[Callable[..., Any]], Callable[..., None]]:
    """Run an async test on an instance.

    Test parameters whose names are settings are passed to the instance as well.
    """

    def decorate(test: Callable[..., Any]) -> Callable[..., None]:
        def run(**values: Any) -> None:
            async def serve() -> None:
                parameters = {key: values[key] for key in values if key in Settings.model_fields}
                async with running_instance(**settings, **parameters) as instance:
                    await test(instance, **values)

            asyncio.run(serve())

        run.__name__, run.__doc__ = test.__name__, test.__doc__
        parameters = list(inspect.signature(test).parameters.values())[1:]
        run.__signature__ = inspect.Signature(parameters)  # type: ignore[attr-defined]
        return run

    return decorate


def _definitions(ports: list[int], max_deadline_ms: float) -> dict[str, Any]:
    document = definitions(servers=2, deadline_max_ms=max_deadline_ms)
    remaining = iter(ports)
    for service in document["services"]:
        for server in service["servers"]:
            server["address"] = f"127.0.0.1:{next(remaining)}"
    return document


async def _start(stack: AsyncExitStack, app: web.Application) -> int:
    runner = web.AppRunner(app, handler_cancellation=True, shutdown_timeout=0.1)
    await runner.setup()
    stack.push_async_callback(runner.cleanup)
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    return int(runner.addresses[0][1])
