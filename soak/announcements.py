"""Checks, from request logs of servers, that instances honour drain and backoff headers."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from soak.faults import DRAIN_S

if TYPE_CHECKING:
    from soak.deployment import Deployment

SLACK_S = 0.5  # for requests that are in flight when the server answers
MAX_REQUESTS_IN_BACKOFF = 2  # requests that a server may receive during its backoff
# The first answer may have arrived on a connection that the instance had just closed.
MIN_LEAVING_ANSWERS = 2


@dataclass
class RequestLogLine:
    """One line of a server's request log.

    :param at: wall time in seconds.
    :param announcement: empty for an executed request; else ``leaving``, or ``turned_away`` and the
        backoff in seconds.
    """

    at: float
    instance: int
    request: str
    announcement: list[str]


def check_announcements(run: Deployment) -> None:
    """Check that servers that drain or request a backoff receive no more requests than allowed."""
    for server_id, child in run.servers.items():
        for log in child.output_by_start:
            lines_by_instance: dict[int, list[RequestLogLine]] = defaultdict(list)
            for text in log:
                line = _parse_line(text)
                lines_by_instance[line.instance].append(line)
            for lines in lines_by_instance.values():
                _check_leaving(run, server_id, lines)
                _check_backoff(run, server_id, lines)


def _parse_line(text: str) -> RequestLogLine:
    at, _, request, _, _, *announcement = text.split(" ")
    return RequestLogLine(float(at), int(request.partition("c")[0]), request, announcement)


def _check_leaving(run: Deployment, server_id: str, lines: list[RequestLogLine]) -> None:
    answers = [line for line in lines if line.announcement[:1] == ["leaving"]]
    if len(answers) < MIN_LEAVING_ANSWERS:
        return
    announced_at = answers[MIN_LEAVING_ANSWERS - 1].at
    for line in lines:
        is_late = line.at > announced_at + DRAIN_S + SLACK_S and line.announcement[:1] != [
            "leaving"
        ]
        if is_late and not _is_disturbed(run, server_id, line.instance, announced_at, line.at):
            text = (
                f"{server_id} announced at {announced_at:.3f} that it leaves, "
                f"but received {line.request}"
            )
            run.results.problems.append(f"{text} at {line.at:.3f}")


def _check_backoff(run: Deployment, server_id: str, lines: list[RequestLogLine]) -> None:
    for rejection in lines:
        if rejection.announcement[:1] != ["turned_away"] or float(rejection.announcement[1]) == 0:
            continue
        until = rejection.at + float(rejection.announcement[1])
        late = [
            line
            for line in lines
            if rejection.at + SLACK_S < line.at < until and line.announcement[:1] != ["leaving"]
        ]
        if len(late) <= MAX_REQUESTS_IN_BACKOFF or _is_disturbed(
            run, server_id, rejection.instance, rejection.at, until
        ):
            continue
        text = (
            f"{server_id} sent instance {rejection.instance} at {rejection.at:.3f} a Retry-After "
            f"of {rejection.announcement[1]} s"
        )
        run.results.problems.append(f"{text}, but received {len(late)} requests")


def _is_disturbed(
    run: Deployment, server_id: str, instance: int, since: float, until: float
) -> bool:
    """Return whether a signal or link fault may have kept the announcement from the instance."""
    signals = run.instances[instance].signalled_at + run.servers[server_id].signalled_at
    if any(since - DRAIN_S < at < until for at in signals):
        return True
    return any(
        started_at < until and ended_at > since - SLACK_S
        for started_at, ended_at in run.link_faults
    )
