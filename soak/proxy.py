"""A loopback proxy that delays, resets, cuts and silences connections."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

PIECE_BYTES = 65_536
DELAY_S = 0.05


@dataclass
class Proxy:
    """Forwards the connections to one address.

    :param mode: ``ok``, ``delay``, ``silent`` (nothing passes), ``cut_back`` (answers do not pass), or
        ``refuse`` (connections are reset).
    """

    target: str
    mode: str = "ok"
    address: str = ""
    writers: set[asyncio.StreamWriter] = field(default_factory=set)
    silenced: set[asyncio.StreamWriter] = field(default_factory=set)
    _server: asyncio.Server | None = None

    async def open(self) -> None:
        """Listen at a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def reset(self) -> None:
        """Reset all open connections."""
        for writer in list(self.writers):
            writer.transport.abort()

    def silence_open(self) -> None:
        """Let nothing pass on the open connections any more, without a reset."""
        self.silenced |= self.writers

    async def close(self) -> None:
        """Stop listening, reset everything, and wait until all connections have ended."""
        if self._server is not None:
            self._server.close()
        self.reset()
        while self.writers:
            await asyncio.sleep(DELAY_S)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        other = None
        try:
            if self.mode == "refuse":
                writer.transport.abort()
                return
            host, _, port = self.target.rpartition(":")
            far_reader, other = await asyncio.open_connection(host, int(port))
            self.writers.add(other)
            await asyncio.gather(
                self._copy(reader, other, is_back=False),
                self._copy(far_reader, writer, is_back=True),
            )
        except OSError:
            writer.transport.abort()
        finally:
            for item in (writer, other):
                if item is not None:
                    self.writers.discard(item)
                    self.silenced.discard(item)
                    item.close()

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, is_back: bool
    ) -> None:
        while data := await reader.read(PIECE_BYTES):
            while self._is_silent(writer, is_back):
                await asyncio.sleep(DELAY_S)
            if self.mode == "delay":
                await asyncio.sleep(DELAY_S)
            writer.write(data)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()

    def _is_silent(self, writer: asyncio.StreamWriter, is_back: bool) -> bool:
        is_cut = self.mode == "silent" or (is_back and self.mode == "cut_back")
        return (is_cut or writer in self.silenced) and not writer.is_closing()
