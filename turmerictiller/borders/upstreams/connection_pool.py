"""Kept connections per server, replaceable without ending the calls that use them."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import aiohttp

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

KEEPALIVE_S = 15.0


@dataclass(slots=True)
class _Pool:
    """The kept connections to one address.

    :param calls: calls that use the pool now.
    """

    session: aiohttp.ClientSession
    calls: int = 0
    retired: bool = False


@dataclass(slots=True)
class ConnectionPools:
    """Pools by address."""

    _by_address: dict[str, _Pool] = field(default_factory=dict)
    _closing: set[asyncio.Task[None]] = field(default_factory=set)

    @asynccontextmanager
    async def session(self, address: str) -> AsyncIterator[aiohttp.ClientSession]:
        """Lend the session of an address for one call."""
        pool = self._by_address.get(address)
        if pool is None:
            connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=KEEPALIVE_S)
            pool = _Pool(aiohttp.ClientSession(connector=connector))
            self._by_address[address] = pool
        pool.calls += 1
        try:
            yield pool.session
        finally:
            pool.calls -= 1
            self._close_if_unused(pool)

    def reset(self, address: str) -> None:
        """Let new calls open new connections; idle ones are closed, running calls go on."""
        pool = self._by_address.pop(address, None)
        if pool is not None:
            pool.retired = True
            self._close_if_unused(pool)

    async def close(self) -> None:
        """Close all connections."""
        for pool in self._by_address.values():
            await pool.session.close()
        await asyncio.gather(*self._closing, return_exceptions=True)

    def __len__(self) -> int:
        return len(self._by_address)

    def _close_if_unused(self, pool: _Pool) -> None:
        if not pool.retired or pool.calls:
            return
        task = asyncio.get_running_loop().create_task(pool.session.close())
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)
