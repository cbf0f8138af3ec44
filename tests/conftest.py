"""Profiles of property-based tests, and the tests that are known to fail."""

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
    """Return what the file says of each listed test, by its full name; nothing without a file.

    An entry begins with the name of the test, as pytest writes it; indented lines belong to it.
    """
    path = root / KNOWN_RED
    entries: dict[str, str] = {}
    name = ""
    for line in path.read_text().splitlines() if path.exists() else []:
        if line[:1].isspace() and name:
            entries[name] += f" {line.strip()}"
        elif "::" in line:
            name = line.strip()
            entries[name] = ""
        elif line.strip():
            raise pytest.UsageError(f"{KNOWN_RED}: not the name of a test: {line!r}")
    return entries


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Expect exactly the listed tests to fail."""
    entries = read_known_red(config.rootpath)
    files = {item.nodeid.partition("::")[0] for item in items}
    missing = set(entries) - {item.nodeid for item in items}
    # A run may select some tests of a file by their names.
    is_whole = not config.option.keyword and not any("::" in arg for arg in config.args)
    if is_whole and (unknown := [n for n in missing if n.partition("::")[0] in files]):
        raise pytest.UsageError(f"{KNOWN_RED}: there is no test {', '.join(sorted(unknown))}")
    for item in items:
        if item.nodeid in entries:
            item.add_marker(pytest.mark.xfail(reason=f"{KNOWN_RED}:{entries[item.nodeid]}"))


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter, config: pytest.Config
) -> None:
    """Print every listed test and whether it passes now."""
    entries = read_known_red(config.rootpath)
    passing = {report.nodeid for report in terminalreporter.stats.get("xpassed", [])}
    for name, text in entries.items():
        note = " (passes now; remove the entry)" if name in passing else ""
        terminalreporter.write_line(f"known red: {name}{note}{text}")
