"""Tests that exactly the tests listed in KNOWN-RED.txt may fail."""

from __future__ import annotations

import shutil
import subprocess
import sys
from pathlib import Path

TESTS = """
def test_red(): assert False
def test_red_too(): assert False
def test_green(): pass
"""


def run_tests(folder: Path, listed: str | None) -> tuple[int, str]:
    """Run two failing tests and a passing one; return exit status and output.

    :param listed: content of KNOWN-RED.txt; no file if ``None``.
    """
    shutil.copy(Path(__file__).with_name("conftest.py"), folder)
    (folder / "test_x.py").write_text(TESTS)
    if listed is not None:
        (folder / "KNOWN-RED.txt").write_text(listed)
    command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", "--rootdir=."]
    completed = subprocess.run(command, cwd=folder, capture_output=True, text=True, check=False)
    return completed.returncode, completed.stdout + completed.stderr


def test_exactly_the_listed_tests_may_fail(tmp_path: Path) -> None:
    """Guards against a list that hides other failures or is not printed."""
    two_entries = "test_x.py::test_red\n  seed 1: seen, issue\ntest_x.py::test_red_too\n"
    status, text = run_tests(tmp_path, two_entries)
    assert (status, "1 passed, 2 xfailed" in text) == (0, True)
    assert "known red: test_x.py::test_red seed 1: seen, issue" in text
    status, text = run_tests(tmp_path, "test_x.py::test_red\ntest_x.py::test_green\n")
    assert (status, "1 failed, 1 xfailed, 1 xpassed" in text) == (1, True)
    assert "known red: test_x.py::test_green (passes now" in text


def test_unlisted_failures_fail_the_run(tmp_path: Path) -> None:
    """Guards against failures that are ignored without an entry, with an empty or missing list."""
    for listed in (None, ""):
        status, text = run_tests(tmp_path, listed)
        assert (status, "2 failed, 1 passed" in text) == (1, True)


def test_entry_without_a_matching_test_is_an_error(tmp_path: Path) -> None:
    """Guards against a misspelt or outdated entry that is ignored."""
    for listed in ("test_x.py::test_other\n", "test_red fails\n"):
        status, text = run_tests(tmp_path, listed)
        assert (status, "KNOWN-RED.txt: " in text) == (4, True)
