"""Tests of what the adapter reads from the answers of servers."""

from __future__ import annotations

import pytest

from turmerictiller.forwarding.events import Failure, UpstreamAnswer
from turmerictiller.platform.http_dialect import read_answer
from turmerictiller.transport.messages import Headers, RawResponse


def read(status: int, *headers: tuple[bytes, bytes]) -> UpstreamAnswer | Failure:
    """Read an answer with a signature and these headers."""
    given: Headers = [(b"Server-Stamp", b"s"), *headers]
    values = {name.lower(): value for name, value in given}
    return read_answer(RawResponse(status, b"", given, b"", values))


@pytest.mark.parametrize(
    ("texts", "pause_ms", "is_readable"),
    [
        ([b"3"], 3_000.0, True),
        ([b" 0.25 "], 250.0, True),
        ([b"0"], 0.0, True),
        ([b"1000000000"], 1e12, True),
        ([b"2", b"5", b"1"], 5_000.0, True),
        ([b"2", b"soon"], 2_000.0, False),
        ([b""], None, False),
        ([b"-1"], None, False),
        ([b"1e3"], None, False),
        ([b"nan"], None, False),
        ([b"Fri, 04 Dec 2026 11:00:00 GMT"], None, False),
    ],
)
def test_time_that_a_server_asks_for_is_read_or_reported(
    texts: list[bytes], pause_ms: float | None, is_readable: bool
) -> None:
    """Guards against a header of one server that breaks its answer, or is guessed at."""
    answer = read(503, *((b"Retry-After", text) for text in texts))
    assert isinstance(answer, UpstreamAnswer)
    assert answer.pause_ms == pause_ms
    assert bool(answer.malformed_headers) is not is_readable


@pytest.mark.parametrize("status", [200, 404, 429, 500])
def test_time_counts_in_a_503_only(status: int) -> None:
    """Guards against a server that is left alone because of a header that is meant for callers."""
    answer = read(status, (b"Retry-After", b"60"))
    assert isinstance(answer, UpstreamAnswer)
    assert answer.pause_ms is None


@pytest.mark.parametrize("status", [200, 404, 500, 503])
@pytest.mark.parametrize(("text", "leaving"), [(b"1", True), (b"0", False), (b"yes", False)])
def test_any_answer_may_say_that_its_server_leaves(status: int, text: bytes, leaving: bool) -> None:
    """Guards against announcements that are missed, or read into another value."""
    answer = read(status, (b"server-LEAVING", text))
    assert isinstance(answer, UpstreamAnswer)
    assert answer.leaving is leaving
    assert bool(answer.malformed_headers) is not leaving


def test_another_server_at_the_address_says_nothing_of_the_one_that_was_meant() -> None:
    """Guards against a server that is taken out of use by the words of another."""
    headers = (b"Server-Leaving", b"1"), (b"Retry-After", b"60")
    assert read(421, *headers) is Failure.OTHER_SERVER
