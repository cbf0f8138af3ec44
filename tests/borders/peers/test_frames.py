"""Tests of the frames between instances."""

from __future__ import annotations

import asyncio
import struct
from dataclasses import replace
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from turmerictiller.borders.peers import frames
from turmerictiller.core.peers.gossip_model import (
    DrainingServer,
    GossipMessage,
    Member,
    PeerStatus,
    QuarantineEntry,
)
from turmerictiller.errors import FrameError

LIMIT = 1_000_000
SENDER = Member("e1", "a" * 32, 7, "127.0.0.1:8081", "plateau", PeerStatus.READY)
MESSAGES: list[frames.Message] = [
    GossipMessage(
        SENDER,
        3,
        "d" * 64,
        (DrainingServer("s1", "i1"),),
        (QuarantineEntry("f" * 24, 1.5, ("s1", "s2"), 30_000.0),),
        (SENDER,),
        ask=1,
    ),
    frames.NoteRequest(),
    frames.NoteAnswer({"number": 1}),
    frames.NoteAnswer(None),
    frames.RunRequest("a1", "booking", "t" * 200, "pickup", {"job": 7}, 250.0, "jobs-1", "a1-7"),
    frames.RunOutcome("done", {"ok": True}, "", 200),
    frames.RunOutcome(failure="not_owner"),
]
NESTED = b"\x0c\x00\x63" * 20_000
HUGE_LIST = b"\x0c\x00\x03\x0f\x00\x06\x0c\x00\x10\x00\x00"


def _payload(message: frames.Message) -> bytes:
    return frames.encode_frame(frames.Frame(9, message), LIMIT)[4:]


def _read(data: bytes, max_bytes: int = LIMIT, timeout_s: float = 60) -> frames.Frame:
    async def read() -> frames.Frame:
        reader = asyncio.StreamReader()
        reader.feed_data(data)
        if timeout_s:
            reader.feed_eof()
        return await frames.read_frame(reader, max_bytes, timeout_s)

    return asyncio.run(read())


def test_every_message_round_trips() -> None:
    """Guards against a field that is lost or changed in encoding."""
    for message in MESSAGES:
        assert frames.decode_payload(_payload(message)) == frames.Frame(9, message)


@given(st.binary(max_size=400))
def test_random_bytes_raise_only_frame_errors(data: bytes) -> None:
    """Guards against an exception that stops the reading task or the process."""
    with pytest.raises(FrameError):
        frames.decode_payload(data)


@given(st.sampled_from(MESSAGES), st.data())
def test_mutated_frames_raise_only_frame_errors(
    message: frames.Message, data: st.DataObject
) -> None:
    """Guards against a corrupt frame that bypasses the validation of its values."""
    payload = bytearray(_payload(message))
    for _ in range(data.draw(st.integers(1, 4))):
        offset = data.draw(st.integers(0, len(payload) - 1))
        payload[offset] = data.draw(st.integers(0, 255))
    length = data.draw(st.integers(0, len(payload)))
    for candidate in (bytes(payload), bytes(payload[:length])):
        try:
            decoded = frames.decode_payload(candidate)
        except FrameError:
            continue
        assert frames.decode_payload(_payload(decoded.message)).message == decoded.message


@pytest.mark.parametrize(
    ("prefix", "error"),
    [(NESTED, "TProtocolException"), (HUGE_LIST, "OverflowError")],
    ids=["nesting", "list length"],
)
def test_malicious_field_is_refused(prefix: bytes, error: str) -> None:
    """Guards against stack overflow, and memory allocated for the declared length of a list."""
    with pytest.raises(FrameError, match=error):
        frames.decode_payload(prefix + _payload(frames.NoteRequest()))


def test_other_protocol_version_is_refused() -> None:
    """Guards against a frame that is decoded by the rules of another protocol version."""
    payload = bytearray(_payload(frames.NoteRequest()))
    payload[4] += 1
    with pytest.raises(FrameError, match="version 2"):
        frames.decode_payload(bytes(payload))


def test_oversized_frame_is_refused_by_its_declared_length() -> None:
    """Guards against memory allocated for the declared length of a frame."""
    with pytest.raises(FrameError, match="over the limit"):
        _read(struct.pack(">I", LIMIT + 1))
    with pytest.raises(FrameError, match="over the limit"):
        frames.encode_frame(frames.Frame(1, MESSAGES[0]), 100)


def test_truncated_and_stalled_frames_are_distinguished_from_a_close() -> None:
    """Guards against a truncated frame that looks like a normal close, and a reader that hangs."""
    data = frames.encode_frame(frames.Frame(1, frames.NoteRequest()), LIMIT)
    assert _read(data).request_id == 1
    with pytest.raises(EOFError):
        _read(b"")
    for length in range(1, len(data)):
        with pytest.raises(FrameError, match="ended within"):
            _read(data[:length])
    with pytest.raises(TimeoutError):
        _read(data[:6], timeout_s=0)


@pytest.mark.parametrize(
    "changes",
    [
        {"note_number": -1},
        {"note_digest": "d" * 65},
        {"quarantine": (QuarantineEntry("f", float("nan"), (), 1.0),)},
        {"quarantine": (QuarantineEntry("f", 1.0, (), float("inf")),)},
        {"members": (replace(SENDER, address="localhost:80"),)},
        {"members": (replace(SENDER, address="127.0.0.1:0"),)},
        {"members": (SENDER,) * 513},
    ],
)
def test_gossip_with_values_out_of_bounds_is_refused(changes: dict[str, Any]) -> None:
    """Guards against values that break arithmetic, exhaust memory or reach the DNS resolver."""
    with pytest.raises(FrameError):
        frames.decode_payload(_payload(replace(GossipMessage(SENDER), **changes)))
