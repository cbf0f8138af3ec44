"""Stand-in for a platform server: slots, a bounded queue, signed answers and injected faults.

Several servers can share one process; each listens at its own address. ``PUT /control`` sets fields
of that server, such as ``{"behaviour": NAME, "share": S, "work_ms": MS}``, where NAME is one of
``BEHAVIOURS`` and S is the share of requests that it applies to. ``GET /control`` returns the
requests that the server executed.
"""

from __future__ import annotations

import argparse
import asyncio
import hashlib
import json
import random
import time
import zlib
from collections import Counter
from dataclasses import dataclass, field

from standins.endless_answers import FORMS, send_endless_answer

RECORD_BYTES = 16
RECORDS = 25
BEHAVIOURS = frozenset(
    {
        "ok",
        "shed",
        "error",
        "error_408",
        "error_429",
        "error_503",
        "errors",
        "truncate",
        "extra",
        "late_extra",
        "foreign_first",
        "unframed",
        "unframed_reset",
        "lost",
        "silent",
        "garbage",
        "encoded",
        "unsigned",
        "close",
        "slow",
        *(f"endless_{form}" for form in FORMS),
    }
)
# Answers after the request has run, without a header that says otherwise.
STATUS_BY_BEHAVIOUR = {"error": 500, "error_408": 408, "error_429": 429, "error_503": 503}
MIXED_ERRORS = "errors"  # any of these statuses, chosen by the request id
SLOW_MS = 300.0
RESTART_S = 0.3


