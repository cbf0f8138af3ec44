"""Request bodies of callers, validated before they are processed."""

from __future__ import annotations

from typing import Annotated, Any

import orjson
from pydantic import BaseModel, ConfigDict, Field

from turmerictiller.errors import BodyError

# orjson cannot serialize 254 levels or more, and a body that is accepted is also sent upstream.
MAX_DEPTH = 64
# orjson parses integers of more than 64 bits as floats, which would change them silently.
MAX_NUMBER = 2.0**63
MAX_NAME_CHARS = 256
MAX_TICKET_CHARS = 4_096

Deadline = Annotated[float, Field(allow_inf_nan=False)]


class SearchBody(BaseModel):
    """Body of a search request."""

    model_config = ConfigDict(extra="forbid", strict=True)

    query: str
    k: int | None = None
    deadline_ms: Deadline | None = None
    priority: Annotated[str, Field(max_length=MAX_NAME_CHARS)] | None = None
    cursor: Annotated[str, Field(max_length=MAX_TICKET_CHARS)] | None = None


class TicketBody(BaseModel):
    """Body of a ticket request: an empty object."""

    model_config = ConfigDict(extra="forbid", strict=True)


class RunBody(BaseModel):
    """Body of a non-idempotent request."""

    model_config = ConfigDict(extra="forbid", strict=True)

    ticket: Annotated[str, Field(max_length=MAX_TICKET_CHARS)]
    action: Annotated[str, Field(max_length=MAX_NAME_CHARS)]
    body: dict[str, Any] = {}
    deadline_ms: Deadline | None = None
    service: str | None = None


def parse_json(raw: bytes) -> Any:
    """Return the JSON value of a body.

    :raises BodyError: if it is not JSON, is nested too deeply, or contains a number that would not
        be sent upstream unchanged.
    """
    try:
        value = orjson.loads(raw)
    except orjson.JSONDecodeError as error:
        raise BodyError(f"the body is not JSON: {error.msg}") from None
    _check_depth_and_numbers(value)
    return value


def _check_depth_and_numbers(value: Any) -> None:
    level = [value]
    for _ in range(MAX_DEPTH + 1):
        level = [child for item in level for child in _children(item)]
        if not level:
            return
    raise BodyError(f"the body is nested more than {MAX_DEPTH} levels deep")


def _children(value: Any) -> list[Any]:
    if isinstance(value, dict):
        return list(value.values())
    if isinstance(value, list):
        return value
    if isinstance(value, int | float) and not -MAX_NUMBER <= value < MAX_NUMBER:
        raise BodyError("a number in the body is outside the range of 64 bits")
    return []
