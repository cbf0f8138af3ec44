"""Hypothesis profiles, and expected failures of the tests listed in KNOWN-RED.txt."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING

import pytest
from hypothesis import HealthCheck, settings

if TYPE_CHECKING:
    from pathlib import Path

KNOWN_RED = "KNOWN-RED.txt"

settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
settings.register_profile("dev", deadline=None)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))


def read_known_red(root: Path) -> dict[str, str]:
    """Return the description of each listed test by node id; empty if there is no file.

    An entry starts with the node id of the test; indented lines are its description.

    :raises UsageError: a line that is not indented is not a node id.
    """
    path = root / KNOWN_RED
    entries: dict[str, str] = {}
    node_id = ""
    for line in path.read_text().splitlines() if path.exists() else []:
        if line[:1].isspace() and node_id:
            entries[node_id] += f" {line.strip()}"
        elif "::" in line:
            node_id = line.strip()
            entries[node_id] = ""
        elif line.strip():
            raise pytest.UsageError(f"{KNOWN_RED}: not the name of a test: {line!r}")
    return entries


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Mark exactly the listed tests as expected to fail.

    :raises UsageError: a listed test does not exist in a file that is run as a whole.
    """
    entries = read_known_red(config.rootpath)
    files = {item.nodeid.partition("::")[0] for item in items}
    missing = set(entries) - {item.nodeid for item in items}
    # With a selection by name, a listed test may be missing because it was not selected.
    is_whole = not config.option.keyword and not any("::" in arg for arg in config.args)
    if is_whole and (unknown := [n for n in missing if n.partition("::")[0] in files]):
        raise pytest.UsageError(f"{KNOWN_RED}: there is no test {', '.join(sorted(unknown))}")
    for item in items:
        if item.nodeid in entries:
            item.add_marker(pytest.mark.xfail(reason=f"{KNOWN_RED}:{entries[item.nodeid]}"))


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter, config: pytest.Config
) -> None:
    """Print every listed test with its description, and whether it passes now."""
    entries = read_known_red(config.rootpath)
    passing = {report.nodeid for report in terminalreporter.stats.get("xpassed", [])}
    for node_id, description in entries.items():
        note = " (passes now; remove the entry)" if node_id in passing else ""
        terminalreporter.write_line(f"known red: {node_id}{note}{description}")
