"""Tests of the command-line interface."""

from __future__ import annotations

import socket
import subprocess
import sys
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any
from unittest.mock import patch

import orjson
import pytest
from typer.testing import CliRunner

from tests.harness import definitions, first_note
from turmerictiller.borders.callers.answers import search_body
from turmerictiller.cmd import http
from turmerictiller.cmd.main import app
from turmerictiller.core import effects, events

runner = CliRunner()


def write(path: Path, value: Any) -> str:
    path.write_bytes(orjson.dumps(value))
    return str(path)


def test_entry_lists_every_error_by_flag() -> None:
    """Guards against an error output that lists only the first invalid setting."""
    flags = ["--seed", "x", "--caller-address", "nowhere", "--shutdown-limit-ms", "1"]
    result = runner.invoke(app, ["entry", *flags], env={"TURMERICTILLER_MAX_PEERS": "0"})
    assert result.exit_code == 2
    for flag in ("--instance-id", "--failure-domain", "--seed", "--caller-address", "--max-peers"):
        assert f"{flag}:" in result.stderr
    assert "--shutdown-limit-ms must be longer than --drain-notice-ms" in result.stderr


def test_flag_takes_precedence_over_environment() -> None:
    """Guards against an environment variable that overrides a flag."""
    env = {"TURMERICTILLER_SEED": "3", "TURMERICTILLER_MAX_PEERS": "bad"}
    result = runner.invoke(app, ["entry", "--seed", "bad"], env=env)
    assert "--seed:" in result.stderr
    assert "--max-peers:" in result.stderr
    result = runner.invoke(app, ["entry", "--max-peers", "5", "--seed", "bad"], env=env)
    assert "--max-peers:" not in result.stderr


def test_help_of_each_command() -> None:
    """Guards against a help text that fails to render, and markup that hides the defaults."""
    for command in app.registered_commands:
        result = runner.invoke(app, [command.name or "", "--help"])
        assert (result.exit_code, "Usage" in result.stdout) == (0, True)
    shown = runner.invoke(app, ["entry", "--help"], env={"COLUMNS": "200"}).stdout
    assert "(default 512)" in shown
    assert shown.count("(required)") == 2


def test_sealed_notes_pass_the_check(tmp_path: Path) -> None:
    """Guards against a sealed note that instances would refuse."""
    changes = write(tmp_path / "c1", {"added": definitions()})
    first = str(tmp_path / "first")
    assert runner.invoke(app, ["seal-note", changes, "--out", first]).exit_code == 0
    changes = write(tmp_path / "c2", {"withdrawn": {"fronts": ["booking"]}})
    second = runner.invoke(app, ["seal-note", changes, "--after", first])
    assert orjson.loads(second.stdout)["number"] == 2
    path = write(tmp_path / "second", orjson.loads(second.stdout))
    assert runner.invoke(app, ["check-note", path, "--after", first]).exit_code == 0
    result = runner.invoke(app, ["check-note", first, "--after", path])
    assert (result.exit_code, "older_note" in result.stderr) == (1, True)


def test_check_note_lists_every_error_with_its_place(tmp_path: Path) -> None:
    """Guards against a check that stops at the first error."""
    note = first_note()
    note["result"]["fronts"][0]["services"] = ["a", "b"]
    result = runner.invoke(app, ["check-note", write(tmp_path / "n", note)])
    assert result.exit_code == 1
    assert result.stderr.count("result.fronts.0.services") == 2
    note["number"], note["result"]["fronts"][0]["k_max"] = 0, 0
    result = runner.invoke(app, ["check-note", write(tmp_path / "n", note)])
    assert "number:" in result.stderr
    assert "result.fronts.0.k_max:" in result.stderr


def test_unreadable_files_exit_with_two(tmp_path: Path) -> None:
    """Guards against a missing file that is reported like an invalid note."""
    (tmp_path / "text").write_text("{")
    for name in ("none", "text"):
        for command in ("check-note", "seal-note"):
            result = runner.invoke(app, [command, str(tmp_path / name)])
            assert (result.exit_code, bool(result.stderr)) == (2, True)
    wrong = write(tmp_path / "wrong", {"added": {"fronts": [{}]}, "other": 1})
    result = runner.invoke(app, ["seal-note", wrong])
    assert result.exit_code == 1
    assert result.stderr.count("wrong:") == 2


