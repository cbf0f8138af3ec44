"""Tests of the list of tests that are known to fail."""

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


def run(folder: Path, listed: str | None) -> tuple[int, str]:
    """Run three tests, of which two fail, with a list."""
    shutil.copy(Path(__file__).with_name("conftest.py"), folder)
    (folder / "test_x.py").write_text(TESTS)
    if listed is not None:
        (folder / "KNOWN-RED.txt").write_text(listed)
    command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", "--rootdir=."]
    done = subprocess.run(command, cwd=folder, capture_output=True, text=True, check=False)
    return done.returncode, done.stdout + done.stderr


def test_exactly_the_listed_tests_may_fail(tmp_path: Path) -> None:
    """Guards against a list that hides other failures, or that nobody sees."""
    both = "test_x.py::test_red\n  seed 1: seen, issue\ntest_x.py::test_red_too\n"
    status, text = run(tmp_path, both)
    assert (status, "1 passed, 2 xfailed" in text) == (0, True)
    assert "known red: test_x.py::test_red seed 1: seen, issue" in text
    status, text = run(tmp_path, "test_x.py::test_red\ntest_x.py::test_green\n")
    assert (status, "1 failed, 1 xfailed, 1 xpassed" in text) == (1, True)
    assert "known red: test_x.py::test_green (passes now" in text


def test_empty_or_missing_list_excuses_nothing(tmp_path: Path) -> None:
    """Guards against failures that pass without an entry."""
    for listed in (None, ""):
        status, text = run(tmp_path, listed)
        assert (status, "2 failed, 1 passed" in text) == (1, True)


def test_entry_of_no_test_is_an_error(tmp_path: Path) -> None:
    """Guards against a misspelt or outdated entry that is taken for a known failure."""
    for listed in ("test_x.py::test_other\n", "test_red fails\n"):
        status, text = run(tmp_path, listed)
        assert (status, "KNOWN-RED.txt: " in text) == (4, True)
