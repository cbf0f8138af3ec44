"""Validation of release notes and construction of their configuration.

``check_note`` is a pure function: for the same pair of notes every instance gets the same result.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from enum import Enum
from typing import Any, TypeVar

from pydantic import ValidationError
from result import Err, Ok, Result

from turmerictiller.core.configuration.note_model import (
    DefinitionsModel,
    FrontModel,
    NoteModel,
    ServiceModel,
    WithdrawnModel,
    to_document,
)
from turmerictiller.core.fronts import (
    Configuration,
    Front,
    NoteInForce,
    OverloadPolicy,
    Priority,
    Server,
    Service,
)
from turmerictiller.util.canonical import digest

MAX_NUMBER_GAP = 1_000  # otherwise a mistyped number would block all later notes


class NoteErrorType(Enum):
    """Reasons for the refusal of a release note."""

    MALFORMED = "malformed"
    DUPLICATE_NAME = "duplicate_name"
    UNKNOWN_NAME = "unknown_name"
    CYCLE = "cycle"
    INCONSISTENT = "inconsistent"
    RESULT_MISMATCH = "result_mismatch"
    OLDER_NOTE = "older_note"
    CONFLICTING_NOTE = "conflicting_note"
    WRONG_PREVIOUS = "wrong_previous"
    NUMBER_GAP = "number_gap"


@dataclass(frozen=True, slots=True)
class NoteError:
    """An error in a release note.

    :param place: path of the faulty value, such as ``result.fronts.0.k_max``.
    """

    type: NoteErrorType
    place: str
    message: str


NoteErrors = list[NoteError]
Definition = TypeVar("Definition", ServiceModel, FrontModel)


def parse_note(document: Any) -> Result[NoteModel, NoteErrors]:
    """Validate the structure of a note."""
    try:
        return Ok(NoteModel.model_validate(document))
    except ValidationError as error:
        return Err(
            [
                NoteError(
                    NoteErrorType.MALFORMED,
                    ".".join(str(part) for part in item["loc"]) or "note",
                    item["msg"],
                )
                for item in error.errors(include_url=False, include_input=False)
            ]
        )


def check_note(
    current: NoteInForce | None, document: Any, max_deadline_ms: float = 600_000
) -> Result[NoteInForce, NoteErrors]:
    """Validate a note as the successor of ``current``; return it, or the errors found in it.

    An invalid structure, number or predecessor ends the validation early.
    """
    parsed = parse_note(document)
    if isinstance(parsed, Err):
        return parsed
    note = parsed.ok_value
    canonical_document = to_document(note)
    note_digest = digest(canonical_document)
    errors = _check_order(current, note, note_digest)
    if errors:
        return Err(errors)
    errors = _check_definitions(note.result, "result", max_deadline_ms)
    if current is not None and note.number == current.number + 1:
        errors += _check_changes(_current_definitions(current), note)
    elif note.number == 1:
        errors += _check_changes(DefinitionsModel(), note)
    if errors:
        return Err(errors)
    return Ok(
        NoteInForce(note.number, note_digest, resolve_definitions(note.result), canonical_document)
    )


def seal_note(
    current: NoteInForce | None,
    added: DefinitionsModel,
    changed: DefinitionsModel,
    withdrawn: WithdrawnModel,
) -> Result[dict[str, Any], NoteErrors]:
    """Build the document of the next note, which applies the given changes to ``current``."""
    base = _current_definitions(current)
    applied = _apply_changes(base, added, changed, withdrawn)
    if isinstance(applied, Err):
        return applied
    note = NoteModel(
        number=current.number + 1 if current else 1,
        previous=current.digest if current else "",
        added=added,
        changed=changed,
        withdrawn=withdrawn,
        result=applied.ok_value,
    )
    document = to_document(note)
    checked = check_note(current, document)
    if isinstance(checked, Err):
        return checked
    return Ok(document)


def resolve_definitions(definitions: DefinitionsModel) -> Configuration:
    """Return the configuration with included fronts resolved; the definitions must be valid."""
    services = {model.name: _build_service(model) for model in definitions.services}
    models = {model.name: model for model in definitions.fronts}
    fronts = {
        name: _build_front(model, {key: services[key] for key in _service_names(model, models)})
        for name, model in models.items()
    }
    return Configuration(fronts_by_name=fronts, services_by_name=services)


def _current_definitions(current: NoteInForce | None) -> DefinitionsModel:
    if current is None:
        return DefinitionsModel()
    return NoteModel.model_validate(current.document).result


def _check_order(current: NoteInForce | None, note: NoteModel, note_digest: str) -> NoteErrors:
    if current is None:
        return []
    if note.number < current.number:
        message = f"number {note.number} is older than {current.number}, which is in force"
        return [NoteError(NoteErrorType.OLDER_NOTE, "number", message)]
    if note.number == current.number:
        if note_digest == current.digest:
            return []
        message = f"another note with number {note.number} is in force"
        return [NoteError(NoteErrorType.CONFLICTING_NOTE, "number", message)]
    if note.number > current.number + MAX_NUMBER_GAP:
        message = f"number {note.number} is more than {MAX_NUMBER_GAP} above {current.number}"
        return [NoteError(NoteErrorType.NUMBER_GAP, "number", message)]
    if note.number == current.number + 1 and note.previous != current.digest:
        message = "previous is not the digest of the note in force"
        return [NoteError(NoteErrorType.WRONG_PREVIOUS, "previous", message)]
    return []


def _check_definitions(
    definitions: DefinitionsModel, place: str, max_deadline_ms: float
) -> NoteErrors:
    errors = _check_duplicates(definitions, place)
    service_names = {service.name for service in definitions.services}
    fronts_by_name = {front.name: front for front in definitions.fronts}
    for index, front in enumerate(definitions.fronts):
        front_place = f"{place}.fronts.{index}"
        for name in front.services:
            if name not in service_names:
                errors.append(_unknown_name_error(f"{front_place}.services", "service", name))
        for name in front.includes:
            if name not in fronts_by_name:
                errors.append(_unknown_name_error(f"{front_place}.includes", "front", name))
        errors += _check_deadlines(front, front_place, max_deadline_ms)
    for front_name in _fronts_in_cycles(fronts_by_name):
        index = definitions.fronts.index(fronts_by_name[front_name])
        message = f"front {front_name} includes itself"
        errors.append(NoteError(NoteErrorType.CYCLE, f"{place}.fronts.{index}.includes", message))
    if errors:
        return errors
    for index, front in enumerate(definitions.fronts):
        if not _service_names(front, fronts_by_name):
            message = f"front {front.name} has no service"
            errors.append(
                NoteError(NoteErrorType.INCONSISTENT, f"{place}.fronts.{index}.services", message)
            )
    return errors


def _check_deadlines(front: FrontModel, front_place: str, max_deadline_ms: float) -> NoteErrors:
    errors = []
    if front.deadline_default_ms > front.deadline_max_ms:
        errors.append(
            NoteError(
                NoteErrorType.INCONSISTENT,
                f"{front_place}.deadline_default_ms",
                "must not be longer than deadline_max_ms",
            )
        )
    if front.deadline_max_ms > max_deadline_ms:
        errors.append(
            NoteError(
                NoteErrorType.INCONSISTENT,
                f"{front_place}.deadline_max_ms",
                f"must not be longer than {max_deadline_ms:g} ms, the limit of the instances",
            )
        )
    return errors


def _check_duplicates(definitions: DefinitionsModel, place: str) -> NoteErrors:
    server_ids = [server.id for service in definitions.services for server in service.servers]
    addresses = [server.address for service in definitions.services for server in service.servers]
    name_groups = [
        (f"{place}.services", "service", [service.name for service in definitions.services]),
        (f"{place}.fronts", "front", [front.name for front in definitions.fronts]),
        (f"{place}.services", "server", server_ids),
        (f"{place}.services", "address", addresses),
    ]
    for index, front in enumerate(definitions.fronts):
        name_groups.append((f"{place}.fronts.{index}.services", "service", list(front.services)))
        name_groups.append((f"{place}.fronts.{index}.includes", "front", list(front.includes)))
        name_groups.append((f"{place}.fronts.{index}.actions", "action", list(front.actions)))
    return [
        NoteError(
            NoteErrorType.DUPLICATE_NAME, group_place, f"{kind} {name} is listed {count} times"
        )
        for group_place, kind, names in name_groups
        for name, count in Counter(names).items()
        if count > 1
    ]


def _unknown_name_error(place: str, kind: str, name: str) -> NoteError:
    return NoteError(NoteErrorType.UNKNOWN_NAME, place, f"{kind} {name} is not defined")


def _fronts_in_cycles(fronts_by_name: dict[str, FrontModel]) -> list[str]:
    """Return the names of the fronts that include themselves, directly or not."""
    in_cycle = []
    for start in fronts_by_name:
        visited: set[str] = set()
        pending = list(fronts_by_name[start].includes)
        while pending:
            name = pending.pop()
            if name in visited or name not in fronts_by_name:
                continue
            visited.add(name)
            pending.extend(fronts_by_name[name].includes)
        if start in visited:
            in_cycle.append(start)
    return in_cycle


def _service_names(front: FrontModel, fronts_by_name: dict[str, FrontModel]) -> list[str]:
    names: dict[str, None] = {}
    visited: set[str] = set()
    pending = [front]
    while pending:
        model = pending.pop()
        if model.name in visited:
            continue
        visited.add(model.name)
        names.update(dict.fromkeys(model.services))
        pending.extend(fronts_by_name[name] for name in model.includes)
    return list(names)


def _check_changes(base: DefinitionsModel, note: NoteModel) -> NoteErrors:
    applied = _apply_changes(base, note.added, note.changed, note.withdrawn)
    if isinstance(applied, Err):
        return applied.err_value
    if _index_by_name(applied.ok_value) != _index_by_name(note.result):
        message = "the changes applied to the note in force do not give this result"
        return [NoteError(NoteErrorType.RESULT_MISMATCH, "result", message)]
    return []


def _index_by_name(definitions: DefinitionsModel) -> tuple[dict[str, Any], dict[str, Any]]:
    return (
        {service.name: service for service in definitions.services},
        {front.name: front for front in definitions.fronts},
    )


def _apply_changes(
    base: DefinitionsModel,
    added: DefinitionsModel,
    changed: DefinitionsModel,
    withdrawn: WithdrawnModel,
) -> Result[DefinitionsModel, NoteErrors]:
    services, service_errors = _apply_changes_to_kind(
        "services", base.services, added.services, changed.services, withdrawn.services
    )
    fronts, front_errors = _apply_changes_to_kind(
        "fronts", base.fronts, added.fronts, changed.fronts, withdrawn.fronts
    )
    errors = service_errors + front_errors
    if errors:
        return Err(errors)
    return Ok(DefinitionsModel(services=services, fronts=fronts))


def _apply_changes_to_kind(
    kind: str,
    base: list[Definition],
    added: list[Definition],
    changed: list[Definition],
    withdrawn: list[str],
) -> tuple[list[Definition], NoteErrors]:
    by_name = {item.name: item for item in base}
    errors: NoteErrors = []
    change_counts = Counter(
        [item.name for item in added] + [item.name for item in changed] + withdrawn
    )
    for name, count in change_counts.items():
        if count > 1:
            message = f"{name} is named {count} times in added, changed and withdrawn"
            errors.append(NoteError(NoteErrorType.DUPLICATE_NAME, kind, message))
    for index, item in enumerate(added):
        if item.name in by_name:
            message = f"{item.name} is already defined; list it under changed"
            place = f"added.{kind}.{index}"
            errors.append(NoteError(NoteErrorType.DUPLICATE_NAME, place, message))
    for index, item in enumerate(changed):
        if item.name not in by_name:
            errors.append(_unknown_name_error(f"changed.{kind}.{index}", kind[:-1], item.name))
    for index, name in enumerate(withdrawn):
        if name not in by_name:
            errors.append(_unknown_name_error(f"withdrawn.{kind}.{index}", kind[:-1], name))
    by_name.update({item.name: item for item in added})
    by_name.update({item.name: item for item in changed})
    for name in withdrawn:
        by_name.pop(name, None)
    return list(by_name.values()), errors


def _build_service(model: ServiceModel) -> Service:
    servers = {
        server.id: Server(server.id, server.address, server.domain) for server in model.servers
    }
    return Service(model.name, servers, model.slots, model.connections, model.open_ms)


def _build_front(model: FrontModel, services_by_name: dict[str, Service]) -> Front:
    return Front(
        name=model.name,
        services_by_name=services_by_name,
        actions=frozenset(model.actions),
        k_max=model.k_max,
        deadline_default_ms=model.deadline_default_ms,
        deadline_max_ms=model.deadline_max_ms,
        coverage_floor=model.coverage_floor,
        overload=OverloadPolicy(model.overload),
        priority=Priority(model.priority),
    )