def test_search_prints_hits_coverage_and_refusals() -> None:
    """Guards against output that omits missing shards or a refusal."""
    hit = events.Hit(0.5, "a/0", "d1", {"title": "velvet"})
    coverage = effects.Coverage(1, 2, (effects.MissingShard("a/1", "a", "timed_out"),))
    answer = search_body(effects.ReplySearch(1, (hit,), "1-abc", coverage, None, 12.0))
    command = ["search", "127.0.0.1:1", "booking", "velvet"]
    with patch.object(http, "post_json", return_value=(200, answer)):
        shown = runner.invoke(app, command).stdout
    for text in ("title=velvet", "1-abc", "1 of 2 shards (50.0%)", "a/1 (timed_out)", "12.0 ms"):
        assert text in shown
    refusal = {"error": "no_note", "message": "none", "ran": "no", "retry_after_ms": 200}
    with patch.object(http, "post_json", return_value=(503, refusal)):
        result = runner.invoke(app, command)
    assert result.exit_code == 1
    assert "no_note: none. It was not run. Try again after 200 ms." in result.stderr


def test_unreachable_process_exits_with_two() -> None:
    """Guards against a traceback when the connection is refused."""
    for arguments in (["state", "127.0.0.1:1"], ["search", "127.0.0.1:1", "booking", "x"]):
        result = runner.invoke(app, arguments)
        assert result.exit_code == 2
        assert "127.0.0.1:1" in result.stderr


def test_address_in_use_ends_with_a_message() -> None:
    """Guards against a traceback, or a process without listeners, when a port is in use."""
    with socket.create_server(("127.0.0.1", 0)) as used_port:
        address = f"127.0.0.1:{used_port.getsockname()[1]}"
        flags = ["--instance-id", "e1", "--failure-domain", "plateau", "--caller-address", address]
        result = runner.invoke(app, ["entry", *flags])
        assert (result.exit_code, address.split(":")[1] in result.stderr) == (1, True)
        flags += ["--peer-address", address, "--shutdown-limit-ms", "1"]
        result = runner.invoke(app, ["entry", *flags])
        assert "--shutdown-limit-ms must be longer" in result.stderr
        assert "--peer-address must not be the same as --caller-address" in result.stderr


@pytest.mark.parametrize("setting", ["caller", "operator", "peer"])
def test_address_in_use_leaves_nothing_open(setting: str) -> None:
    """Guards against warnings about unclosed sessions and sockets after the message."""
    with socket.create_server(("127.0.0.1", 0)) as used_port:
        addresses = dict.fromkeys(["caller", "operator", "peer"], "127.0.0.1:0")
        addresses[setting] = f"127.0.0.1:{used_port.getsockname()[1]}"
        flags = [f"--{name}-address={address}" for name, address in addresses.items()]
        command = [sys.executable, "-X", "dev", "-m", "turmerictiller", "entry", *flags]
        command += ["--instance-id=e1", "--failure-domain=plateau"]
        result = subprocess.run(command, capture_output=True, text=True, check=False)
    assert (result.returncode, len(result.stderr.splitlines())) == (1, 1)


def test_state_and_trace_read_a_process(tmp_path: Path) -> None:
    """Guards against commands that accept an error response as data."""

    class Handler(BaseHTTPRequestHandler):
        def do_GET(self) -> None:
            self.send_response({"/state": 200, "/trace": 200}.get(self.path, 503))
            self.end_headers()
            self.wfile.write(b"{}\n{}\n")

    with ThreadingHTTPServer(("127.0.0.1", 0), Handler) as server:
        threading.Thread(target=server.serve_forever, daemon=True).start()
        url = f"127.0.0.1:{server.server_port}"
        assert runner.invoke(app, ["state", url]).stdout.startswith("{}")
        result = runner.invoke(app, ["trace", url, "--out", str(tmp_path / "t")])
        assert (result.exit_code, (tmp_path / "t").read_bytes()) == (0, b"{}\n{}\n")
        assert runner.invoke(app, ["replay", str(tmp_path / "t")]).exit_code == 2
        result = runner.invoke(app, ["state", f"{url}/other"])
        assert (result.exit_code, "status 503" in result.stderr) == (2, True)
        server.shutdown()
