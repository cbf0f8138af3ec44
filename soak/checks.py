"""Checks of the promises, from what callers and servers saw and instances logged."""

from __future__ import annotations

import json
from collections import defaultdict
from typing import TYPE_CHECKING

from soak.faults import DRAIN_S

if TYPE_CHECKING:
    from soak.deployment import Deployment

# An instance that could not read the store has its news again within this time.
STORE_RETURN_S = 3.0
DRAIN_SLACK_S = 0.5  # between the clocks' readings of two processes
LEAST_SERVED = 0.9
MAX_RESIDENT_KB = 150_000
MAX_DESCRIPTORS = 500


def check_usage(run: Deployment) -> None:
    """Check that memory and descriptors stay bounded."""
    for child in run.instances:
        resident_kb, descriptors = child.usage()
        if resident_kb > MAX_RESIDENT_KB or descriptors > MAX_DESCRIPTORS:
            text = f"{child.name} uses {resident_kb} kB and {descriptors} descriptors"
            run.book.problems.append(text)


def check_recovery(run: Deployment, last: dict[str, int]) -> None:
    """Check that service has returned after the last fault."""
    served = sum(count for status, count in last.items() if status.endswith(" 200"))
    if served < LEAST_SERVED * sum(last.values()) or not served:
        run.book.problems.append(f"service has not returned: {dict(last)}")


def check_runs(run: Deployment) -> None:
    """Check what servers ran against what callers were told."""
    servers_by_request: dict[str, list[str]] = defaultdict(list)
    for server_id, child in run.servers.items():
        drained_at = run.drained_at_by_id.get(server_id, float("inf"))
        for line in (line for life in child.lines_by_life for line in life):
            at, _, request_id, method, path, *told = line.split(" ")
            if told:
                continue  # an answer, or a request that did not run
            if path.startswith("/once/"):
                servers_by_request[request_id].append(server_id)
            _check_drained(run, server_id, float(at), drained_at, f"{method} {path}")
    for request_id, servers in servers_by_request.items():
        if len(servers) > 1:
            run.book.problems.append(f"{request_id} ran {len(servers)} times: {servers}")
        if request_id in run.book.not_run:
            run.book.problems.append(f"{request_id} was refused as not run, and ran")
    for request_id, server_id in run.book.served_once.items():
        if servers_by_request[request_id] != [server_id]:
            run.book.problems.append(f"{request_id} was answered by {server_id}, but not run")


def _check_drained(
    run: Deployment, server_id: str, at: float, drained_at: float, path: str
) -> None:
    latest = drained_at + DRAIN_S + DRAIN_SLACK_S
    # Afterwards the server is published again. A store that can not be read hides the entry.
    if latest < at < drained_at + DRAIN_S + 2 and not _is_hidden(run, drained_at, at):
        run.book.problems.append(f"{server_id} drained at {drained_at:.3f} and ran {path} at {at}")


def _is_hidden(run: Deployment, since: float, until: float) -> bool:
    """Return whether the store could not be read in a time or shortly before it."""
    return any(
        since < ended + STORE_RETURN_S and began < until for began, ended in run.store_troubles
    )


def check_logs(run: Deployment) -> None:
    """Check that no instance failed or went back to an older configuration."""
    for child in run.instances:
        if child.errors:
            run.book.problems.append(f"{child.name} wrote errors: {child.errors[:3]}")
        for life in child.lines_by_life:
            events = []
            for line in life:
                try:
                    events.append(json.loads(line))
                except json.JSONDecodeError:
                    # A process that is killed leaves the last line unfinished.
                    continue
            faults = [event for event in events if event["event"].endswith("_failed")]
            if faults:
                run.book.problems.append(f"{child.name} failed: {faults[0]}")
            versions = [e["version"] for e in events if e["event"] == "configuration"]
            if versions != sorted(set(versions)):
                run.book.problems.append(f"{child.name} went back: {versions}")
