"""Loopback proxy that delays, resets or blackholes connections."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

CHUNK_BYTES = 65_536
DELAY_S = 0.05


@dataclass
class Proxy:
    """TCP proxy in front of one address.

    :param mode: ``ok``, ``delay``, ``silent`` (nothing is forwarded), ``cut_back`` (only requests
        are forwarded), or ``refuse`` (new connections are reset).
    :param silenced: connections on which nothing is forwarded, whatever the mode.
    """

    target: str
    mode: str = "ok"
    address: str = ""
    writers: set[asyncio.StreamWriter] = field(default_factory=set)
    silenced: set[asyncio.StreamWriter] = field(default_factory=set)
    _server: asyncio.Server | None = None

    async def open(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def reset(self) -> None:
        """Reset all open connections."""
        for writer in list(self.writers):
            writer.transport.abort()

    def silence_open(self) -> None:
        """Stop forwarding on the connections that are open now, without closing them."""
        self.silenced |= self.writers

    async def close(self) -> None:
        """Stop listening, reset all connections, and wait until they are closed."""
        if self._server is not None:
            self._server.close()
        self.reset()
        while self.writers:
            await asyncio.sleep(DELAY_S)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        upstream_writer = None
        try:
            if self.mode == "refuse":
                writer.transport.abort()
                return
            host, _, port = self.target.rpartition(":")
            upstream_reader, upstream_writer = await asyncio.open_connection(host, int(port))
            self.writers.add(upstream_writer)
            await asyncio.gather(
                self._copy(reader, upstream_writer, is_response=False),
                self._copy(upstream_reader, writer, is_response=True),
            )
        except OSError:
            writer.transport.abort()
        finally:
            for item in (writer, upstream_writer):
                if item is not None:
                    self.writers.discard(item)
                    self.silenced.discard(item)
                    item.close()

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, is_response: bool
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            while self._is_blocked(writer, is_response):
                await asyncio.sleep(DELAY_S)
            if self.mode == "delay":
                await asyncio.sleep(DELAY_S)
            writer.write(data)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()

    def _is_blocked(self, writer: asyncio.StreamWriter, is_response: bool) -> bool:
        is_blocked_by_mode = self.mode == "silent" or (is_response and self.mode == "cut_back")
        return (is_blocked_by_mode or writer in self.silenced) and not writer.is_closing()
