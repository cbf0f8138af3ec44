"""Tests that the platform's names appear only in its adapter."""

from __future__ import annotations

import re
from pathlib import Path

PACKAGE = Path(__file__).parents[2] / "turmerictiller"
PLATFORM_NAMES = re.compile(
    r"Part-Stamps|Missing-Parts|Server-Stamp|Target-Instance|Deadline-Ms|Not-Executed|Request-Id"
    r"|kv-(range|watch|key)|targetLatencyMs|maxAttempts|minShare|topK|listenAddrs|warmupLeftMs"
    r"|op/config|servers/|currentRev|hasMore|budgetSlack|healthPath",
    re.IGNORECASE,
)


def test_no_module_outside_the_adapter_uses_platform_names() -> None:
    """Guards against decisions that depend on the names of one platform."""
    found = [
        f"{path.relative_to(PACKAGE)}: {match[0]}"
        for path in sorted(PACKAGE.rglob("*.py"))
        if PACKAGE / "platform" not in path.parents
        for match in PLATFORM_NAMES.finditer(path.read_text())
    ]
    assert found == []
