"""Thrift encoding and validated decoding of exchanges between instances."""

from __future__ import annotations

import math
import zlib
from dataclasses import dataclass
from functools import lru_cache
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
from turmerictiller.util.wire_checks import (
    MAX_LIST_LENGTH,
    check_finite,
    check_integer,
    check_ip_address,
    check_text,
)
from turmerictiller.wire.instances import constants, ttypes

if TYPE_CHECKING:
    from collections.abc import Sequence

MAX_ID_CHARS = 200
MAX_DOCUMENTS = 4_096
# Compressing a smaller document saves less than one packet or two.
MIN_DEFLATED_BYTES = 4_096
# All compressed documents of an exchange: four times the largest value that the platform stores.
MAX_INFLATED_BYTES = 4_194_304
# Ages and counts are 32-bit integers on the wire; larger values are clamped.
MAX_INT32 = 2**31 - 1
# Limit the effect of one instance's reports on others to a server that is slow for a few seconds.
MAX_SLOW_WEIGHT = 32.0
MAX_SLOWNESS = 100.0


@dataclass(frozen=True, slots=True)
class Document:
    """A published document at a revision; without a value it was removed."""

    key: str
    revision: int
    value: bytes | None


@dataclass(frozen=True, slots=True)
class Documents:
    """Documents of the registry.

    :param since_revision: the documents are all changes after this revision and up to the sender's;
        ``None`` if they are not a complete set of changes.
    """

    items: Sequence[Document] = ()
    since_revision: int | None = None


NO_DOCUMENTS = Documents()


def encode_exchange(
    gossip: GossipMessage, documents: Documents = NO_DOCUMENTS, deflate: bool = False
) -> bytes:
    """Encode the request or reply of an exchange.

    :param deflate: compress large documents; only for receivers that accept it.
    """
    message = ttypes.Exchange(
        protocol=constants.PROTOCOL_VERSION,
        sender=_encode_instance(gossip.sender),
        leaving=gossip.leaving,
        instances=[_encode_instance(entry) for entry in gossip.entries],
        configuration_version=gossip.version,
        wants_documents=gossip.wants_documents,
        documents=[_encode_document(item, deflate) for item in documents.items],
        slow_servers=[
            ttypes.SlowServer(server_id=item.server_id, weight=item.weight, slowness=item.slowness)
            for item in gossip.slow_servers
        ],
        live_instances=gossip.live_instances,
        contested_servers=[
            ttypes.ContestedServer(server_id=item.server_id, age_ms=_clamp_to_int32(item.age_ms))
            for item in gossip.contested_servers
        ],
        crash_reports=[
            ttypes.CrashReport(
                fingerprint=item.fingerprint,
                origin=item.origin,
                crashes=min(item.crashes, MAX_INT32),
                age_ms=_clamp_to_int32(item.age_ms),
            )
            for item in gossip.crash_reports
        ],
        revision=gossip.revision,
        read_age_ms=_clamp_to_int32(gossip.read_age_ms),
        follows=gossip.follows,
        changes_since=documents.since_revision,
        declines_large_documents=gossip.declines_large_documents,
        accepts_deflated=gossip.accepts_deflated,
    )
    buffer = TMemoryBuffer()
    message.write(TBinaryProtocolAccelerated(buffer))
    return bytes(buffer.getvalue())


def decode_exchange(data: bytes) -> tuple[GossipMessage, Documents]:
    """Decode and validate the request or reply of an exchange.

    :raises FrameError: if it is malformed or has another protocol version.
    """
    message = ttypes.Exchange()
    try:
        message.read(TBinaryProtocolAccelerated(TMemoryBuffer(data)))
    except (TException, EOFError, ValueError, TypeError, MemoryError, OverflowError) as error:
        raise FrameError(f"malformed exchange: {error!r}"[:200]) from None
    if message.protocol != constants.PROTOCOL_VERSION:
        raise FrameError(f"unsupported protocol version {message.protocol!r}")
    entries = [_decode_instance(item) for item in _bounded_list(message.instances, MAX_LIST_LENGTH)]
    gossip = GossipMessage(
        _decode_instance(message.sender),
        bool(message.leaving),
        tuple(entries),
        check_integer(message.configuration_version, "configuration_version"),
        bool(message.wants_documents),
        tuple(
            _decode_slow_server(item)
            for item in _bounded_list(message.slow_servers or [], MAX_LIST_LENGTH)
        ),
        min(MAX_PEERS, check_integer(message.live_instances or 0, "live_instances")),
        tuple(
            _decode_contested_server(item)
            for item in _bounded_list(message.contested_servers or [], MAX_LIST_LENGTH)
        ),
        tuple(
            _decode_crash_report(item)
            for item in _bounded_list(message.crash_reports or [], MAX_LIST_LENGTH)
        ),
        check_integer(message.revision or 0, "revision"),
        _decode_age(message.read_age_ms),
        bool(message.follows),
        bool(message.declines_large_documents),
        bool(message.accepts_deflated),
    )
    documents = _decode_documents(_bounded_list(message.documents, MAX_DOCUMENTS))
    since_revision = message.changes_since
    return gossip, Documents(
        documents,
        None if since_revision is None else check_integer(since_revision, "changes_since"),
    )


