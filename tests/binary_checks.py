"""Tests of the executable that ``make binary`` builds; run by ``make test-binary``.

Each test has its own unpack directory under /dev/shm, which is empty at first.
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

EXECUTABLE = Path(__file__).parent.parent / "dist" / "turmerictiller"
TIMEOUT_S = 120.0
PARALLEL_STARTS = 4
EXTENSION_IMPORTS = (
    "import thrift.protocol.fastbinary, pyhdrh, orjson, pydantic_core._pydantic_core"
)


@pytest.fixture
def unpack_dir() -> Iterator[str]:
    """Return an empty unpack directory in memory."""
    path = tempfile.mkdtemp(dir="/dev/shm", prefix="turmerictiller-test-")
    yield path
    shutil.rmtree(path)


def start_executable(unpack_dir: str, *arguments: str, **environment: str) -> subprocess.Popen[str]:
    """Start the executable with the interpreter of the tests."""
    return subprocess.Popen(
        [sys.executable, str(EXECUTABLE), *arguments],
        env={"PATH": os.environ["PATH"], "SHIV_ROOT": unpack_dir, **environment},
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )


def wait_for_exit(process: subprocess.Popen[str]) -> tuple[int, str]:
    """Wait for a process to exit and return its status and output; kill it after a timeout."""
    try:
        out, err = process.communicate(timeout=TIMEOUT_S)
    except subprocess.TimeoutExpired:
        process.kill()
        raise
    return process.returncode, out + err


def get(url: str) -> tuple[int, bytes]:
    """Send a GET request and return status and body, also of an error status."""
    try:
        with urllib.request.urlopen(url, timeout=10) as answer:
            return answer.status, answer.read()
    except urllib.error.HTTPError as error:
        return error.code, error.read()


def get_when_listening(url: str, process: subprocess.Popen[str]) -> tuple[int, bytes]:
    """Send a GET request, retrying until the process listens.

    :raises AssertionError: the process exited or does not listen in time.
    """
    ends_at = time.monotonic() + TIMEOUT_S
    while time.monotonic() < ends_at and process.poll() is None:
        try:
            return get(url)
        except OSError:
            time.sleep(0.05)
    raise AssertionError(wait_for_exit(process))


def test_version_and_check_note(unpack_dir: str, tmp_path: Path) -> None:
    """Guards against an executable that lacks a package which the commands need."""
    assert wait_for_exit(start_executable(unpack_dir, "version")) == (0, "0.1.0\n")
    note = first_note()
    path = tmp_path / "note.json"
    path.write_bytes(orjson.dumps(note))
    status, text = wait_for_exit(start_executable(unpack_dir, "check-note", str(path)))
    assert (status, "Note 1 is correct" in text) == (0, True)
    note["number"] = 0
    path.write_bytes(orjson.dumps(note))
    assert wait_for_exit(start_executable(unpack_dir, "check-note", str(path)))[0] == 1


def test_extension_modules_work(unpack_dir: str) -> None:
    """Guards against a missing compiled module: its fallback is slow or the import fails late."""
    check = (
        f"{EXTENSION_IMPORTS}; print(all('{unpack_dir}' in m.__file__ for m in (pyhdrh, orjson)))"
    )
    process = start_executable(unpack_dir, "-c", check, SHIV_INTERPRETER="1")
    assert wait_for_exit(process) == (0, "True\n")


def test_first_starts_in_parallel_after_a_killed_one(unpack_dir: str) -> None:
    """Guards against a start that uses files which another one has not fully unpacked."""
    killed = start_executable(unpack_dir, "version")
    ends_at = time.monotonic() + TIMEOUT_S
    while not os.listdir(unpack_dir) and time.monotonic() < ends_at:
        time.sleep(0.001)
    killed.kill()
    wait_for_exit(killed)
    processes = [start_executable(unpack_dir, "version") for _ in range(PARALLEL_STARTS)]
    assert [wait_for_exit(process) for process in processes] == [(0, "0.1.0\n")] * PARALLEL_STARTS
    with zipfile.ZipFile(EXECUTABLE) as archive:
        packaged = {name for name in archive.namelist() if name.startswith("site-packages/")}
    (unpack_path,) = [path for path in Path(unpack_dir).iterdir() if path.is_dir()]
    assert all((unpack_path / name).exists() for name in packaged)


def test_default_unpack_directory_is_in_memory() -> None:
    """Guards against an executable that unpacks to disk, as instances have none."""
    with zipfile.ZipFile(EXECUTABLE) as archive:
        environment = orjson.loads(archive.read("environment.json"))
    assert environment["root"] == "/dev/shm/turmerictiller"
    assert not environment["compile_pyc"]
    assert environment["preamble"] is None


def test_entry_serves_and_stops_without_child_processes(unpack_dir: str) -> None:
    """Guards against an instance that starts child processes or ignores SIGTERM."""
    flags = ["--instance-id", "e1", "--failure-domain", "plateau", "--drain-notice-ms", "0"]
    caller, peer, operator = free_addresses(3)
    flags += ["--caller-address", caller, "--peer-address", peer, "--operator-address", operator]
    process = start_executable(unpack_dir, "entry", *flags)
    try:
        url = f"http://{operator}"
        status, body = get_when_listening(f"{url}/health", process)
        assert (status, orjson.loads(body)["alive"]) == (503, True)
        assert get(f"http://{caller}/health")[0] == 503
        assert b"turmerictiller_info" in get(f"{url}/metrics")[1]
        assert b'"start":"process"' in get(f"{url}/trace")[1]
        proc = Path(f"/proc/{process.pid}")
        assert (proc / f"task/{process.pid}/children").read_text() == ""
        # cminflt, the page faults of children that were waited for: 0 if there never was a child.
        fields = (proc / "stat").read_text().rpartition(")")[2].split()
        assert fields[8] == "0"
        assert [path.name for path in (proc / "task").iterdir()] == [str(process.pid)]
        process.send_signal(signal.SIGTERM)
        assert wait_for_exit(process)[0] == 0
    finally:
        process.kill()
        process.wait()
