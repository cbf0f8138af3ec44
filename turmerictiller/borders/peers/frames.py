"""Frames between entry instances: a 4-byte length prefix and a thrift struct (binary protocol)."""

from __future__ import annotations

import asyncio
import math
import struct
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import orjson
from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.Thrift import TException
from thrift.transport.TTransport import TMemoryBuffer

from turmerictiller.borders.peers.gossip_frames import gossip_from_wire, gossip_to_wire
from turmerictiller.core.peers.gossip_model import GossipMessage
from turmerictiller.errors import FrameError
from turmerictiller.util.wire_checks import (
    MAX_LIST_LENGTH,
    check_integer,
    check_optional_integer,
    check_text,
)
from turmerictiller.wire.peers import constants, ttypes

if TYPE_CHECKING:
    from collections.abc import Callable

LENGTH = struct.Struct(">I")
MAX_TICKET_CHARS = 1_024
MAX_REASON_CHARS = 1_024
MAX_WIRE_ID_CHARS = 128
MAX_BUDGET_MS = 3_600_000.0
OUTCOMES = frozenset({"done", "not_run", "unknown", "refused"})


@dataclass(frozen=True, slots=True)
class NoteRequest:
    """Request for the note in force."""


@dataclass(frozen=True, slots=True)
class NoteAnswer:
    """The note in force, or ``None`` if there is none."""

    document: Any


@dataclass(frozen=True, slots=True)
class RunRequest:
    """Run request forwarded to the owner of its ticket.

    :param incarnation: incarnation that issued the ticket.
    """

    incarnation: str
    front: str
    ticket: str
    action: str
    body: dict[str, Any]
    budget_ms: float
    service: str | None = None
    wire_id: str = ""


@dataclass(frozen=True, slots=True)
class RunOutcome:
    """Outcome of a forwarded run request.

    :param failure: reason for which the owner did not process the ticket; ``None`` if it did.
    """

    outcome: str = ""
    answer: dict[str, Any] = field(default_factory=dict)
    reason: str = ""
    retry_after_ms: int | None = None
    failure: str | None = None


Message = GossipMessage | NoteRequest | NoteAnswer | RunRequest | RunOutcome


@dataclass(frozen=True, slots=True)
class Frame:
    """A message and the request id that matches a response to its request."""

    request_id: int
    message: Message


def encode_frame(frame: Frame, max_bytes: int) -> bytes:
    """Return the bytes of a frame, length prefix included.

    :raises FrameError: if the frame is larger than ``max_bytes`` or the message cannot be encoded.
    """
    transport = TMemoryBuffer()
    try:
        _to_wire(frame).write(TBinaryProtocolAccelerated(transport))
    except (ValueError, TypeError, OverflowError, struct.error, TException) as error:
        raise FrameError(f"the message can not be encoded: {type(error).__name__}") from None
    payload: bytes = transport.getvalue()
    if len(payload) > max_bytes:
        raise FrameError(f"a frame of {len(payload)} bytes is over the limit of {max_bytes}")
    return LENGTH.pack(len(payload)) + payload


def decode_payload(payload: bytes) -> Frame:
    """Return the frame decoded from the bytes after the length prefix.

    :raises FrameError: if the bytes are malformed, truncated or of another protocol version.
    """
    transport = TMemoryBuffer(payload)
    protocol = TBinaryProtocolAccelerated(
        transport,
        string_length_limit=max(1, len(payload)),
        container_length_limit=MAX_LIST_LENGTH,
    )
    wire = ttypes.Frame()
    try:
        wire.read(protocol)
    except (EOFError, ValueError, TypeError, OverflowError, struct.error, TException) as error:
        raise FrameError(f"malformed frame: {type(error).__name__}") from None
    if wire.version != constants.PROTOCOL_VERSION:
        raise FrameError(f"protocol version {wire.version} is not {constants.PROTOCOL_VERSION}")
    if transport.read(1):
        raise FrameError("trailing bytes after the frame")
    return Frame(check_integer(wire.request_id, "request_id"), _message_from_wire(wire))