def _encode_instance(entry: PeerEntry) -> Any:
    return ttypes.Instance(
        id=entry.id,
        address=entry.address,
        incarnation=entry.incarnation,
        age_ms=_clamp_to_int32(entry.age_ms),
        failure_domain=entry.domain,
    )


def _clamp_to_int32(value: float) -> int:
    return int(min(value, MAX_INT32))


def _decode_age(value: Any) -> float:
    """Decode an age; a missing or clamped value means that it is unknown."""
    if value is None or value == MAX_INT32:
        return math.inf
    return float(check_integer(value, "age"))


def _decode_instance(item: Any) -> PeerEntry:
    if item is None:
        raise FrameError("missing instance")
    return PeerEntry(
        check_text(item.id, "id", MAX_ID_CHARS),
        check_ip_address(item.address, "address"),
        check_integer(item.incarnation, "incarnation"),
        float(check_integer(item.age_ms, "age_ms")),
        check_text(item.failure_domain or "", "failure_domain", MAX_ID_CHARS),
    )


def _decode_slow_server(item: Any) -> SlowServer:
    return SlowServer(
        check_text(item.server_id, "server_id", MAX_ID_CHARS),
        min(MAX_SLOW_WEIGHT, check_finite(item.weight, "weight")),
        min(MAX_SLOWNESS, check_finite(item.slowness, "slowness")),
    )


def _decode_contested_server(item: Any) -> ContestedServer:
    return ContestedServer(
        check_text(item.server_id, "server_id", MAX_ID_CHARS),
        float(check_integer(item.age_ms, "age_ms")),
    )


def _decode_crash_report(item: Any) -> CrashReport:
    return CrashReport(
        check_integer(item.fingerprint, "fingerprint"),
        check_integer(item.origin, "origin"),
        check_integer(item.crashes, "crashes"),
        float(check_integer(item.age_ms, "age_ms")),
    )


def _encode_document(item: Document, deflate: bool) -> Any:
    document = ttypes.Document(key=item.key, revision=item.revision)
    if deflate and item.value is not None and len(item.value) >= MIN_DEFLATED_BYTES:
        document.deflated_value = _deflate(item.value)
    else:
        document.value = item.value
    return document


# Each instance that is behind gets the same configuration.
@lru_cache(maxsize=1)
def _deflate(value: bytes) -> bytes:
    return zlib.compress(value, zlib.Z_BEST_SPEED)


def _decode_documents(items: list[Any]) -> list[Document]:
    documents = []
    remaining_bytes = MAX_INFLATED_BYTES
    for item in items:
        value = item.value
        if item.deflated_value is not None:
            value = _inflate(item.deflated_value, remaining_bytes)
            remaining_bytes -= len(value)
        if value is not None and not isinstance(value, bytes):
            raise FrameError("document value is not binary")
        key = check_text(item.key, "key", MAX_ID_CHARS)
        documents.append(Document(key, check_integer(item.revision, "revision"), value))
    return documents


def _inflate(data: Any, max_bytes: int) -> bytes:
    if not isinstance(data, bytes):
        raise FrameError("document value is not binary")
    inflater = zlib.decompressobj()
    try:
        value = inflater.decompress(data, max_bytes + 1)
    except zlib.error as error:
        raise FrameError(f"document value cannot be inflated: {error}") from None
    if len(value) > max_bytes:
        raise FrameError("documents are too large")
    if not inflater.eof:
        raise FrameError("document value is truncated")
    return value


def _bounded_list(value: Any, max_length: int) -> list[Any]:
    if not isinstance(value, list) or len(value) > max_length:
        raise FrameError(f"expected a list of at most {max_length} items")
    return value
