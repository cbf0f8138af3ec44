"""Minimal HTTP/1.1 client, which keeps the load generator cheaper than the instances."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

HEAD_END = b"\r\n\r\n"


class Connection(asyncio.Protocol):
    """A persistent connection that carries one call at a time."""

    def __init__(self) -> None:
        self._transport: asyncio.Transport
        self._waiter: asyncio.Future[tuple[int, bytes]] | None = None
        self._received = bytearray()
        self.is_open = True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        self._received += data
        answer = split_answer(self._received)
        if answer is None:
            return
        status, body, keep_alive = answer
        self._received.clear()
        if not keep_alive:
            self.close()
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result((status, body))

    def connection_lost(self, exc: Exception | None) -> None:
        self.is_open = False
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_exception(ConnectionError("connection closed"))

    async def call(self, request_bytes: bytes) -> tuple[int, bytes]:
        """Send a request and return status and body of the answer."""
        self._waiter = asyncio.get_running_loop().create_future()
        self._transport.write(request_bytes)
        return await self._waiter

    def close(self) -> None:
        """Close the connection."""
        self.is_open = False
        self._transport.close()


def split_answer(received: bytes | bytearray) -> tuple[int, bytes, bool] | None:
    """Return status, body and whether the connection persists; ``None`` if bytes are missing."""
    end = received.find(HEAD_END)
    if end < 0:
        return None
    head = bytes(received[:end]).lower().split(b"\r\n")
    fields = dict(line.split(b": ", 1) for line in head[1:])
    start = end + len(HEAD_END)
    length = int(fields.get(b"content-length", b"0"))
    if len(received) < start + length:
        return None
    keep_alive = fields.get(b"connection") != b"close"
    return int(head[0].split()[1]), bytes(received[start : start + length]), keep_alive


def request(method: str, path: str, host: str, body: bytes = b"") -> bytes:
    """Return the bytes of a request."""
    head = f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Length: {len(body)}\r\n"
    return f"{head}Content-Type: application/json\r\n\r\n".encode() + body


@dataclass
class Target:
    """Connections to one instance.

    :param is_ready: result of the last health check.
    """

    address: str
    is_ready: bool = False
    idle: list[Connection] = field(default_factory=list)

    async def call(self, request_bytes: bytes) -> tuple[int, bytes]:
        """Send a request on an idle connection, or on a new one."""
        connection = await self._get_connection()
        try:
            answer = await connection.call(request_bytes)
        except BaseException:
            connection.close()
            raise
        if connection.is_open:
            self.idle.append(connection)
        return answer

    async def check_health(self) -> None:
        """Update ``is_ready`` from ``/health``."""
        try:
            status, _ = await self.call(request("GET", "/health", self.address))
            self.is_ready = status == 200
        except OSError:
            self.is_ready = False

    async def _get_connection(self) -> Connection:
        while self.idle:
            connection = self.idle.pop()
            if connection.is_open:
                return connection
        host, _, port = self.address.rpartition(":")
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(Connection, host, int(port))
        return connection
