"""Tests of the merging of records."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from turmerictiller.forwarding.records import RECORD_BYTES, merge_greatest


@given(st.lists(st.binary(max_size=200), max_size=6), st.integers(0, 30))
def test_merged_records_are_the_greatest_in_descending_order(bodies: list[bytes], top: int) -> None:
    """Guards against lost, duplicate or misordered records, and against incomplete records."""
    expected = []
    for body in bodies:
        remaining = body
        while len(remaining) >= RECORD_BYTES:
            expected.append(remaining[:RECORD_BYTES])
            remaining = remaining[RECORD_BYTES:]
    expected = sorted(expected, reverse=True)[:top]
    assert merge_greatest(bodies, top) == b"".join(expected)


def test_equal_records_are_all_kept() -> None:
    """Guards against a merge that drops records that two servers return."""
    record = b"x" * RECORD_BYTES
    assert merge_greatest([record, record], 5) == record * 2
