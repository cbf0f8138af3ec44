"""Checks of the guarantees, from results of callers, request logs of servers and instance logs."""

from __future__ import annotations

import json
from collections import defaultdict
from typing import TYPE_CHECKING

from soak.faults import DRAIN_S

if TYPE_CHECKING:
    from soak.deployment import Deployment

# Time after a store fault within which instances have read the missed changes.
STORE_RECOVERY_S = 3.0
DRAIN_SLACK_S = 0.5  # two processes read the clock at different times
MIN_SUCCESS_SHARE = 0.9
MAX_RESIDENT_KB = 150_000
MAX_DESCRIPTORS = 500


def check_usage(run: Deployment) -> None:
    """Check that memory and descriptors stay bounded."""
    for child in run.instances:
        resident_kb, descriptors = child.usage()
        if resident_kb > MAX_RESIDENT_KB or descriptors > MAX_DESCRIPTORS:
            text = f"{child.name} uses {resident_kb} kB and {descriptors} descriptors"
            run.results.problems.append(text)


def check_recovery(run: Deployment, last: dict[str, int]) -> None:
    """Check that the success rate has recovered after the last fault.

    :param last: answers by kind and status, and errors by type, after the recovery time.
    """
    served = sum(count for status, count in last.items() if status.endswith(" 200"))
    if served < MIN_SUCCESS_SHARE * sum(last.values()) or not served:
        run.results.problems.append(f"service has not recovered: {dict(last)}")


def check_runs(run: Deployment) -> None:
    """Compare the requests that servers executed with the answers that callers received."""
    servers_by_request: dict[str, list[str]] = defaultdict(list)
    for server_id, child in run.servers.items():
        drained_at = run.drained_at_by_id.get(server_id, float("inf"))
        for line in (line for lines in child.output_by_start for line in lines):
            at, _, request_id, method, path, *announcement = line.split(" ")
            if announcement:
                continue  # the line logs an answer, or a request that was not executed
            if path.startswith("/once/"):
                servers_by_request[request_id].append(server_id)
            _check_drained(run, server_id, float(at), drained_at, f"{method} {path}")
    for request_id, servers in servers_by_request.items():
        if len(servers) > 1:
            run.results.problems.append(f"{request_id} ran {len(servers)} times: {servers}")
        if request_id in run.results.not_run:
            run.results.problems.append(f"{request_id} was refused as not run, and ran")
    for request_id, server_id in run.results.served_once.items():
        if servers_by_request[request_id] != [server_id]:
            run.results.problems.append(
                f"{request_id} was answered by {server_id}, but not executed by it exactly once"
            )


def _check_drained(
    run: Deployment, server_id: str, at: float, drained_at: float, path: str
) -> None:
    latest = drained_at + DRAIN_S + DRAIN_SLACK_S
    # Later requests are allowed: the server is published as ready again. While the store cannot be
    # read, instances do not see the draining entry.
    if latest < at < drained_at + DRAIN_S + 2 and not _is_store_unreadable(run, drained_at, at):
        run.results.problems.append(
            f"{server_id} drained at {drained_at:.3f} and ran {path} at {at}"
        )


def _is_store_unreadable(run: Deployment, since: float, until: float) -> bool:
    """Return whether the store was unreadable during an interval or shortly before it."""
    return any(
        since < ended_at + STORE_RECOVERY_S and started_at < until
        for started_at, ended_at in run.store_faults
    )


def check_logs(run: Deployment) -> None:
    """Check that no instance logged a failure or reverted to an older configuration."""
    for child in run.instances:
        if child.errors:
            run.results.problems.append(f"{child.name} wrote to standard error: {child.errors[:3]}")
        for lines in child.output_by_start:
            events = []
            for line in lines:
                try:
                    events.append(json.loads(line))
                except json.JSONDecodeError:
                    # The last line of a killed process may be truncated.
                    continue
            faults = [event for event in events if event["event"].endswith("_failed")]
            if faults:
                run.results.problems.append(f"{child.name} failed: {faults[0]}")
            versions = [e["version"] for e in events if e["event"] == "configuration"]
            if versions != sorted(set(versions)):
                run.results.problems.append(f"{child.name} reverted its configuration: {versions}")
