"""Tests of the merging of records."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from turmerictiller.forwarding.records import RECORD_BYTES, merge_greatest


@given(st.lists(st.binary(max_size=200), max_size=6), st.integers(0, 30))
def test_merged_are_the_greatest_in_falling_order(bodies: list[bytes], top: int) -> None:
    """Guards against lost, doubled or misplaced records, and against bytes that are no record."""
    expected = []
    for body in bodies:
        rest = body
        while len(rest) >= RECORD_BYTES:
            expected.append(rest[:RECORD_BYTES])
            rest = rest[RECORD_BYTES:]
    expected = sorted(expected, reverse=True)[:top]
    assert merge_greatest(bodies, top) == b"".join(expected)


def test_equal_records_all_count() -> None:
    """Guards against a merge that drops records which two servers hold."""
    record = b"x" * RECORD_BYTES
    assert merge_greatest([record, record], 5) == record * 2
