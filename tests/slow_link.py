"""Stand-in for a small network link: sends bytes at a limited rate, shared by all connections."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

PACKET_BYTES = 4_096


@dataclass
class SlowLink:
    """A link with a limited rate; concurrent transfers take turns, packet by packet.

    :param bytes_per_s: rate of all transfers together.
    """

    bytes_per_s: float
    free_at: float = 0.0

    async def send(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        """Send data; return early if the other side closes the connection."""
        loop = asyncio.get_running_loop()
        for start in range(0, len(data), PACKET_BYTES):
            packet = data[start : start + PACKET_BYTES]
            self.free_at = max(self.free_at, loop.time()) + len(packet) / self.bytes_per_s
            await asyncio.sleep(self.free_at - loop.time())
            if writer.is_closing():
                return
            writer.write(packet)

    async def relay(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Send everything that is read until the end of the connection."""
        while data := await reader.read(PACKET_BYTES):
            await self.send(writer, data)
        writer.close()
