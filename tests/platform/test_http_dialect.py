"""Tests of parsing the answers of servers."""

from __future__ import annotations

import pytest

from turmerictiller.forwarding.events import FailureKind, UpstreamAnswer
from turmerictiller.platform.http_dialect import parse_answer
from turmerictiller.transport.messages import Headers, RawResponse


def parse(status: int, *headers: tuple[bytes, bytes]) -> UpstreamAnswer | FailureKind:
    """Parse an answer with a signature and these headers."""
    all_headers: Headers = [(b"Server-Stamp", b"s"), *headers]
    values = {name.lower(): value for name, value in all_headers}
    return parse_answer(RawResponse(status, b"", all_headers, b"", values))


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
def test_retry_after_is_parsed_or_reported_as_unreadable(
    texts: list[bytes], pause_ms: float | None, is_readable: bool
) -> None:
    """Guards against an unreadable header that invalidates its answer or yields a wrong pause."""
    answer = parse(503, *((b"Retry-After", text) for text in texts))
    assert isinstance(answer, UpstreamAnswer)
    assert answer.pause_ms == pause_ms
    assert bool(answer.malformed_headers) is not is_readable


@pytest.mark.parametrize("status", [200, 404, 429, 500])
def test_retry_after_applies_to_a_503_only(status: int) -> None:
    """Guards against a server that is paused because of a header that is meant for callers."""
    answer = parse(status, (b"Retry-After", b"60"))
    assert isinstance(answer, UpstreamAnswer)
    assert answer.pause_ms is None


@pytest.mark.parametrize("status", [200, 404, 500, 503])
@pytest.mark.parametrize(("text", "leaving"), [(b"1", True), (b"0", False), (b"yes", False)])
def test_any_answer_may_announce_that_its_server_is_leaving(
    status: int, text: bytes, leaving: bool
) -> None:
    """Guards against announcements that are missed, or inferred from other values."""
    answer = parse(status, (b"server-LEAVING", text))
    assert isinstance(answer, UpstreamAnswer)
    assert answer.leaving is leaving
    assert bool(answer.malformed_headers) is not leaving


@pytest.mark.parametrize("status", [408, 429, 503])
def test_refusal_without_confirmation_is_not_taken_as_not_run(status: int) -> None:
    """Guards against a caller that repeats a request because a failed server answered 503."""
    answer = parse(status)
    assert isinstance(answer, UpstreamAnswer)
    assert answer.unconfirmed_refusal
    assert not answer.not_run
    confirmed = parse(status, (b"Not-Executed", b"1"))
    assert isinstance(confirmed, UpstreamAnswer)
    assert not confirmed.unconfirmed_refusal


def test_announcements_of_another_server_are_ignored() -> None:
    """Guards against a server that is taken out of service by the headers of another."""
    headers = (b"Server-Leaving", b"1"), (b"Retry-After", b"60")
    assert parse(421, *headers) is FailureKind.OTHER_SERVER
