"""Exchanges with other instances: thrift messages as bodies of HTTP requests."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

from turmerictiller.errors import FrameError
from turmerictiller.forwarding.events import GossipReceived
from turmerictiller.forwarding.model import CallerLimits
from turmerictiller.forwarding.peers import build_gossip
from turmerictiller.transport.http_client import ConnectionPool, Exchange
from turmerictiller.transport.http_server import HttpListener
from turmerictiller.transport.messages import write_response
from turmerictiller.transport.peer_messages import (
    NO_DOCUMENTS,
    Documents,
    read_exchange,
    write_exchange,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from turmerictiller.clock import Millis
    from turmerictiller.forwarding.effects import SendGossip
    from turmerictiller.forwarding.peer_model import GossipMessage
    from turmerictiller.transport.http_server import ServerConnection
    from turmerictiller.transport.messages import RawRequest, RawResponse
    from turmerictiller.transport.peer_messages import Document
    from turmerictiller.transport.shell import ForwardingShell

TARGET = b"/exchange"
ANSWER_TIMEOUT_MS = 800.0  # less than the time between two exchanges
MAX_CONNECTIONS = 256
# All documents of a deployment: a configuration of up to a megabyte and a few thousand entries.
MAX_BODY_BYTES = 4_194_304


class DocumentLibrary(Protocol):
    """Published documents, as an adapter keeps them."""

    def documents(self) -> Sequence[Document]:
        """Return all documents."""

    def changes_since(self, revision: int) -> Sequence[Document] | None:
        """Return what has changed after a revision; ``None`` if that is not known in full."""

    def on_peer_documents(self, documents: Sequence[Document]) -> None:
        """Take over documents of another instance."""

    def on_peer_changes(
        self, documents: Sequence[Document], revision: int, read_at: Millis
    ) -> None:
        """Take over all changes up to a revision, which was the newest at a time."""


@dataclass
class PeerLink:
    """The listener for other instances and the questions to them.

    :param library: what was published, for instances that do not read it themselves.
    """

    shell: ForwardingShell
    library: DocumentLibrary
    pool: ConnectionPool = field(init=False)
    listener: HttpListener = field(init=False)

    def __post_init__(self) -> None:
        self.pool = ConnectionPool(self.shell.clock)
        self.listener = HttpListener(
            self.shell.clock,
            CallerLimits(max_body_bytes=MAX_BODY_BYTES),
            self.shell.listener.errors,
            self._on_request,
            lambda connection: None,
            MAX_CONNECTIONS,
        )

    def ask(self, effect: SendGossip) -> None:
        """Ask another instance; a failure only shows by its silence."""
        body = write_exchange(effect.gossip, self._owed(effect.gossip))
        head = f"POST {TARGET.decode()} HTTP/1.1\r\nHost: {effect.address}\r\n"
        data = f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body
        asked_at = self.shell.now_ms()
        exchange = Exchange(
            data,
            lambda response, must_name: True,
            lambda response: self._on_answer(response, asked_at),
            self._on_failure,
        )
        self.pool.send(effect.address, exchange)
        loop = asyncio.get_running_loop()
        loop.call_later(ANSWER_TIMEOUT_MS / 1000, self._end, exchange)

    def close(self) -> None:
        """Close all connections to and from other instances."""
        self.listener.close()
        self.pool.close()

    def _end(self, exchange: Exchange) -> None:
        if not exchange.ended:
            self.shell.counters["exchanges.timed_out"] += 1
            self.pool.abort(exchange)

    def _on_failure(self, failure: object, may_have_run: bool) -> None:
        self.shell.counters["exchanges.failed"] += 1

    def _on_answer(self, response: RawResponse, asked_at: Millis) -> None:
        if response.status == 200:
            self._take(response.body, asked_at)

    def _on_request(self, connection: ServerConnection, raw: RawRequest) -> None:
        # What is told of slow servers is shared in halves, so the answer is from before the question.
        answer = build_gossip(self.shell.state)
        gossip = self._take(raw.body) if raw.target == TARGET else None
        if gossip is None:
            connection.answer(write_response(400, b"Bad Request", [], b"", True), True)
            return
        body = write_exchange(answer, self._owed(gossip))
        connection.answer(write_response(200, b"OK", [], body, False), False)

    def _take(self, body: bytes, asked_at: Millis | None = None) -> GossipMessage | None:
        try:
            gossip, documents = read_exchange(body)
        except FrameError as error:
            self.shell.counters["exchanges.malformed"] += 1
            self.shell.log.write("exchange_malformed", {"error": str(error)[:200]})
            return None
        self.shell.dispatch(GossipReceived(self.shell.now_ms(), gossip))
        if asked_at is not None and documents.since is not None:
            # The answer was written after the question, so what it tells is no older than this.
            read_at = asked_at - gossip.read_age_ms
            self.library.on_peer_changes(documents.items, gossip.revision, read_at)
        elif documents.items:
            self.library.on_peer_documents(documents.items)
        return gossip

    def _owed(self, gossip: GossipMessage) -> Documents:
        """Return the documents that another instance lacks; none if ``gossip`` is this one's."""
        state = self.shell.state
        if gossip.sender.id == state.settings.instance_id or state.configuration is None:
            return NO_DOCUMENTS
        if gossip.follows and gossip.revision <= state.registry_revision:
            changes = self.library.changes_since(gossip.revision)
            if changes is not None:
                return Documents(changes, gossip.revision)
        is_older = gossip.version < state.configuration.version
        if is_older or gossip.wants_documents:
            return Documents(self.library.documents())
        return NO_DOCUMENTS
