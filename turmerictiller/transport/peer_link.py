"""Gossip exchanges with other instances: thrift messages in the bodies of HTTP requests."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING, Protocol

from turmerictiller.errors import FrameError
from turmerictiller.forwarding.events import GossipReceived
from turmerictiller.forwarding.model import CallerLimits
from turmerictiller.forwarding.peers import build_gossip
from turmerictiller.transport.http_client import ConnectionPool, HttpExchange
from turmerictiller.transport.http_server import HttpListener
from turmerictiller.transport.messages import encode_response
from turmerictiller.transport.peer_messages import (
    NO_DOCUMENTS,
    Documents,
    decode_exchange,
    encode_exchange,
)
from turmerictiller.transport.stalls import call_on_stall

if TYPE_CHECKING:
    from collections.abc import Sequence

    from turmerictiller.clock import Millis
    from turmerictiller.forwarding.effects import SendGossip
    from turmerictiller.forwarding.peer_model import GossipMessage
    from turmerictiller.transport.http_server import ServerConnection
    from turmerictiller.transport.messages import RawRequest, RawResponse
    from turmerictiller.transport.peer_messages import Document
    from turmerictiller.transport.shell import ForwardingShell

EXCHANGE_TARGET = b"/exchange"
EXCHANGE_TIMEOUT_MS = 800.0  # until the reply begins; less than the interval between exchanges
MAX_CONNECTIONS = 256
# Fits all documents of a deployment: a configuration of up to 1 MB and a few thousand entries.
MAX_BODY_BYTES = 4_194_304
# Entries of servers are smaller; they are accepted also while a large document arrives.
LARGE_DOCUMENT_BYTES = 4_096


class DocumentCache(Protocol):
    """An adapter's copy of the published documents."""

    def documents(self) -> Sequence[Document]:
        """Return all documents."""

    def changes_since(self, revision: int) -> Sequence[Document] | None:
        """Return the changes after a revision; ``None`` if some of them are no longer stored."""

    def merge_peer_documents(self, documents: Sequence[Document]) -> None:
        """Merge documents that another instance sent."""

    def merge_peer_changes(
        self, documents: Sequence[Document], revision: int, read_at: Millis
    ) -> None:
        """Merge all changes up to a revision, which was the newest one at ``read_at``."""


@dataclass
class PeerLink:
    """Server and client of the exchanges with other instances.

    Large documents are requested in one exchange at a time. Several instances that send the same
    ones would share the link of the receiver, and take several times as long.

    :param document_cache: documents to serve to instances that do not read the registry themselves.
    """

    shell: ForwardingShell
    document_cache: DocumentCache
    pool: ConnectionPool = field(init=False)
    listener: HttpListener = field(init=False)
    _document_exchange: HttpExchange | None = None

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

    def send_exchange(self, effect: SendGossip) -> None:
        """Start an exchange with another instance; failures are only counted."""
        is_receiving = self._document_exchange is not None and not self._document_exchange.ended
        body = encode_exchange(replace(effect.message, declines_large_documents=is_receiving))
        head = f"POST {EXCHANGE_TARGET.decode()} HTTP/1.1\r\nHost: {effect.address}\r\n"
        data = f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body
        sent_at = self.shell.now_ms()
        exchange = HttpExchange(
            data,
            lambda response, require_request_id: True,
            lambda response: self._on_answer(response, sent_at),
            self._on_failure,
        )
        if not is_receiving:
            self._document_exchange = exchange
        self.pool.send(effect.address, exchange)
        call_on_stall(exchange, EXCHANGE_TIMEOUT_MS, lambda: self._on_stall(exchange))

    def close(self) -> None:
        """Close all connections with other instances."""
        self.listener.close()
        self.pool.close()

    def _on_stall(self, exchange: HttpExchange) -> None:
        self.shell.counters["exchanges.timed_out"] += 1
        fields = {"received_bytes": exchange.received_bytes}
        self.shell.log.write("exchange_interrupted", fields)
        self.pool.cancel(exchange)

    def _on_failure(self, failure: object, may_have_run: bool) -> None:
        self.shell.counters["exchanges.failed"] += 1

    def _on_answer(self, response: RawResponse, sent_at: Millis) -> None:
        if response.status == 200:
            self._receive(response.body, sent_at)

    def _on_request(self, connection: ServerConnection, raw: RawRequest) -> None:
        # An exchange splits the weights of slow servers between both sides, so the reply is built
        # before the request is merged.
        answer = build_gossip(self.shell.state)
        message = self._receive(raw.body) if raw.target == EXCHANGE_TARGET else None
        if message is None:
            connection.answer(encode_response(400, b"Bad Request", [], b"", True), True)
            return
        documents = self._missing_documents(message)
        body = encode_exchange(answer, documents, deflate=message.accepts_deflated)
        self.shell.counters["exchanges.reply_bytes"] += len(body)
        connection.answer(encode_response(200, b"OK", [], body, False), False)

    def _receive(self, body: bytes, sent_at: Millis | None = None) -> GossipMessage | None:
        try:
            message, documents = decode_exchange(body)
        except FrameError as error:
            self.shell.counters["exchanges.malformed"] += 1
            self.shell.log.write("exchange_malformed", {"error": str(error)[:200]})
            return None
        self.shell.dispatch(GossipReceived(self.shell.now_ms(), message))
        if sent_at is not None and documents.since_revision is not None:
            # The reply was built after the request was sent, so the registry was read no earlier.
            read_at = sent_at - message.read_age_ms
            self.document_cache.merge_peer_changes(documents.items, message.revision, read_at)
        elif documents.items:
            self.document_cache.merge_peer_documents(documents.items)
        return message

    def _missing_documents(self, message: GossipMessage) -> Documents:
        """Return the documents that the sender of a request lacks and accepts."""
        documents = self._newer_documents(message)
        if not message.declines_large_documents:
            return documents
        if documents.since_revision is None:
            return NO_DOCUMENTS
        small = [item for item in documents.items if len(item.value or b"") < LARGE_DOCUMENT_BYTES]
        return documents if len(small) == len(documents.items) else Documents(small)

    def _newer_documents(self, message: GossipMessage) -> Documents:
        state = self.shell.state
        if state.configuration is None:
            return NO_DOCUMENTS
        if message.follows and message.revision <= state.registry_revision:
            changes = self.document_cache.changes_since(message.revision)
            if changes is not None:
                return Documents(changes, message.revision)
        is_older = message.version < state.configuration.version
        if is_older or message.wants_documents:
            return Documents(self.document_cache.documents())
        return NO_DOCUMENTS
