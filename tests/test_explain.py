"""Tests of the timeline of a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

import orjson
from typer.testing import CliRunner

from tests.forwarding.driving import Driver, configuration, gather_route, single_route
from turmerictiller.cmd.main import app
from turmerictiller.explain import format_timeline, read_timeline
from turmerictiller.forwarding.effects import WriteLog
from turmerictiller.forwarding.events import FailureKind, RegistryLost, ServerEntryRemoved

if TYPE_CHECKING:
    from pathlib import Path


def log_lines(driver: Driver, instance: str = "e1") -> list[bytes]:
    """Return the log lines of an instance, with one second between them."""
    return [
        orjson.dumps(
            {"time": 100.0 + number, "instance": instance, "event": line.event, **line.fields}
        )
        for number, line in enumerate(driver.effects_of(WriteLog))
    ]


def test_refusal_is_explained_by_the_removed_servers() -> None:
    """Guards against a refusal whose cause is not in the timeline."""
    driver = Driver().start(configuration(gather_route(2, 1.0)), 1)
    driver.dispatch(RegistryLost(driver.now, "timed_out"))
    driver.dispatch(ServerEntryRemoved(driver.now, "s1-1", 5))
    driver.wait(2_500)
    driver.request()
    text = "\n".join(format_timeline(read_timeline("r1", log_lines(driver))))
    assert "no_server after 0.0 ms" in text
    assert "s1 is missing: no_server" in text
    assert "s1-1: entry removed 2500 ms ago" in text
    assert "server_removed" in text


def test_lost_answer_of_a_non_idempotent_request_is_explained() -> None:
    """Guards against an unknown outcome that does not name the server that may have run it."""
    driver = Driver().start(configuration(single_route(idempotent=False)), 1)
    call_id = driver.request("/once/x")
    driver.fail(driver.sent(call_id)[0], FailureKind.RESET)
    text = "\n".join(format_timeline(read_timeline("r1", log_lines(driver))))
    assert "a: a-1 reset; not sent again." in text
    assert "upstream_failed" in text


def test_late_answer_is_explained_by_the_part_that_it_waited_for() -> None:
    """Guards against a late answer whose slow shard cannot be found in the logs."""
    driver = Driver().start(configuration(gather_route(2, 1.0)), 1)
    first, call_id = driver.request(), driver.request()
    for sent in driver.sent(call_id):
        driver.wait(70)
        driver.answer(sent)
    text = "\n".join(format_timeline(read_timeline(f"r{call_id}", log_lines(driver))))
    expected = "late because of s1: s1-1 took 140.0 ms, sent after 0.0 ms, with 1 in flight"
    assert expected in text
    for sent in driver.sent(first):
        driver.answer(sent)


def test_answer_at_the_target_waits_for_no_part() -> None:
    """Guards against a part that is named as late though the answer was sent without the others."""
    driver = Driver().start(configuration(gather_route(2, 0.5)), 1)
    call_id = driver.request()
    driver.answer(driver.sent(call_id)[0])
    driver.wait(100)
    assert driver.outcome(call_id) is not None
    assert "late_part" not in driver.logged("request_ended")[-1].fields


def test_bad_lines_are_skipped_and_counted(tmp_path: Path) -> None:
    """Guards against lines of other programs that make a whole log unreadable."""
    driver = Driver().start(configuration(single_route()), 1)
    for sent in driver.sent(driver.request("/one/x")):
        driver.answer(sent)
    path = tmp_path / "log"
    bad = [b"Traceback", b"[1]", b'{"event": "x"}', b"\xff", b'{"time": "x", "instance": 1}']
    path.write_bytes(b"\n".join([*bad, *log_lines(driver), b""]))
    done = CliRunner().invoke(app, ["explain", "r1", str(path)])
    assert done.exit_code == 0
    assert "answered after" in done.output
    assert "5 lines could not be read" in done.output
    assert CliRunner().invoke(app, ["explain", "r9", str(path)]).exit_code == 1
    assert CliRunner().invoke(app, ["explain", "r9", str(tmp_path / "none")]).exit_code == 2
