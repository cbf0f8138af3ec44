"""JSON form of events, effects and state, generic over data classes.

Data classes and enums of this package are written by module and name, so a new type or field needs
no change here. Reading creates nothing but these types and the containers below. A field whose name
contains ``secret`` is not written. A data class that is reached twice is written once if the caller
asks for it; lists, sets and dictionaries that two owners share are written twice.
"""

from __future__ import annotations

import dataclasses
import importlib
import math
import random
import re
from collections import Counter, OrderedDict, deque
from dataclasses import dataclass, field
from enum import Enum
from functools import cache
from typing import TYPE_CHECKING, Any

import orjson

from turmerictiller.config import Settings
from turmerictiller.errors import TraceError

if TYPE_CHECKING:
    from collections.abc import Callable

PACKAGE = "turmerictiller"
SECRET = "secret"
MAX_INT = 2**63 - 1  # larger numbers are no integers to the JSON library
_TYPE_NAME = re.compile(r"([a-z_][a-z0-9_.]*):([A-Za-z_][A-Za-z0-9_]*)")
_SEQUENCES: dict[type, str] = {tuple: "$tuple", deque: "$deque"}
_SETS: dict[type, str] = {set: "$set", frozenset: "$frozenset"}
_MAPPINGS: dict[type, str] = {dict: "$dict", Counter: "$counter", OrderedDict: "$ordered"}

_LAYOUTS: dict[type, tuple[str, tuple[str, ...]]] = {}  # one entry per data class of the package

Numbers = dict[int, int]


def dumps(value: Any, share: bool = False) -> bytes:
    """Return a value as one line of JSON.

    :param share: whether a data class that is reached twice is written once and then referred to.
    :raises TraceError: for a type that has no JSON form.
    """
    try:
        return orjson.dumps(encode(value, {} if share else None))
    except (orjson.JSONEncodeError, RecursionError) as error:
        raise TraceError(f"the value can not be written: {error}") from None


def loads(line: bytes, settings: Settings | None = None) -> Any:
    """Return the value of a line.

    :param settings: stands where the value refers to the settings of the process.
    :raises TraceError: for a line that ``dumps`` can not have written.
    """
    try:
        return decode(orjson.loads(line), Context(settings))
    except orjson.JSONDecodeError as error:
        raise TraceError(f"the line is not JSON: {error.msg}") from None


def encode(value: Any, numbers: Numbers | None = None) -> Any:
    """Return the JSON data for a value."""
    kind = type(value)
    if kind is str or kind is bool or value is None:
        return value
    if kind is int:
        return value if -MAX_INT <= value <= MAX_INT else {"$int": str(value)}
    if kind is float:
        return value if math.isfinite(value) else {"$float": repr(value)}
    if kind is list:
        return [encode(item, numbers) for item in value]
    if kind is dict and _is_plain(value):
        return {key: encode(item, numbers) for key, item in value.items()}
    if dataclasses.is_dataclass(kind):
        return _encode_dataclass(value, numbers)
    return _encode_other(value, numbers)


def _is_plain(value: dict[Any, Any]) -> bool:
    return all(type(key) is str and key[:1] != "$" for key in value)


def _encode_dataclass(value: Any, numbers: Numbers | None) -> dict[str, Any]:
    name, fields = _layout(type(value))
    encoded: dict[str, Any] = {"$": name}
    if numbers is not None:
        known = numbers.get(id(value))
        if known is not None:
            return {"$ref": known}
        encoded["$id"] = numbers[id(value)] = len(numbers)
    for key in fields:
        encoded[key] = encode(getattr(value, key), numbers)
    return encoded


def _encode_other(value: Any, numbers: Numbers | None) -> dict[str, Any]:
    kind = type(value)
    if kind in _SEQUENCES:
        items = [encode(item, numbers) for item in value]
        if isinstance(value, deque) and value.maxlen is not None:
            return {_SEQUENCES[kind]: items, "maxlen": value.maxlen}
        return {_SEQUENCES[kind]: items}
    if kind in _SETS:
        # Sorted, because the order of a set of strings differs between processes.
        return {_SETS[kind]: sorted((encode(item, numbers) for item in value), key=orjson.dumps)}
    if kind in _MAPPINGS:
        pairs = [[encode(key, numbers), encode(item, numbers)] for key, item in value.items()]
        return {_MAPPINGS[kind]: pairs}
    if isinstance(value, Enum):
        return {"$enum": _type_name(kind), "name": value.name}
    if kind is bytes:
        return {"$bytes": value.hex()}
    if kind is random.Random:
        version, numbers_state, gauss = value.getstate()
        return {"$random": [version, list(numbers_state), gauss]}
    if kind is Settings:
        return {"$settings": None}
    raise TraceError(f"{kind.__module__}.{kind.__qualname__} has no form in a trace")


def _layout(kind: Any) -> tuple[str, tuple[str, ...]]:
    """Return the name of a data class and the fields that are written."""
    known = _LAYOUTS.get(kind)
    if known is None:
        names = (item.name for item in dataclasses.fields(kind))
        known = _type_name(kind), tuple(name for name in names if SECRET not in name)
        _LAYOUTS[kind] = known
    return known


