"""Thrift encoding of what instances tell each other, with checks of what is read."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.Thrift import TException
from thrift.transport.TTransport import TMemoryBuffer

from turmerictiller.errors import FrameError
from turmerictiller.forwarding.peer_model import (
    ContestedServer,
    CrashReport,
    GossipMessage,
    PeerEntry,
    SlowServer,
)
from turmerictiller.forwarding.peers import MAX_PEERS
from turmerictiller.util.wire_checks import MAX_LIST_LENGTH, finite, integer, ip_address, text
from turmerictiller.wire.instances import constants, ttypes

if TYPE_CHECKING:
    from collections.abc import Sequence

MAX_ID_CHARS = 200
MAX_DOCUMENTS = 4_096
# Ages and counts are at most this; larger ones are cut, because the wire holds 32 bits.
MAX_SMALL = 2**31 - 1
# Bounds of what one instance can make others believe: a server that is slow for a few seconds.
MAX_SLOW_WEIGHT = 32.0
MAX_SLOWNESS = 100.0


@dataclass(frozen=True, slots=True)
class Document:
    """A document as it was published, or removed if there is no value."""

    key: str
    revision: int
    value: bytes | None


@dataclass(frozen=True, slots=True)
class Documents:
    """Documents of the registry.

    :param since: they are all changes after this revision and up to that of the sender; ``None`` if
        they are some documents as the sender knows them.
    """

    items: Sequence[Document] = ()
    since: int | None = None


NO_DOCUMENTS = Documents()


def write_exchange(gossip: GossipMessage, documents: Documents = NO_DOCUMENTS) -> bytes:
    """Return the bytes of a question or an answer."""
    message = ttypes.Exchange(
        protocol=constants.PROTOCOL_VERSION,
        sender=_instance(gossip.sender),
        leaving=gossip.leaving,
        instances=[_instance(entry) for entry in gossip.entries],
        configuration_version=gossip.version,
        wants_documents=gossip.wants_documents,
        documents=[
            ttypes.Document(key=item.key, revision=item.revision, value=item.value)
            for item in documents.items
        ],
        slow_servers=[
            ttypes.SlowServer(server_id=item.server_id, weight=item.weight, slowness=item.slowness)
            for item in gossip.slow_servers
        ],
        live_instances=gossip.live_instances,
        contested_servers=[
            ttypes.ContestedServer(server_id=item.server_id, age_ms=_small(item.age_ms))
            for item in gossip.contested_servers
        ],
        crash_reports=[
            ttypes.CrashReport(
                fingerprint=item.fingerprint,
                origin=item.origin,
                crashes=min(item.crashes, MAX_SMALL),
                age_ms=_small(item.age_ms),
            )
            for item in gossip.crash_reports
        ],
        revision=gossip.revision,
        read_age_ms=_small(gossip.read_age_ms),
        follows=gossip.follows,
        changes_since=documents.since,
    )
    buffer = TMemoryBuffer()
    message.write(TBinaryProtocolAccelerated(buffer))
    return bytes(buffer.getvalue())


def read_exchange(data: bytes) -> tuple[GossipMessage, Documents]:
    """Read a question or an answer.

    :raises FrameError: if it is malformed or of another version of the protocol.
    """
    message = ttypes.Exchange()
    try:
        message.read(TBinaryProtocolAccelerated(TMemoryBuffer(data)))
    except (TException, EOFError, ValueError, TypeError, MemoryError, OverflowError) as error:
        raise FrameError(f"not an exchange: {error!r}"[:200]) from None
    if message.protocol != constants.PROTOCOL_VERSION:
        raise FrameError(f"protocol {message.protocol!r} is not spoken here")
    entries = [_entry(item) for item in _items(message.instances, MAX_LIST_LENGTH)]
    gossip = GossipMessage(
        _entry(message.sender),
        bool(message.leaving),
        tuple(entries),
        integer(message.configuration_version, "configuration_version"),
        bool(message.wants_documents),
        tuple(_slow_server(item) for item in _items(message.slow_servers or [], MAX_LIST_LENGTH)),
        min(MAX_PEERS, integer(message.live_instances or 0, "live_instances")),
        tuple(
            _contested(item) for item in _items(message.contested_servers or [], MAX_LIST_LENGTH)
        ),
        tuple(_crash_report(item) for item in _items(message.crash_reports or [], MAX_LIST_LENGTH)),
        integer(message.revision or 0, "revision"),
        _age(message.read_age_ms),
        bool(message.follows),
    )
    documents = [_document(item) for item in _items(message.documents, MAX_DOCUMENTS)]
    since = message.changes_since
    return gossip, Documents(documents, None if since is None else integer(since, "changes_since"))


def _instance(entry: PeerEntry) -> Any:
    return ttypes.Instance(
        id=entry.id,
        address=entry.address,
        incarnation=entry.incarnation,
        age_ms=_small(entry.age_ms),
        failure_domain=entry.domain,
    )


def _small(value: float) -> int:
    return int(min(value, MAX_SMALL))


def _age(value: Any) -> float:
    """Read an age; the largest stands for one that is not known."""
    if value is None or value == MAX_SMALL:
        return math.inf
    return float(integer(value, "age"))


def _entry(item: Any) -> PeerEntry:
    if item is None:
        raise FrameError("an instance is missing")
    return PeerEntry(
        text(item.id, "id", MAX_ID_CHARS),
        ip_address(item.address, "address"),
        integer(item.incarnation, "incarnation"),
        float(integer(item.age_ms, "age_ms")),
        text(item.failure_domain or "", "failure_domain", MAX_ID_CHARS),
    )


def _slow_server(item: Any) -> SlowServer:
    return SlowServer(
        text(item.server_id, "server_id", MAX_ID_CHARS),
        min(MAX_SLOW_WEIGHT, finite(item.weight, "weight")),
        min(MAX_SLOWNESS, finite(item.slowness, "slowness")),
    )


def _contested(item: Any) -> ContestedServer:
    return ContestedServer(
        text(item.server_id, "server_id", MAX_ID_CHARS), float(integer(item.age_ms, "age_ms"))
    )


def _crash_report(item: Any) -> CrashReport:
    return CrashReport(
        integer(item.fingerprint, "fingerprint"),
        integer(item.origin, "origin"),
        integer(item.crashes, "crashes"),
        float(integer(item.age_ms, "age_ms")),
    )


def _document(item: Any) -> Document:
    value = item.value
    if value is not None and not isinstance(value, bytes):
        raise FrameError("a value is not binary")
    key = text(item.key, "key", MAX_ID_CHARS)
    return Document(key, integer(item.revision, "revision"), value)


def _items(value: Any, most: int) -> list[Any]:
    if not isinstance(value, list) or len(value) > most:
        raise FrameError(f"not a list of at most {most} items")
    return value
