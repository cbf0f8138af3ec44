"""Tests of parsing the documents of the platform's store."""

from __future__ import annotations

import contextlib
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from turmerictiller.platform.documents import (
    DocumentError,
    parse_configuration,
    parse_server_entry,
)

FIELDS: dict[str, object] = {
    "service": "a",
    "address": "10.0.0.1:9000",
    "zone": "z",
    "version": "v1",
    "slots": 3,
    "state": "ready",
    "warmupLeftMs": 0,
    "sequence": 1,
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


@pytest.mark.parametrize(
    "changes",
    [
        {"slots": 10**400},
        {"slots": 2**63},
        {"born": 10**400},
        {"warmupLeftMs": 10**400},
        {"address": "10.0.0.1:65536"},
        {"address": "10.0.0.1:0"},
        {"address": "10.0.0.1:-1"},
        {"address": "10.0.0.1:" + "9" * 5_000},
        {"address": "10.0.0.1:\uff18\uff10"},
        {"address": "10.0.0.256:80"},
        {"address": "80"},
    ],
)
def test_value_out_of_range_is_reported_as_invalid(changes: dict[str, object]) -> None:
    """Guards against a server with values that other code cannot represent or connect to."""
    with pytest.raises(DocumentError):
        parse_server_entry("i", 1, entry_value(**changes))


@pytest.mark.parametrize("name", FIELDS)
def test_entry_that_lacks_a_field_is_reported_as_invalid(name: str) -> None:
    """Guards against another writer's entry that moves a live server to another service."""
    fields = {key: value for key, value in FIELDS.items() if key != name}
    with pytest.raises(DocumentError):
        parse_server_entry("i", 1, json.dumps(fields).encode())
    assert parse_server_entry("i", 1, entry_value()).incarnation == 0


@pytest.mark.parametrize("server_id", ["", "i j", "i\r\nHost: x", "i\x7f", "\u4e2d"])
def test_id_that_is_no_header_value_is_reported_as_invalid(server_id: str) -> None:
    """Guards against an id that adds headers to requests or cannot be encoded."""
    with pytest.raises(DocumentError):
        parse_server_entry(server_id, 1, entry_value())


@given(
    st.binary(max_size=64)
    | st.recursive(
        st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
        lambda items: st.lists(items) | st.dictionaries(st.sampled_from([*FIELDS, "x"]), items),
    ).map(lambda document: json.dumps(document).encode())
    | st.dictionaries(
        st.sampled_from([*FIELDS, "born", "warmupLeftMs"]),
        st.none() | st.integers(-(10**400), 10**400) | st.floats() | st.text(),
    ).map(lambda changes: entry_value(**changes)),
    st.text(max_size=8),
)
def test_any_value_is_parsed_or_reported_as_invalid(value: bytes, server_id: str) -> None:
    """Guards against errors of the parser that callers of it do not expect."""
    for parse in (
        lambda: parse_server_entry(server_id, 1, value),
        lambda: parse_configuration(value),
    ):
        with contextlib.suppress(DocumentError):
            parse()
