"""Checks of the one file that ``make binary`` writes; run by ``make test-binary``.

Every process starts with an empty unpack directory of its own under /dev/shm.
"""

from __future__ import annotations

import os
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
import zipfile
from collections.abc import Iterator
from pathlib import Path

import orjson
import pytest

from bench.processes import free_addresses
from tests.harness import first_note

BINARY = Path(__file__).parent.parent / "dist" / "turmerictiller"
TIMEOUT_S = 120.0
STARTS = 4
EXTENSIONS = "import thrift.protocol.fastbinary, pyhdrh, orjson, pydantic_core._pydantic_core"


@pytest.fixture
def root() -> Iterator[str]:
    """Return an empty unpack directory in memory."""
    path = tempfile.mkdtemp(dir="/dev/shm", prefix="turmerictiller-test-")
    yield path
    shutil.rmtree(path)


def start(root: str, *arguments: str, **environment: str) -> subprocess.Popen[str]:
    """Start the file with the interpreter of the tests."""
    return subprocess.Popen(
        [sys.executable, str(BINARY), *arguments],
        env={"PATH": os.environ["PATH"], "SHIV_ROOT": root, **environment},
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )


def finish(process: subprocess.Popen[str]) -> tuple[int, str]:
    """Wait for a process and return its status and output; end it if it hangs."""
    try:
        out, err = process.communicate(timeout=TIMEOUT_S)
    except subprocess.TimeoutExpired:
        process.kill()
        raise
    return process.returncode, out + err


def get(url: str) -> tuple[int, bytes]:
    """Read a URL, whatever its status."""
    try:
        with urllib.request.urlopen(url, timeout=10) as answer:
            return answer.status, answer.read()
    except urllib.error.HTTPError as error:
        return error.code, error.read()


def get_when_up(url: str, process: subprocess.Popen[str]) -> tuple[int, bytes]:
    """Read a URL as soon as the process listens."""
    ends_at = time.monotonic() + TIMEOUT_S
    while time.monotonic() < ends_at and process.poll() is None:
        try:
            return get(url)
        except OSError:
            time.sleep(0.05)
    raise AssertionError(finish(process))


def test_version_and_check_note(root: str, tmp_path: Path) -> None:
    """Guards against a file that lacks a package which the commands need."""
    assert finish(start(root, "version")) == (0, "0.1.0\n")
    note = first_note()
    path = tmp_path / "note.json"
    path.write_bytes(orjson.dumps(note))
    status, text = finish(start(root, "check-note", str(path)))
    assert (status, "Note 1 is correct" in text) == (0, True)
    note["number"] = 0
    path.write_bytes(orjson.dumps(note))
    assert finish(start(root, "check-note", str(path)))[0] == 1


def test_extension_modules_work(root: str) -> None:
    """Guards against a package whose compiled part is missing, which is slow or fails late."""
    check = f"{EXTENSIONS}; print(all('{root}' in m.__file__ for m in (pyhdrh, orjson)))"
    process = start(root, "-c", check, SHIV_INTERPRETER="1")
    assert finish(process) == (0, "True\n")


def test_first_starts_at_the_same_time(root: str) -> None:
    """Guards against a start that reads what another one has half unpacked."""
    killed = start(root, "version")
    ends_at = time.monotonic() + TIMEOUT_S
    while not os.listdir(root) and time.monotonic() < ends_at:
        time.sleep(0.001)
    killed.kill()
    finish(killed)
    processes = [start(root, "version") for _ in range(STARTS)]
    assert [finish(process) for process in processes] == [(0, "0.1.0\n")] * STARTS
    with zipfile.ZipFile(BINARY) as archive:
        wanted = {name for name in archive.namelist() if name.startswith("site-packages/")}
    (unpacked,) = [path for path in Path(root).iterdir() if path.is_dir()]
    assert all((unpacked / name).exists() for name in wanted)


def test_default_root_is_in_memory() -> None:
    """Guards against a file that writes to a disk that instances do not have."""
    with zipfile.ZipFile(BINARY) as archive:
        environment = orjson.loads(archive.read("environment.json"))
    assert environment["root"] == "/dev/shm/turmerictiller"
    assert not environment["compile_pyc"]
    assert environment["preamble"] is None


def test_entry_answers_and_stops_without_children(root: str) -> None:
    """Guards against an instance that starts another process or ignores SIGTERM."""
    flags = ["--instance-id", "e1", "--failure-domain", "plateau", "--drain-notice-ms", "0"]
    caller, peer, operator = free_addresses(3)
    flags += ["--caller-address", caller, "--peer-address", peer, "--operator-address", operator]
    process = start(root, "entry", *flags)
    try:
        url = f"http://{operator}"
        status, body = get_when_up(f"{url}/health", process)
        assert (status, orjson.loads(body)["alive"]) == (503, True)
        assert get(f"http://{caller}/health")[0] == 503
        assert b"turmerictiller_info" in get(f"{url}/metrics")[1]
        assert b'"start":"process"' in get(f"{url}/trace")[1]
        proc = Path(f"/proc/{process.pid}")
        assert (proc / f"task/{process.pid}/children").read_text() == ""
        # The faults of children that were waited for: 0 if there never was one.
        fields = (proc / "stat").read_text().rpartition(")")[2].split()
        assert fields[8] == "0"
        assert [path.name for path in (proc / "task").iterdir()] == [str(process.pid)]
        process.send_signal(signal.SIGTERM)
        assert finish(process)[0] == 0
    finally:
        process.kill()
        process.wait()