@dataclass
class ShardServer:
    """One server.

    :param queue: number of requests that may wait for a slot; more are shed.
    :param share: share of the requests to which ``behaviour`` applies.
    :param ran: number of executions by request id.
    :param leaving: whether all answers announce that the server leaves.
    :param pause_s: seconds in the Retry-After header of shed requests; 0 for no header.
    :param tell_runs: whether executed and shed requests, and answers that announce that the server
        leaves, are logged to standard output.
    :param delayed_answer: bytes that are sent before the next answer.
    :param endless_bytes: bytes sent in answers without end.
    :param crashes_on: prefix of the paths that crash the server; it restarts after ``RESTART_S``.
    """

    id: str
    service: str
    address: str = ""
    slots: int = 3
    queue: int = 18
    work_ms: float = 5.0
    behaviour: str = "ok"
    share: float = 1.0
    draining: bool = False
    leaving: bool = False
    pause_s: float = 0.0
    tell_runs: bool = False
    incarnation: int = 1
    ran: Counter[str] = field(default_factory=Counter)
    paths_by_request: dict[str, str] = field(default_factory=dict)
    last_run_at: float = 0.0
    waiting: int = 0
    rng: random.Random = field(init=False)
    slot_semaphore: asyncio.Semaphore | None = None
    delayed_answer: bytes = b""
    crashes_on: str = ""
    crashes: int = 0
    endless_bytes: int = 0
    listener: asyncio.Server | None = None
    writers: set[asyncio.StreamWriter] = field(default_factory=set)

    def __post_init__(self) -> None:
        # With equal generators, all servers would fail the same requests.
        self.rng = random.Random(self.id)

    def signature(self, request_id: str) -> str:
        """Return the signature that shows which server executed a request."""
        return f"{self.id}.{self.incarnation:x}.{request_id}"

    def records(self, path: str) -> bytes:
        """Return the records for a path, unordered, followed by an incomplete one."""
        digest = hashlib.shake_128(f"{self.service}{path}".encode()).digest(RECORDS * RECORD_BYTES)
        return digest + b"rest"

    def entry(self, domain: str = "here") -> dict[str, object]:
        """Return the registry entry of this server."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": domain,
            "version": "v1",
            "slots": self.slots,
            "state": "draining" if self.draining else "ready",
            "warmupLeftMs": 0,
            "sequence": 1,
            "born": self.incarnation,
        }

    async def open(self, address: str) -> asyncio.Server:
        """Listen at an address; port 0 selects a free port."""
        host, _, port = address.rpartition(":")
        self.slot_semaphore = asyncio.Semaphore(self.slots)
        self.listener = await asyncio.start_server(self._serve, host, int(port))
        self.address = f"{host}:{self.listener.sockets[0].getsockname()[1]}"
        return self.listener

    async def _crash(self) -> None:
        """Reset all connections and refuse new ones until the restart."""
        assert self.listener is not None
        self.crashes += 1
        self.listener.close()
        for writer in self.writers:
            writer.transport.abort()
        await asyncio.sleep(RESTART_S)
        await self.open(self.address)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        header_lines = head.split("\r\n")
        method, path, _ = header_lines[0].split(" ", 2)
        headers = {
            name.strip().lower(): value.strip()
            for name, _, value in (line.partition(":") for line in header_lines[1:] if line)
        }
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        if path == "/control":
            writer.write(_response(200, [], self._control(method, body)))
            return True
        if headers.get("target-instance", self.id) != self.id:
            writer.write(
                _response(421, [("Instance-Id", self.id), *self._announcement_headers()], b"")
            )
            return True
        request_id = headers.get("request-id", "")
        is_faulty = self.rng.random() < self.share
        behaviour = self.behaviour if is_faulty else "ok"
        if behaviour == "shed" or self.waiting >= self.queue:
            shed_headers = [
                ("Not-Executed", "1"),
                ("Request-Id", request_id),
                *self._announcement_headers(),
            ]
            if self.pause_s:
                shed_headers.append(("Retry-After", f"{self.pause_s:.3f}"))
            self._log_request(request_id, f"{method} {path}", f"turned_away {self.pause_s:.3f}")
            writer.write(_response(503, shed_headers, b""))
            return True
        if self.crashes_on and path.startswith(self.crashes_on):
            await self._crash()
            return False
        await self._run(request_id, f"{method} {path}", behaviour)
        return await self._answer(writer, request_id, path, behaviour)

    def _announcement_headers(self) -> list[tuple[str, str]]:
        return [("Server-Leaving", "1")] if self.leaving else []

    def _log_request(self, request_id: str, path: str, *announcement: str) -> None:
        if self.tell_runs:
            line = " ".join((f"{time.time():.3f}", self.id, request_id, path, *announcement))
            print(line, flush=True)

    async def _run(self, request_id: str, path: str, behaviour: str) -> None:
        assert self.slot_semaphore is not None
        self.waiting += 1
        async with self.slot_semaphore:
            self.waiting -= 1
            self.ran[request_id] += 1
            self.paths_by_request[request_id] = path
            self._log_request(request_id, path)
            self.last_run_at = asyncio.get_running_loop().time()
            await asyncio.sleep((SLOW_MS if behaviour == "slow" else self.work_ms) / 1000)

    async def _answer(
        self, writer: asyncio.StreamWriter, request_id: str, path: str, behaviour: str
    ) -> bool:
        headers = [("Server-Stamp", self.signature(request_id)), ("Request-Id", request_id)]
        headers += self._announcement_headers()
        if self.leaving:
            self._log_request(request_id, f"ANSWER {path}", "leaving")
        body = self.records(path)
        response = _response(200, headers, body)
        if self.delayed_answer:
            delayed, self.delayed_answer = self.delayed_answer, b""
            writer.write(delayed)
        if behaviour == MIXED_ERRORS:
            names = list(STATUS_BY_BEHAVIOUR)
            behaviour = names[zlib.crc32(request_id.encode()) % len(names)]
        if behaviour in STATUS_BY_BEHAVIOUR:
            writer.write(_response(STATUS_BY_BEHAVIOUR[behaviour], headers, b"failed"))
        elif behaviour == "truncate":
            writer.write(response[:-10])
            return False
        elif behaviour == "extra":
            writer.write(response + response)
        elif behaviour == "late_extra":
            writer.write(response)
            self.delayed_answer = response
        elif behaviour == "foreign_first":
            other_headers = [("Server-Stamp", self.signature("other")), ("Request-Id", "other")]
            writer.write(_response(200, other_headers, b"f" * RECORD_BYTES) + response)
        elif behaviour in ("unframed", "unframed_reset"):
            header_lines = "".join(f"{name}: {value}\r\n" for name, value in headers)
            writer.write(f"HTTP/1.1 200 OK\r\n{header_lines}\r\n".encode() + body)
            if behaviour == "unframed_reset":
                await writer.drain()
                await asyncio.sleep(0.01)
                writer.transport.abort()
            return False
        elif behaviour == "lost":
            writer.transport.abort()
            return False
        elif behaviour == "silent":
            await asyncio.sleep(3_600)
        elif behaviour == "garbage":
            writer.write(b"\x00\x01 no answer at all\r\n\r\n")
        elif behaviour == "encoded":
            writer.write(_response(200, [*headers, ("Content-Encoding", "gzip")], body))
        elif behaviour == "unsigned":
            writer.write(_response(200, [("Request-Id", request_id)], body))
        elif behaviour == "close":
            writer.write(_response(200, [*headers, ("Connection", "close")], body))
            return False
        elif behaviour.startswith("endless_"):
            form = behaviour.removeprefix("endless_")
            self.endless_bytes += await send_endless_answer(writer, form, response)
            return False
        else:
            writer.write(response)
        return True

    def _control(self, method: str, body: bytes) -> bytes:
        if method == "PUT":
            for name, value in json.loads(body).items():
                setattr(self, name, value)
        state = {
            "id": self.id,
            "ran": self.ran,
            "paths": self.paths_by_request,
            "last_run_at": self.last_run_at,
            "endless_bytes": self.endless_bytes,
        }
        return json.dumps(state).encode()


def _response(status: int, headers: list[tuple[str, str]], body: bytes) -> bytes:
    header_lines = [f"HTTP/1.1 {status} X", *(f"{name}: {value}" for name, value in headers)]
    header_lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(header_lines).encode("latin-1") + b"\r\n\r\n" + body


async def _run_all(servers: list[ShardServer], addresses: list[str]) -> None:
    for server, address in zip(servers, addresses, strict=True):
        await server.open(address)
    await asyncio.Event().wait()


def main() -> None:
    """Run the servers given as ``ID=SERVICE=IP:PORT`` until the process is ended."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("server", nargs="+")
    parser.add_argument("--tell-runs", action="store_true", help="log requests to standard output")
    options = parser.parse_args()
    specifications = [text.split("=") for text in options.server]
    servers = [
        ShardServer(server_id, service, tell_runs=options.tell_runs)
        for server_id, service, _ in specifications
    ]
    asyncio.run(_run_all(servers, [address for _, _, address in specifications]))


if __name__ == "__main__":
    main()
