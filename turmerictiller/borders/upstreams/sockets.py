"""Sockets for connections to upstream servers."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from aiohttp.connector import AddrInfoType

# A read returns at most what this buffer holds. The parser needs up to 100 ms for a read of 256 KiB
# that holds thousands of interim responses or tiny chunks, and other calls wait meanwhile.
RECEIVE_BUFFER_BYTES = 8_192


def new_socket(address: AddrInfoType) -> socket.socket:
    """Return an unconnected socket with a small receive buffer."""
    family, kind, protocol, _, _ = address
    found = socket.socket(family, kind, protocol)
    found.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    return found
