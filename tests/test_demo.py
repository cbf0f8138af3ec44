"""Tests of the checks, notes and processes of the demonstration."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from bench.booking_desk import SERVICES, SHARDS, desk_servers, find_problems, first_note, next_note
from bench.processes import Processes
from standins.upstream import documents
from turmerictiller.core.configuration.notes import check_note
from turmerictiller.util.canonical import snapshot_name


def answer(missing: tuple[str, ...] = ()) -> dict[str, Any]:
    """Return a correct answer for three hits."""
    covered = [shard for shard in SHARDS if shard not in missing]
    hits = [hit for shard in covered for hit in documents(shard, 1, "hem")]
    hits.sort(key=lambda hit: (-hit["score"], hit["shard"], hit["id"]))
    shards_by_service = {
        name: [item for item in SHARDS if item.startswith(f"{name}/")] for name in SERVICES
    }
    rows = [{"shard": shard, "service": "", "reason": "timed_out"} for shard in missing]
    coverage = {"merged": len(covered), "total": len(SHARDS), "missing": rows}
    return {"hits": hits[:3], "snapshot": snapshot_name(1, shards_by_service), "coverage": coverage}


def test_wrong_answers_are_detected() -> None:
    """Guards against a demonstration that passes with wrong answers of the instances."""
    assert find_problems(answer(), "hem", 3) == []
    best = answer()["hits"][0]["shard"]
    assert find_problems(answer((best,)), "hem", 3) == []
    unreported = answer((best,))
    unreported["coverage"] = answer()["coverage"]
    assert find_problems(unreported, "hem", 3)
    overreported = answer()
    overreported["coverage"]["missing"] = answer((best,))["coverage"]["missing"]
    assert find_problems(overreported, "hem", 3)
    assert find_problems({**answer(), "snapshot": "1-000000000000"}, "hem", 3)
    assert find_problems({**answer(), "hits": answer()["hits"][:2]}, "hem", 3)


def test_second_note_is_valid_after_the_first() -> None:
    """Guards against a demonstration that publishes notes that instances refuse."""
    first = first_note(desk_servers([f"127.0.0.1:{2_000 + number}" for number in range(30)]))
    assert check_note(check_note(None, first).unwrap(), next_note(first)).unwrap().number == 2


def test_processes_are_killed_after_an_error(tmp_path: Path) -> None:
    """Guards against processes that keep running after a failed demonstration."""
    processes = Processes(tmp_path)
    processes.start("shell", "http.server", "--bind", "127.0.0.1", "0")
    child = processes.by_name["shell"]
    processes.kill_all()
    assert child.returncode is not None
    assert processes.by_name == {}
    processes.start("ended", "turmerictiller", "version")
    processes.by_name["ended"].wait()
    assert processes.ended() == ["ended"]
