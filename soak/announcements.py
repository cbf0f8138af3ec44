"""Checks that instances heed what servers say in their answers, from what the servers received."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from soak.faults import DRAIN_S

if TYPE_CHECKING:
    from soak.deployment import Deployment

SLACK_S = 0.5  # requests that are under way when the server answers
MAX_LATE = 2  # requests that may reach a server in the time for which it wants none
# The first answer may have come to a connection that was just given up.
ANSWERS_UNTIL_KNOWN = 2


@dataclass
class Line:
    """What a server told of one request.

    :param told: empty for a run; else ``leaving`` or ``turned_away`` and a time.
    """

    at: float
    instance: int
    request: str
    told: list[str]


def check_announcements(run: Deployment) -> None:
    """Check that servers which leave, or ask for time, get no more than they may."""
    for server_id, child in run.servers.items():
        for life in child.lines_by_life:
            lines_by_instance: dict[int, list[Line]] = defaultdict(list)
            for text in life:
                line = _read(text)
                lines_by_instance[line.instance].append(line)
            for lines in lines_by_instance.values():
                _check_leaving(run, server_id, lines)
                _check_pauses(run, server_id, lines)


def _read(text: str) -> Line:
    at, _, request, _, _, *told = text.split(" ")
    return Line(float(at), int(request.partition("c")[0]), request, told)


def _check_leaving(run: Deployment, server_id: str, lines: list[Line]) -> None:
    answers = [line for line in lines if line.told[:1] == ["leaving"]]
    if len(answers) < ANSWERS_UNTIL_KNOWN:
        return
    known_at = answers[ANSWERS_UNTIL_KNOWN - 1].at
    for line in lines:
        is_late = line.at > known_at + DRAIN_S + SLACK_S and line.told[:1] != ["leaving"]
        if is_late and not _is_excused(run, server_id, line.instance, known_at, line.at):
            text = f"{server_id} said at {known_at:.3f} that it leaves and got {line.request}"
            run.book.problems.append(f"{text} at {line.at:.3f}")


def _check_pauses(run: Deployment, server_id: str, lines: list[Line]) -> None:
    for asked in lines:
        if asked.told[:1] != ["turned_away"] or float(asked.told[1]) == 0:
            continue
        until = asked.at + float(asked.told[1])
        late = [
            line
            for line in lines
            if asked.at + SLACK_S < line.at < until and line.told[:1] != ["leaving"]
        ]
        if len(late) <= MAX_LATE or _is_excused(run, server_id, asked.instance, asked.at, until):
            continue
        text = (
            f"{server_id} asked instance {asked.instance} at {asked.at:.3f} for {asked.told[1]} s"
        )
        run.book.problems.append(f"{text} and got {len(late)} requests")


def _is_excused(run: Deployment, server_id: str, instance: int, since: float, until: float) -> bool:
    """Return whether a process or a link was disturbed, so that the two may not know of each other."""
    signals = run.instances[instance].stopped_at + run.servers[server_id].stopped_at
    if any(since - DRAIN_S < at < until for at in signals):
        return True
    return any(began < until and ended > since - SLACK_S for began, ended in run.link_troubles)
