"""Timeline of one request, from the structured logs of several instances."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import orjson

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

# Events that report a state that an instance observed, and the fields that identify their subject.
STATE_EVENTS = {
    "phase": (),
    "configuration": (),
    "registry_lost": (),
    "registry_regained": (),
    "cut_off": (),
    "reconnected": (),
    "settings_reloaded": (),
    "settings_rejected": (),
    "server_added": ("server",),
    "server_removed": ("server",),
    "server_draining": ("server",),
    "server_ejected": ("server",),
    "server_readmitted": ("server",),
    "server_leaving": ("server",),
    "server_paused": ("server",),
}
# Events of the same group supersede each other.
GROUP_BY_EVENT = {
    "registry_regained": "registry_lost",
    "reconnected": "cut_off",
    "settings_rejected": "settings_reloaded",
}
HIDDEN = frozenset({"time", "at_ms", "instance", "event", "request"})


@dataclass
class Timeline:
    """Log lines of one request, and the state that its instances had observed by its end.

    :param lines: lines of the request, oldest first.
    :param observations: latest line on each subject.
    :param skipped: number of lines that are not log lines of this format.
    """

    lines: list[dict[str, Any]] = field(default_factory=list)
    observations: list[dict[str, Any]] = field(default_factory=list)
    skipped: int = 0


def read_timeline(request_id: str, lines: Iterable[bytes]) -> Timeline:
    """Collect the lines of a request, and the state that its instances had observed at its end."""
    timeline = Timeline()
    state_lines: list[dict[str, Any]] = []
    for text in lines:
        try:
            line = orjson.loads(text)
            if not isinstance(line, dict):
                raise ValueError("not an object")
            header_fields = (float(line["time"]), str(line["instance"]), str(line["event"]))
        except (ValueError, KeyError, TypeError):
            timeline.skipped += bool(text.strip())
            continue
        if line.get("request") == request_id:
            timeline.lines.append(line)
        elif header_fields[2] in STATE_EVENTS:
            state_lines.append(line)
    timeline.lines.sort(key=lambda line: float(line["time"]))
    timeline.observations = _latest_observations(timeline.lines, state_lines)
    return timeline


def _latest_observations(
    lines: list[dict[str, Any]], state_lines: list[dict[str, Any]]
) -> list[dict[str, Any]]:
    """Return the last line on each subject before the request ended at the same instance."""
    end_by_instance = {str(line["instance"]): float(line["time"]) for line in lines}
    servers = {server for line in lines for server in _servers_of(line)}
    latest: dict[tuple[str, ...], dict[str, Any]] = {}
    for line in sorted(state_lines, key=lambda line: float(line["time"])):
        instance = str(line["instance"])
        if float(line["time"]) > end_by_instance.get(instance, float("-inf")):
            continue
        subject = [str(line.get(name)) for name in STATE_EVENTS[line["event"]]]
        if subject and subject[0] not in servers:
            continue
        group = GROUP_BY_EVENT.get(line["event"], line["event"])
        latest[instance, "server" if subject else group, *subject] = line
    return list(latest.values())


def _servers_of(line: dict[str, Any]) -> Iterator[str]:
    if isinstance(line.get("server"), str):
        yield line["server"]
    late = line.get("late_part")
    if isinstance(late, dict) and isinstance(late.get("server"), str):
        yield late["server"]
    for part in line.get("missing") or ():
        if isinstance(part, dict):
            yield from (str(server) for server in part.get("asked") or ())
            yield from (str(server) for server in part.get("servers") or ())


def format_timeline(timeline: Timeline) -> Iterator[str]:
    """Yield the timeline as text, oldest first.

    Ages of observations are relative to the last line of the request.
    """
    if not timeline.lines:
        yield "No log line belongs to this request."
    for line in timeline.lines:
        yield f"{_timestamp(line)} {_sentence(line)}"
    if timeline.observations:
        end = float(timeline.lines[-1]["time"])
        yield "Observed state at that time:"
        for line in sorted(timeline.observations, key=lambda line: float(line["time"])):
            age_s = end - float(line["time"])
            yield f"  {age_s:.1f} s old, {line['instance']}: {line['event']}{_fields(line)}"
    if timeline.skipped:
        yield f"{timeline.skipped} lines could not be read and were skipped."


def _timestamp(line: dict[str, Any]) -> str:
    return f"{float(line['time']):.3f} {line['instance']}:"


def _sentence(line: dict[str, Any]) -> str:
    match line["event"]:
        case "refused":
            return f"refused immediately: {line.get('reason')} (version {line.get('version')})."
        case "hedged":
            return (
                f"{line.get('service')} had not answered after {line.get('after_ms')} ms, the"
                f" usual time is {line.get('usual_ms')} ms; sent a hedge to {line.get('server')}."
            )
        case "attempt_lost":
            retry_text = "retried on another server" if line.get("sent_again") else "not sent again"
            return (
                f"{line.get('service')}: {line.get('server')} {line.get('reason')}; {retry_text}."
            )
        case "request_ended":
            return _summary(line)
        case _:
            return f"{line['event']}{_fields(line)}"


def _summary(line: dict[str, Any]) -> str:
    text = (
        f"{line.get('outcome')} after {line.get('ms')} ms (target {line.get('target_ms')} ms,"
        f" allowed {line.get('budget_ms')} ms), route {line.get('route')},"
        f" version {line.get('version')}"
    )
    if line.get("parts"):
        text += f", {line['parts']} parts"
    late = line.get("late_part")
    if isinstance(late, dict) and late:
        text += (
            f"\n    late because of {late.get('service')}: {late.get('server')} took"
            f" {late.get('ms')} ms, sent after {late.get('sent_after_ms')} ms, with"
            f" {late.get('in_flight')} in flight, the oldest for {late.get('oldest_ms')} ms"
        )
    missing = [part for part in line.get("missing") or () if isinstance(part, dict)]
    for part in missing:
        text += f"\n    {part.get('service')} is missing: {part.get('reason')}"
        for server, observation in (part.get("servers") or {}).items():
            text += f"\n      {server}: {observation}"
    return text if missing else f"{text}."


def _fields(line: dict[str, Any]) -> str:
    shown = [f"{name} {value}" for name, value in line.items() if name not in HIDDEN]
    return f" ({', '.join(shown)})" if shown else ""
