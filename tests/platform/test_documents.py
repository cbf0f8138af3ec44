"""Tests of parsing the documents of the platform's store."""

from __future__ import annotations

import json

import pytest

from turmerictiller.platform.documents import (
    DocumentError,
    parse_configuration,
    parse_server_entry,
)

FIELDS: dict[str, object] = {
    "service": "a",
    "address": "10.0.0.1:9000",
    "zone": "z",
    "slots": 3,
    "state": "ready",
}
NESTED = b'{"a":' * 2_000 + b"1" + b"}" * 2_000


def entry_value(**changes: object) -> bytes:
    """Return the value of an entry with some fields changed."""
    return json.dumps({**FIELDS, **changes}).encode()


@pytest.mark.parametrize(
    "value",
    [
        NESTED,
        b"[" * 200_000,
        entry_value(unknown=0).replace(b"0}", NESTED + b"}"),
        entry_value(zone=0).replace(b"0,", NESTED + b","),
    ],
)
def test_deeply_nested_value_is_reported_as_invalid(value: bytes) -> None:
    """Guards against an entry whose parsing raises an error that ends the read of all others."""
    with pytest.raises(DocumentError):
        parse_server_entry("i", 1, value)
    with pytest.raises(DocumentError):
        parse_configuration(value)


@pytest.mark.parametrize("server_id", ["", "i j", "i\r\nHost: x", "i\x7f", "\u4e2d"])
def test_id_that_is_no_header_value_is_reported_as_invalid(server_id: str) -> None:
    """Guards against an id that adds headers to requests or cannot be encoded."""
    with pytest.raises(DocumentError):
        parse_server_entry(server_id, 1, entry_value())
