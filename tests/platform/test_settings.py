"""Tests of the platform's settings file."""

from __future__ import annotations

import subprocess
import sys
from typing import TYPE_CHECKING

import pytest

from tests.platform.serving import SETTINGS
from turmerictiller.errors import ConfigError
from turmerictiller.platform.settings import SETTINGS_VARIABLE, read_settings

if TYPE_CHECKING:
    from pathlib import Path

GOOD = SETTINGS.format(
    front=8001, ready=8002, store=8003, peer=8004, seeds='"127.0.0.9:77"', slack=58, grace_s=6
)


def test_fields_are_converted_to_forwarding_settings(tmp_path: Path) -> None:
    """Guards against units or names that are mixed up in the conversion."""
    path = tmp_path / "node.toml"
    path.write_text(GOOD)
    node = read_settings(path)
    settings = node.forwarding_settings(7)
    assert (settings.instance_id, settings.failure_domain, settings.seed) == (
        "front-here-1",
        "here",
        7,
    )
    assert (settings.drain_ms, settings.grace_ms, settings.extra_window_ms) == (3000, 6000, 10_000)
    assert (settings.extra_ratio, settings.extra_slack) == (0.2, 58)
    assert settings.peer_address == "127.0.0.1:8004"
    assert settings.seed_addresses == ("127.0.0.9:8004",)
    assert node.listen.front == "127.0.0.1:8001"


def test_all_errors_are_reported(tmp_path: Path) -> None:
    """Guards against errors that an operator only finds one per start."""
    path = tmp_path / "node.toml"
    path.write_text(GOOD.replace('zone = "here"', "zone = 3").replace("drainMs = 3000", ""))
    with pytest.raises(ConfigError) as caught:
        read_settings(path)
    assert sorted(line.partition(":")[0] for line in caught.value.problems) == [
        "bounds.drainMs",
        "zone",
    ]


@pytest.mark.parametrize("content", [None, "node = ", "\xff"])
def test_process_does_not_start_on_a_bad_file(tmp_path: Path, content: str | None) -> None:
    """Guards against an instance that runs without settings or exits without a message."""
    path = tmp_path / "node.toml"
    if content is not None:
        path.write_bytes(content.encode("latin-1"))
    done = subprocess.run(
        [sys.executable, "-m", "turmerictiller.platform"],
        env={SETTINGS_VARIABLE: str(path)},
        capture_output=True,
        text=True,
        check=False,
    )
    assert done.returncode == 2
    assert done.stderr.startswith("turmerictiller: ")
