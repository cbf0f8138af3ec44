"""Callers that verify every answer."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from standins.shard_server import RECORD_BYTES, ShardServer
from tests.platform.serving import Caller

if TYPE_CHECKING:
    from collections.abc import Mapping

TOP_RECORDS = 5
BUDGET_MS = 1_500
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


@dataclass
class SoakResults:
    """What callers observed, and the violations that any check found.

    :param statuses: answers by kind of request and status, and errors by type.
    :param not_run: ids of non-idempotent requests that were refused as not run.
    :param served_once: answered non-idempotent requests, with the id of the server.
    :param problems: descriptions of violated guarantees.
    """

    statuses: Counter[str] = field(default_factory=Counter)
    not_run: set[str] = field(default_factory=set)
    served_once: dict[str, str] = field(default_factory=dict)
    problems: list[str] = field(default_factory=list)


@dataclass
class Checker:
    """One caller, which reuses its connection until that is closed or fails."""

    number: int
    addresses: list[str]
    servers_by_id: Mapping[str, ShardServer]
    shard_counts: tuple[int, ...]
    results: SoakResults
    rng: random.Random
    sent: int = 0
    instance: int = 0
    caller: Caller | None = None

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            try:
                await self._send_request()
            except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
                self.results.statuses[type(error).__name__] += 1
                self._close_connection()
            await asyncio.sleep(self.rng.uniform(0, 0.04))

    def _close_connection(self) -> None:
        if self.caller is not None:
            self.caller.writer.close()
        self.caller = None

    async def _send_request(self) -> None:
        if self.caller is None:
            self.instance = self.rng.randrange(len(self.addresses))
            host, _, port = self.addresses[self.instance].rpartition(":")
            async with asyncio.timeout(1):
                self.caller = Caller(*await asyncio.open_connection(host, int(port)))
        self.sent += 1
        # The checks of servers read the number of the instance from the start of the id.
        request_id = f"{self.instance}c{self.number}x{self.sent}"
        kind = self.rng.choice(("search", "search", "one", "once"))
        path = f"/{kind}/{self.rng.randrange(1000)}"
        method, body = ("POST", b"job") if kind == "once" else ("GET", b"")
        self.caller.write(path, method, request_id, body, BUDGET_MS)
        async with asyncio.timeout(BUDGET_MS / 1000 + 0.5):
            answer = await self.caller.read()
        self.results.statuses[f"{kind} {answer.status}"] += 1
        if answer.status in NOT_RUN_STATUSES and kind == "once":
            self.results.not_run.add(request_id)
        if answer.status == 200:
            if kind == "search":
                self._check_merged(request_id, path, answer.headers, answer.body)
            else:
                self._check_single(request_id, path, answer.headers, answer.body, kind)
        if answer.headers.get("connection") == "close":
            self._close_connection()

    def _signing_server(self, signature: str, request_id: str) -> ShardServer | None:
        server_id, _, suffix = signature.partition(".")
        is_of_request = suffix.partition(".")[2] == request_id
        return self.servers_by_id.get(server_id) if is_of_request else None

    def _check_single(
        self, request_id: str, path: str, headers: dict[str, str], body: bytes, kind: str
    ) -> None:
        signature = headers.get("server-stamp", "")
        server = self._signing_server(signature, request_id)
        if server is None or body != server.records(path) or server.service != "a":
            self.results.problems.append(
                f"answer of another request or server to {request_id}: {signature}"
            )
        elif kind == "once":
            self.results.served_once[request_id] = server.id

    def _check_merged(
        self, request_id: str, path: str, headers: dict[str, str], body: bytes
    ) -> None:
        signatures = [item.strip() for item in headers.get("part-stamps", "").split(",")]
        servers = [self._signing_server(signature, request_id) for signature in signatures]
        total = len(servers) + int(headers.get("missing-parts", "0"))
        services = {server.service for server in servers if server is not None}
        allowed = {f"s{index}" for index in range(total)}
        if (
            None in servers
            or len(services) != len(servers)
            or total not in self.shard_counts
            or not services <= allowed
        ):
            self.results.problems.append(
                f"wrong parts in the answer to {request_id}: {signatures} of {total}"
            )
            return
        records = []
        for server in servers:
            assert server is not None
            whole = server.records(path)
            ends = range(RECORD_BYTES, len(whole) + 1, RECORD_BYTES)
            records += [whole[end - RECORD_BYTES : end] for end in ends]
        if body != b"".join(sorted(records, reverse=True)[:TOP_RECORDS]):
            self.results.problems.append(f"wrong records in the answer to {request_id}")