def _type_name(kind: type) -> str:
    package, _, module = kind.__module__.partition(".")
    if package != PACKAGE or "." in kind.__qualname__:
        raise TraceError(f"{kind.__module__}.{kind.__qualname__} has no form in a trace")
    return f"{module}:{kind.__qualname__}"


@dataclass
class Context:
    """What the reading of one line needs."""

    settings: Settings | None = None
    by_number: dict[int, Any] = field(default_factory=dict)


def decode(value: Any, context: Context) -> Any:
    """Return the value for JSON data.

    :raises TraceError: for data that ``encode`` can not have made.
    """
    try:
        return _decode(value, context)
    except (KeyError, TypeError, ValueError, AttributeError, RecursionError) as error:
        raise TraceError(f"the line has the wrong form: {type(error).__name__} {error}") from None


def _decode(value: Any, context: Context) -> Any:
    if isinstance(value, list):
        return [_decode(item, context) for item in value]
    if not isinstance(value, dict):
        return value
    tag = next(iter(value), "")
    if tag[:1] != "$":
        return {key: _decode(item, context) for key, item in value.items()}
    if tag == "$":
        return _decode_dataclass(value, context)
    if tag not in _DECODERS:
        raise TraceError(f"{tag} is no known form")
    return _DECODERS[tag](value, context)


def _decode_dataclass(value: dict[str, Any], context: Context) -> Any:
    kind, needed, accepted, without_init = _reader(value["$"])
    values = {key: _decode(item, context) for key, item in value.items() if key[0] != "$"}
    unknown = values.keys() - accepted - without_init
    if unknown:
        raise TraceError(f"{value['$']} has no field {min(unknown)}")
    missing = needed - values.keys()
    if missing:
        raise TraceError(f"{value['$']} needs the field {min(missing)}")
    made = kind(**{key: item for key, item in values.items() if key in accepted})
    for key in without_init & values.keys():
        object.__setattr__(made, key, values[key])
    if "$id" in value:
        context.by_number[value["$id"]] = made
    return made


@cache
def _reader(name: str) -> tuple[type, frozenset[str], frozenset[str], frozenset[str]]:
    """Return a data class with its needed, accepted and uninitialised fields."""
    kind = _find_type(name)
    if not dataclasses.is_dataclass(kind):
        raise TraceError(f"{name} is no data class")
    fields = dataclasses.fields(kind)
    needed = {item.name for item in fields if item.init and _has_no_default(item)}
    accepted = {item.name for item in fields if item.init}
    rest = {item.name for item in fields} - accepted
    return kind, frozenset(needed), frozenset(accepted), frozenset(rest)


def _has_no_default(item: dataclasses.Field[Any]) -> bool:
    return item.default is dataclasses.MISSING and item.default_factory is dataclasses.MISSING


def _find_type(name: str) -> type:
    match = _TYPE_NAME.fullmatch(name)
    if match is None:
        raise TraceError(f"{name!r} is no name of a type")
    try:
        module = importlib.import_module(f"{PACKAGE}.{match[1]}")
    except ImportError:
        raise TraceError(f"there is no module {match[1]}") from None
    kind = getattr(module, match[2], None)
    if not isinstance(kind, type) or kind.__module__ != module.__name__:
        raise TraceError(f"there is no type {name}")
    return kind


def _decode_enum(value: dict[str, Any], context: Context) -> Any:
    kind = _find_type(value["$enum"])
    if not issubclass(kind, Enum):
        raise TraceError(f"{value['$enum']} is no enum")
    return kind[value["name"]]


def _decode_random(value: dict[str, Any], context: Context) -> random.Random:
    version, numbers, gauss = value["$random"]
    generator = random.Random()
    generator.setstate((version, tuple(numbers), gauss))
    return generator


def _decode_settings(value: dict[str, Any], context: Context) -> Settings:
    if context.settings is None:
        raise TraceError("the line refers to settings that are not at hand")
    return context.settings


def _items_to(kind: Callable[[Any], Any], tag: str) -> Callable[[dict[str, Any], Context], Any]:
    return lambda value, context: kind([_decode(item, context) for item in value[tag]])


def _pairs_to(kind: Callable[[Any], Any], tag: str) -> Callable[[dict[str, Any], Context], Any]:
    return lambda value, context: kind(
        {_decode(key, context): _decode(item, context) for key, item in value[tag]}
    )


_DECODERS: dict[str, Callable[[dict[str, Any], Context], Any]] = {
    "$ref": lambda value, context: context.by_number[value["$ref"]],
    "$int": lambda value, context: int(value["$int"]),
    "$float": lambda value, context: float(value["$float"]),
    "$bytes": lambda value, context: bytes.fromhex(value["$bytes"]),
    "$deque": lambda value, context: deque(_decode(value["$deque"], context), value.get("maxlen")),
    "$enum": _decode_enum,
    "$random": _decode_random,
    "$settings": _decode_settings,
    "$tuple": _items_to(tuple, "$tuple"),
    **{tag: _items_to(kind, tag) for kind, tag in _SETS.items()},
    **{tag: _pairs_to(kind, tag) for kind, tag in _MAPPINGS.items()},
}
