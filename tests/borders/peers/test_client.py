"""Tests of the connections between instances, over real sockets."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Any, TypeVar

import pytest

from turmerictiller.borders.peers import frames
from turmerictiller.borders.peers.client import PeerClient
from turmerictiller.borders.peers.connection import MAX_UNSENT_BYTES
from turmerictiller.clock import Clock
from turmerictiller.config import load_settings
from turmerictiller.core import effects, events
from turmerictiller.core.peers.gossip_model import GossipMessage, Member, PeerStatus

SENDER = Member("e9", "z9", 1, "127.0.0.1:1", "pikine", PeerStatus.READY)
LONG_MS = 60_000.0
E = TypeVar("E")


class Node:
    """Peer client and server of one instance, with a queue of the dispatched events."""

    def __init__(self, **settings: Any) -> None:
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            self.address = f"127.0.0.1:{probe.getsockname()[1]}"
        defaults = {"instance_id": "e1", "failure_domain": "plateau", "incarnation": "a1"}
        settings_values = {**defaults, "peer_address": self.address, **settings}
        self.note: dict[str, Any] | None = {"number": 1}
        self.events_queue: asyncio.Queue[Any] = asyncio.Queue()
        self.peers = PeerClient(
            load_settings(settings_values), Clock(), self.events_queue.put_nowait, lambda: self.note
        )

    async def event(self, kind: type[E]) -> E:
        event = await self.events_queue.get()
        assert isinstance(event, kind), event
        return event

    def forward(self, address: str, budget_ms: float, incarnation: str = "a1") -> None:
        self.peers.forward_run(
            effects.ForwardRun(
                7, address, incarnation, "booking", "t1", "pickup", {"job": 1}, budget_ms, "s", "w1"
            )
        )


def _run(
    test: Callable[[Node, Node], Awaitable[None]],
    two: dict[str, Any] | None = None,
    **settings: Any,
) -> None:
    second = {**settings, **(two or {})}

    async def main() -> None:
        one, two = Node(**settings), Node(**second)
        await one.peers.start()
        await two.peers.start()
        try:
            await test(one, two)
        finally:
            await one.peers.close()
            await two.peers.close()

    asyncio.run(main())


def test_gossip_notes_and_runs_reach_the_peer_over_one_connection() -> None:
    """Guards against responses matched to the wrong request, and a connection per message."""

    async def test(one: Node, two: Node) -> None:
        one.peers.send_gossip(effects.SendGossip(two.address, GossipMessage(SENDER, 3)))
        assert (await two.event(events.GossipReceived)).message.note_number == 3
        one.forward(two.address, LONG_MS)
        run = await two.event(events.RunForwarded)
        assert (run.body, run.service, run.wire_id) == ({"job": 1}, "s", "w1")
        one.peers.fetch_note(effects.FetchNote("e2", two.address))
        assert (await one.event(events.NoteSeen)).document == {"number": 1}
        two.peers.server.answer_forward(effects.AnswerForward(run.forward_id, "done", {"ok": 1}))
        two.peers.server.answer_forward(effects.AnswerForward(run.forward_id, "unknown", {}))
        answer = await one.event(events.ForwardAnswered)
        assert (answer.call_id, answer.outcome, answer.answer) == (7, "done", {"ok": 1})
        assert len(two.peers.server._connections) == 1

    _run(test)


def test_other_incarnation_is_not_the_owner() -> None:
    """Guards against a restarted owner that repeats a run of its previous incarnation."""

    async def test(one: Node, two: Node) -> None:
        one.forward(two.address, LONG_MS, incarnation="a0")
        assert (await one.event(events.ForwardFailed)).reason == "not_owner"
        assert two.events_queue.empty()

    _run(test)


def test_unreachable_peer_is_reported() -> None:
    """Guards against a message that is lost without an event."""

    async def test(one: Node, two: Node) -> None:
        await two.peers.close()
        one.forward(two.address, LONG_MS)
        assert (await one.event(events.ForwardFailed)).reason == "unreachable"
        one.peers.send_gossip(effects.SendGossip(two.address, GossipMessage(SENDER)))
        assert (await one.event(events.PeerFailed)).address == two.address
        one.peers.fetch_note(effects.FetchNote("e2", two.address))
        assert (await one.event(events.PeerFailed)).reason == "unreachable"

    _run(test)


def test_unresponsive_connection_is_retired_and_replaced() -> None:
    """Guards against a half-open connection on which every later message times out."""

    async def test(one: Node, two: Node) -> None:
        accepted: asyncio.Queue[None] = asyncio.Queue()

        async def accept_silently(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            accepted.put_nowait(None)
            await reader.read()
            writer.close()

        server = await asyncio.start_server(accept_silently, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        one.forward(address, 50.0)
        assert (await one.event(events.ForwardFailed)).reason == "timed_out"
        await accepted.get()
        one.forward(address, LONG_MS)
        await accepted.get()
        server.close()

    _run(test)


@pytest.mark.parametrize("limits", [(1, 9), (9, 1)], ids=["sender", "receiver"])
def test_outstanding_requests_are_limited_on_both_sides(limits: tuple[int, int]) -> None:
    """Guards against memory use that grows with requests that a peer does not answer."""

    async def test(one: Node, two: Node) -> None:
        one.forward(two.address, LONG_MS)
        await two.event(events.RunForwarded)
        one.forward(two.address, LONG_MS)
        assert (await one.event(events.ForwardFailed)).reason == "too_many_requests"
        assert two.events_queue.empty()

    _run(test, two={"max_peer_requests": limits[1]}, max_peer_requests=limits[0])


def test_connections_are_limited_on_both_sides() -> None:
    """Guards against a number of sockets that grows with the number of peers and clients."""

    async def test(one: Node, two: Node) -> None:
        one.forward(two.address, LONG_MS)
        await two.event(events.RunForwarded)
        one.forward(one.address, LONG_MS)
        assert (await one.event(events.ForwardFailed)).reason == "too_many_connections"
        _, writer = await asyncio.open_connection(*two.address.split(":"))
        writer.write(frames.encode_frame(frames.Frame(1, frames.NoteRequest()), 1_000))
        while not two.peers.server.counters["peers.too_many_connections"]:
            await asyncio.sleep(0.001)
        writer.close()

    _run(test, max_peer_connections=1)


@pytest.mark.parametrize(
    ("data", "reason", "settings"),
    [
        (b"\x00\x00\x00\x02xx", "malformed", {}),
        (b"\x7f\xff\xff\xff", "malformed", {}),
        (frames.encode_frame(frames.Frame(1, frames.NoteAnswer(None)), 99), "malformed", {}),
        (b"\x00\x00\x00\x09x", "slow_or_idle", {"read_timeout_ms": 20}),
        (b"", "slow_or_idle", {"peer_idle_ms": 20}),
    ],
)
def test_malformed_or_slow_sender_is_disconnected_alone(
    data: bytes, reason: str, settings: dict[str, Any]
) -> None:
    """Guards against a faulty peer that stops the listener or holds a connection forever."""

    async def test(one: Node, two: Node) -> None:
        reader, writer = await asyncio.open_connection(*two.address.split(":"))
        writer.write(data)
        with suppress(ConnectionError):
            assert await reader.read() == b""
        writer.close()
        while not two.peers.server.counters[f"peers.connections_ended.{reason}"]:
            await asyncio.sleep(0.001)
        one.peers.fetch_note(effects.FetchNote("e2", two.address))
        await one.event(events.NoteSeen)

    _run(test, **settings)


def test_peer_that_does_not_read_is_disconnected() -> None:
    """Guards against memory use that grows with gossip to a peer that does not read."""

    async def test(one: Node, two: Node) -> None:
        stopped = asyncio.Event()

        async def accept_without_reading(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writer.transport.pause_reading()  # type: ignore[attr-defined]
            await stopped.wait()
            writer.close()

        server = await asyncio.start_server(accept_without_reading, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        members = (SENDER,) * 500
        while one.events_queue.empty():
            one.peers.send_gossip(
                effects.SendGossip(address, GossipMessage(SENDER, members=members))
            )
            await asyncio.sleep(0)
            writer = one.peers._connections_by_address[address]._writer
            unsent = writer.transport.get_write_buffer_size() if writer else 0
            assert unsent < 2 * MAX_UNSENT_BYTES
        assert (await one.event(events.PeerFailed)).reason == "slow"
        stopped.set()
        server.close()

    _run(test)
