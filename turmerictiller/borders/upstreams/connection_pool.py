"""Keep-alive connection pools per server, replaceable without aborting requests in flight."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import aiohttp

from turmerictiller.borders.upstreams.sockets import new_socket

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

KEEPALIVE_S = 15.0


@dataclass(slots=True)
class _Pool:
    """Keep-alive connections to one address.

    :param in_flight: number of requests that use the pool.
    :param retired: whether a newer pool has replaced this one.
    """

    session: aiohttp.ClientSession
    in_flight: int = 0
    retired: bool = False


@dataclass(slots=True)
class ConnectionPools:
    """Connection pools by server address."""

    _by_address: dict[str, _Pool] = field(default_factory=dict)
    _closing_tasks: set[asyncio.Task[None]] = field(default_factory=set)

    @asynccontextmanager
    async def session(self, address: str) -> AsyncIterator[aiohttp.ClientSession]:
        """Provide the session of an address for one request."""
        pool = self._by_address.get(address)
        if pool is None:
            connector = aiohttp.TCPConnector(
                limit=0, keepalive_timeout=KEEPALIVE_S, socket_factory=new_socket
            )
            pool = _Pool(aiohttp.ClientSession(connector=connector))
            self._by_address[address] = pool
        pool.in_flight += 1
        try:
            yield pool.session
        finally:
            pool.in_flight -= 1
            self._close_if_unused(pool)

    def reset(self, address: str) -> None:
        """Make new requests open new connections.

        Idle connections are closed; requests in flight continue.
        """
        pool = self._by_address.pop(address, None)
        if pool is not None:
            pool.retired = True
            self._close_if_unused(pool)

    async def close(self) -> None:
        """Close all connections."""
        for pool in self._by_address.values():
            await pool.session.close()
        await asyncio.gather(*self._closing_tasks, return_exceptions=True)

    def __len__(self) -> int:
        return len(self._by_address)

    def _close_if_unused(self, pool: _Pool) -> None:
        if not pool.retired or pool.in_flight:
            return
        task = asyncio.get_running_loop().create_task(pool.session.close())
        self._closing_tasks.add(task)
        task.add_done_callback(self._closing_tasks.discard)
