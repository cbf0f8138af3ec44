"""The story of one request, from the structured logs of several instances."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import orjson

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

# Lines about what an instance believed, and the fields that name their subject.
BELIEFS = {
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
# A later line of the same group replaces an earlier one.
GROUPS = {
    "registry_regained": "registry_lost",
    "reconnected": "cut_off",
    "settings_rejected": "settings_reloaded",
}
HIDDEN = frozenset({"time", "at_ms", "instance", "event", "request"})


@dataclass
class Story:
    """Lines about one request and about what was believed while it was served.

    :param skipped: lines that are no JSON objects of this format.
    """

    lines: list[dict[str, Any]] = field(default_factory=list)
    beliefs: list[dict[str, Any]] = field(default_factory=list)
    skipped: int = 0


def read_story(request_id: str, lines: Iterable[bytes]) -> Story:
    """Collect the lines of a request, and what its instances believed when it ended."""
    story = Story()
    known: list[dict[str, Any]] = []
    for text in lines:
        try:
            line = orjson.loads(text)
            if not isinstance(line, dict):
                raise ValueError("not an object")
            key = (float(line["time"]), str(line["instance"]), str(line["event"]))
        except (ValueError, KeyError, TypeError):
            story.skipped += bool(text.strip())
            continue
        if line.get("request") == request_id:
            story.lines.append(line)
        elif key[2] in BELIEFS:
            known.append(line)
    story.lines.sort(key=lambda line: float(line["time"]))
    story.beliefs = _latest_beliefs(story.lines, known)
    return story


def _latest_beliefs(
    lines: list[dict[str, Any]], known: list[dict[str, Any]]
) -> list[dict[str, Any]]:
    """Return the last line of each subject before the request ended at its instance."""
    end_by_instance = {str(line["instance"]): float(line["time"]) for line in lines}
    servers = {server for line in lines for server in _servers_of(line)}
    latest: dict[tuple[str, ...], dict[str, Any]] = {}
    for line in sorted(known, key=lambda line: float(line["time"])):
        instance = str(line["instance"])
        if float(line["time"]) > end_by_instance.get(instance, float("-inf")):
            continue
        subject = [str(line.get(name)) for name in BELIEFS[line["event"]]]
        if subject and subject[0] not in servers:
            continue
        group = GROUPS.get(line["event"], line["event"])
        latest[instance, "server" if subject else group, *subject] = line
    return list(latest.values())


def _servers_of(line: dict[str, Any]) -> Iterator[str]:
    if isinstance(line.get("server"), str):
        yield line["server"]
    for part in line.get("missing") or ():
        if isinstance(part, dict):
            yield from (str(server) for server in part.get("asked") or ())
            yield from (str(server) for server in part.get("servers") or ())


def tell(story: Story) -> Iterator[str]:
    """Yield the story in sentences, oldest first; times are relative to its last line."""
    if not story.lines:
        yield "No line names this request."
    for line in story.lines:
        yield f"{_moment(line)} {_sentence(line)}"
    if story.beliefs:
        end = float(story.lines[-1]["time"])
        yield "Believed at that time:"
        for line in sorted(story.beliefs, key=lambda line: float(line["time"])):
            age_s = end - float(line["time"])
            yield f"  {age_s:.1f} s old, {line['instance']}: {line['event']}{_fields(line)}"
    if story.skipped:
        yield f"{story.skipped} lines could not be read and were skipped."


def _moment(line: dict[str, Any]) -> str:
    return f"{float(line['time']):.3f} {line['instance']}:"


def _sentence(line: dict[str, Any]) -> str:
    match line["event"]:
        case "refused":
            return f"refused at once: {line.get('reason')} (version {line.get('version')})."
        case "hedged":
            return (
                f"{line.get('service')} had not answered after {line.get('after_ms')} ms, usual are"
                f" {line.get('usual_ms')} ms; asked {line.get('server')} as well."
            )
        case "attempt_lost":
            again = "sent to another server" if line.get("sent_again") else "not sent again"
            return f"{line.get('service')}: {line.get('server')} {line.get('reason')}; {again}."
        case "request_ended":
            return _ending(line)
        case _:
            return f"{line['event']}{_fields(line)}"


def _ending(line: dict[str, Any]) -> str:
    text = (
        f"{line.get('outcome')} after {line.get('ms')} ms (target {line.get('target_ms')} ms, allowed"
        f" {line.get('budget_ms')} ms), route {line.get('route')}, version {line.get('version')}"
    )
    if line.get("parts"):
        text += f", {line['parts']} parts"
    missing = [part for part in line.get("missing") or () if isinstance(part, dict)]
    for part in missing:
        text += f"\n    {part.get('service')} is missing: {part.get('reason')}"
        for server, belief in (part.get("servers") or {}).items():
            text += f"\n      {server}: {belief}"
    return text if missing else f"{text}."


def _fields(line: dict[str, Any]) -> str:
    shown = [f"{name} {value}" for name, value in line.items() if name not in HIDDEN]
    return f" ({', '.join(shown)})" if shown else ""
