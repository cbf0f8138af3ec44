"""One instance on the platform: listeners, store access and signal handling."""

from __future__ import annotations

import asyncio
import secrets
import signal
from typing import TYPE_CHECKING

from turmerictiller.clock import Clock
from turmerictiller.errors import ConfigError
from turmerictiller.forwarding.events import SettingsChanged, ShutdownRequested
from turmerictiller.forwarding.model import CallerLimits
from turmerictiller.forwarding.readers import read_plan
from turmerictiller.platform.http_dialect import DIALECT
from turmerictiller.platform.registry import RegistryReplica
from turmerictiller.platform.settings import read_settings
from turmerictiller.platform.store import StoreClient
from turmerictiller.transport.http_client import ConnectionPool
from turmerictiller.transport.http_server import HttpListener
from turmerictiller.transport.messages import encode_response
from turmerictiller.transport.peer_link import PeerLink
from turmerictiller.transport.shell import ForwardingShell
from turmerictiller.util.prometheus import CONTENT_TYPE

if TYPE_CHECKING:
    from pathlib import Path

    from turmerictiller.platform.settings import NodeFile
    from turmerictiller.transport.http_server import ServerConnection
    from turmerictiller.transport.messages import RawRequest

READINESS_TARGET = b"/-/readiness"
METRICS_TARGET = b"/metrics"
METRICS_PORT = 9464  # the port that deploy/system.toml names
# File descriptors kept free for connections to servers and the store, and for files.
RESERVED_DESCRIPTORS = 1_200
MAX_OPERATOR_CONNECTIONS = 64


class PlatformApplication:
    """One instance on the platform.

    :param path: settings file, read again on ``SIGHUP``.
    """

    def __init__(self, path: Path, node: NodeFile, metrics_port: int = METRICS_PORT) -> None:
        self.path = path
        self.node = node
        self.metrics_port = metrics_port
        self.clock = Clock()
        self.shell = ForwardingShell(
            node.forwarding_settings(secrets.randbits(63)),
            DIALECT,
            self.clock,
            max_connections=node.limits.max_descriptors - RESERVED_DESCRIPTORS,
        )
        store = StoreClient(node.store.address, ConnectionPool(self.clock), self.clock)
        self.registry = RegistryReplica(
            store,
            self.clock,
            node.bounds.registry_bound_ms,
            node.bounds.contact_ms,
            lambda: read_plan(self.shell.state, self.clock.now_ms()),
            self.shell.dispatch,
            self.shell.log.write,
        )
        self.peers = PeerLink(self.shell, self.registry)
        self.shell.send_gossip = self.peers.send_exchange
        self._operator_listeners = [self._new_operator_listener(), self._new_operator_listener()]

    async def run(self) -> None:
        """Serve until shutdown is complete."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._shut_down)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        listen = self.node.listen
        await self.shell.listener.open(listen.front)
        host = listen.ready.rpartition(":")[0]
        for listener, address in zip(
            self._operator_listeners, (listen.ready, f"{host}:{self.metrics_port}"), strict=True
        ):
            await listener.open(address)
        await self.peers.listener.open(self.shell.settings.peer_address)
        self.registry.start()
        fields = {"failure_domain": self.node.failure_domain, "address": listen.front}
        self.shell.log.write("started", fields, urgent=True)
        await self.shell.stopped.wait()
        self.registry.close()
        self.shell.log.write("stopped", {}, urgent=True)
        for listener in self._operator_listeners:
            listener.close()
        self.peers.close()
        self.shell.close()

    def _new_operator_listener(self) -> HttpListener:
        return HttpListener(
            self.clock,
            CallerLimits(),
            self.shell.listener.errors,
            self._on_operator_request,
            lambda connection: None,
            MAX_OPERATOR_CONNECTIONS,
        )

    def _on_operator_request(self, connection: ServerConnection, raw: RawRequest) -> None:
        if raw.target == READINESS_TARGET:
            status, reason = (200, b"OK") if self.shell.is_ready else (503, b"Service Unavailable")
            connection.answer(encode_response(status, reason, [], b"", False), False)
        elif raw.target == METRICS_TARGET:
            headers = [(b"Content-Type", CONTENT_TYPE.encode())]
            body = self.shell.metrics.text().encode()
            connection.answer(encode_response(200, b"OK", headers, body, False), False)
        else:
            connection.answer(encode_response(404, b"Not Found", [], b"", False), False)

    def _shut_down(self) -> None:
        self.shell.dispatch(ShutdownRequested(self.clock.now_ms()))

    def _reload(self) -> None:
        """Reload the settings; changed addresses take effect only after a restart."""
        try:
            node = read_settings(self.path)
        except ConfigError as error:
            fields = {"problems": error.problems}
            self.shell.log.write("settings_rejected", fields, urgent=True)
            return
        self.node = node
        settings = node.forwarding_settings(self.shell.settings.seed)
        self.shell.dispatch(SettingsChanged(self.clock.now_ms(), settings))
        self.shell.log.write("settings_reloaded", {}, urgent=True)
