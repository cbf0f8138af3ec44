"""Tests of what the demonstration relies on."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from bench.booking_desk import SERVICES, SHARDS, desk_servers, first_note, next_note, find_problems
from bench.processes import Processes
from standins.upstream import documents
from turmerictiller.core.configuration.notes import check_note
from turmerictiller.util.canonical import snapshot_name


def answer(missing: tuple[str, ...] = ()) -> dict[str, Any]:
    """Return a correct answer for three hits."""
    covered = [shard for shard in SHARDS if shard not in missing]
    hits = [hit for shard in covered for hit in documents(shard, 1, "hem")]
    hits.sort(key=lambda hit: (-hit["score"], hit["shard"], hit["id"]))
    by_service = {
        name: [item for item in SHARDS if item.startswith(f"{name}/")] for name in SERVICES
    }
    rows = [{"shard": shard, "service": "", "reason": "timed_out"} for shard in missing]
    coverage = {"merged": len(covered), "total": len(SHARDS), "missing": rows}
    return {"hits": hits[:3], "snapshot": snapshot_name(1, by_service), "coverage": coverage}


def test_wrong_answers_are_found() -> None:
    """Guards against a demonstration that succeeds whatever the instances answer."""
    assert find_problems(answer(), "hem", 3) == []
    best = answer()["hits"][0]["shard"]
    assert find_problems(answer((best,)), "hem", 3) == []
    untold = answer((best,))
    untold["coverage"] = answer()["coverage"]
    assert find_problems(untold, "hem", 3)
    claimed = answer()
    claimed["coverage"]["missing"] = answer((best,))["coverage"]["missing"]
    assert find_problems(claimed, "hem", 3)
    assert find_problems({**answer(), "snapshot": "1-000000000000"}, "hem", 3)
    assert find_problems({**answer(), "hits": answer()["hits"][:2]}, "hem", 3)


def test_notes_of_the_desk_follow_each_other() -> None:
    """Guards against a demonstration that publishes a note which instances refuse."""
    first = first_note(desk_servers([f"127.0.0.1:{2_000 + number}" for number in range(30)]))
    assert check_note(check_note(None, first).unwrap(), next_note(first)).unwrap().number == 2


def test_processes_are_ended_after_an_error(tmp_path: Path) -> None:
    """Guards against processes that a failed demonstration leaves behind."""
    processes = Processes(tmp_path)
    processes.start("shell", "http.server", "--bind", "127.0.0.1", "0")
    child = processes.by_name["shell"]
    processes.kill_all()
    assert child.returncode is not None
    assert processes.by_name == {}
    processes.start("ended", "turmerictiller", "version")
    processes.by_name["ended"].wait()
    assert processes.ended() == ["ended"]