async def read_frame(reader: asyncio.StreamReader, max_bytes: int, timeout_s: float) -> Frame:
    """Read one frame; wait for its first byte without a timeout.

    :param timeout_s: time from the first byte to the last.
    :raises FrameError: if the frame is malformed, oversized or truncated.
    :raises EOFError: if the connection was closed between frames.
    :raises TimeoutError: if the rest of the frame does not arrive in time.
    """
    first = await reader.read(1)
    if not first:
        raise EOFError
    try:
        async with asyncio.timeout(timeout_s):
            prefix = first + await reader.readexactly(LENGTH.size - 1)
            (length,) = LENGTH.unpack(prefix)
            if length > max_bytes:
                raise FrameError(f"a frame of {length} bytes is over the limit of {max_bytes}")
            payload = await reader.readexactly(length)
    except asyncio.IncompleteReadError:
        raise FrameError("the connection ended within a frame") from None
    return decode_payload(payload)


def _to_wire(frame: Frame) -> Any:
    wire = ttypes.Frame(version=constants.PROTOCOL_VERSION, request_id=frame.request_id)
    match frame.message:
        case GossipMessage() as message:
            wire.gossip = gossip_to_wire(message)
        case NoteRequest():
            wire.note_request = ttypes.NoteRequest()
        case NoteAnswer(document):
            data = b"" if document is None else orjson.dumps(document)
            wire.note_answer = ttypes.NoteAnswer(document=data)
        case RunRequest() as message:
            wire.run_request = ttypes.RunRequest(
                incarnation=message.incarnation,
                front=message.front,
                ticket=message.ticket,
                action=message.action,
                body=orjson.dumps(message.body),
                budget_ms=message.budget_ms,
                service_name=message.service,
                wire_id=message.wire_id,
            )
        case RunOutcome() as message:
            wire.run_outcome = ttypes.RunOutcome(
                outcome=message.outcome,
                answer=orjson.dumps(message.answer),
                reason=message.reason[:MAX_REASON_CHARS],
                retry_after_ms=message.retry_after_ms,
                failure=message.failure,
            )
    return wire


def _message_from_wire(wire: Any) -> Message:
    decoders: dict[str, Callable[[Any], Message]] = {
        "gossip": gossip_from_wire,
        "note_request": lambda _: NoteRequest(),
        "note_answer": _decode_note_answer,
        "run_request": _decode_run_request,
        "run_outcome": _decode_run_outcome,
    }
    present = [name for name in decoders if getattr(wire, name) is not None]
    if len(present) != 1:
        raise FrameError(f"a frame must contain exactly one message, not {len(present)}")
    return decoders[present[0]](getattr(wire, present[0]))


def _decode_note_answer(wire: Any) -> NoteAnswer:
    if wire.document == b"":
        return NoteAnswer(None)
    return NoteAnswer(_decode_json(wire.document, "document"))


def _decode_run_request(wire: Any) -> RunRequest:
    budget_ms = wire.budget_ms
    if not isinstance(budget_ms, float) or not math.isfinite(budget_ms):
        raise FrameError("budget_ms is not a number")
    return RunRequest(
        incarnation=check_text(wire.incarnation, "incarnation"),
        front=check_text(wire.front, "front"),
        ticket=check_text(wire.ticket, "ticket", MAX_TICKET_CHARS),
        action=check_text(wire.action, "action"),
        body=_decode_json_object(wire.body, "body"),
        budget_ms=min(max(budget_ms, 0.0), MAX_BUDGET_MS),
        service=(
            None if wire.service_name is None else check_text(wire.service_name, "service_name")
        ),
        wire_id=check_text(wire.wire_id, "wire_id", MAX_WIRE_ID_CHARS),
    )


def _decode_run_outcome(wire: Any) -> RunOutcome:
    failure = (
        None if wire.failure is None else check_text(wire.failure, "failure", MAX_REASON_CHARS)
    )
    outcome = check_text(wire.outcome, "outcome")
    if failure is None and outcome not in OUTCOMES:
        raise FrameError("outcome is not a known value")
    return RunOutcome(
        outcome=outcome,
        answer=_decode_json_object(wire.answer, "answer"),
        reason=check_text(wire.reason, "reason", MAX_REASON_CHARS),
        retry_after_ms=check_optional_integer(wire.retry_after_ms, "retry_after_ms"),
        failure=failure,
    )


def _decode_json(data: Any, name: str) -> Any:
    try:
        return orjson.loads(data)
    except (ValueError, TypeError):
        raise FrameError(f"{name} is not JSON") from None


def _decode_json_object(data: Any, name: str) -> dict[str, Any]:
    value = _decode_json(data, name)
    if not isinstance(value, dict):
        raise FrameError(f"{name} is not a JSON object")
    return value
