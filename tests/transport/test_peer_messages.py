"""Tests of compressed documents in exchanges between instances."""

from __future__ import annotations

import zlib
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.forwarding.driving import SETTINGS
from turmerictiller.errors import FrameError
from turmerictiller.forwarding.peers import build_gossip
from turmerictiller.forwarding.state import new_state
from turmerictiller.transport import peer_messages
from turmerictiller.transport.peer_messages import (
    MAX_INFLATED_BYTES,
    MIN_DEFLATED_BYTES,
    Document,
    Documents,
    decode_exchange,
    encode_exchange,
)

GOSSIP = build_gossip(new_state(replace(SETTINGS, peer_address="10.0.0.1:7740")))


@given(st.binary(max_size=64), st.integers(0, 3 * MIN_DEFLATED_BYTES), st.booleans())
def test_documents_are_the_same_after_compression(noise: bytes, zeros: int, deflate: bool) -> None:
    """Guards against values that differ between instances."""
    documents = Documents([Document("a", 3, noise + bytes(zeros)), Document("b", 4, None)], 2)
    assert decode_exchange(encode_exchange(GOSSIP, documents, deflate))[1] == documents


def test_values_are_compressed_only_on_request() -> None:
    """Guards against an instance of an older version that takes a value for a removal."""
    documents = Documents([Document("a", 3, bytes(100_000))])
    assert len(encode_exchange(GOSSIP, documents)) > 100_000
    assert len(encode_exchange(GOSSIP, documents, deflate=True)) < 10_000


@pytest.mark.parametrize(
    "deflated",
    [b"", b"noise", zlib.compress(b"value")[:-1], zlib.compress(bytes(MAX_INFLATED_BYTES + 1))],
)
def test_malformed_or_excessive_compressed_value_is_rejected(
    monkeypatch: pytest.MonkeyPatch, deflated: bytes
) -> None:
    """Guards against a message that stops an instance or takes all of its memory."""
    monkeypatch.setattr(peer_messages, "_deflate", lambda value: deflated)
    data = encode_exchange(
        GOSSIP, Documents([Document("a", 3, bytes(MIN_DEFLATED_BYTES))]), deflate=True
    )
    with pytest.raises(FrameError):
        decode_exchange(data)


def test_compressed_values_are_limited_together(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against many values that are within the limit one by one."""
    half = zlib.compress(bytes(MAX_INFLATED_BYTES // 2 + 1))
    monkeypatch.setattr(peer_messages, "_deflate", lambda value: half)
    items = [Document(key, 3, bytes(MIN_DEFLATED_BYTES)) for key in "ab"]
    with pytest.raises(FrameError):
        decode_exchange(encode_exchange(GOSSIP, Documents(items), deflate=True))
