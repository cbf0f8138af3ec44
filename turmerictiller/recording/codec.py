"""JSON encoding of events, effects and state, generic over data classes.

Data classes and enums of this package are encoded by module and name, so that a new type or field
needs no change here. Decoding creates only these types and the containers below. A field whose name
contains ``secret`` is not encoded. On request, a data class instance that is reached twice is
encoded once and then referred to; shared lists, sets and dictionaries are encoded once per owner.
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
MAX_INT = 2**63 - 1  # orjson cannot encode larger integers
_TYPE_NAME = re.compile(r"([a-z_][a-z0-9_.]*):([A-Za-z_][A-Za-z0-9_]*)")
_SEQUENCES: dict[type, str] = {tuple: "$tuple", deque: "$deque"}
_SETS: dict[type, str] = {set: "$set", frozenset: "$frozenset"}
_MAPPINGS: dict[type, str] = {dict: "$dict", Counter: "$counter", OrderedDict: "$ordered"}

_LAYOUTS: dict[type, tuple[str, tuple[str, ...]]] = {}  # by data class of the package

ObjectIds = dict[int, int]


def dumps(value: Any, share: bool = False) -> bytes:
    """Return a value as one line of JSON.

    :param share: whether a data class instance that is reached twice is encoded once and then
        referred to.
    :raises TraceError: if a value cannot be encoded.
    """
    try:
        return orjson.dumps(encode(value, {} if share else None))
    except (orjson.JSONEncodeError, RecursionError) as error:
        raise TraceError(f"the value can not be written: {error}") from None


def loads(line: bytes, settings: Settings | None = None) -> Any:
    """Return the value that a line of JSON encodes.

    :param settings: inserted where the value refers to the settings of the process.
    :raises TraceError: if the line is not an output of ``dumps``.
    """
    try:
        return decode(orjson.loads(line), DecodeContext(settings))
    except orjson.JSONDecodeError as error:
        raise TraceError(f"the line is not JSON: {error.msg}") from None


def encode(value: Any, ids_by_object: ObjectIds | None = None) -> Any:
    """Return the JSON data for a value.

    :param ids_by_object: identifiers of the data class instances that are encoded already, by their
        ``id()``; ``None`` to encode each occurrence in full.
    :raises TraceError: if a value cannot be encoded.
    """
    kind = type(value)
    if kind is str or kind is bool or value is None:
        return value
    if kind is int:
        return value if -MAX_INT <= value <= MAX_INT else {"$int": str(value)}
    if kind is float:
        return value if math.isfinite(value) else {"$float": repr(value)}
    if kind is list:
        return [encode(item, ids_by_object) for item in value]
    if kind is dict and _has_plain_keys(value):
        return {key: encode(item, ids_by_object) for key, item in value.items()}
    if dataclasses.is_dataclass(kind):
        return _encode_dataclass(value, ids_by_object)
    return _encode_other(value, ids_by_object)


def _has_plain_keys(value: dict[Any, Any]) -> bool:
    return all(type(key) is str and key[:1] != "$" for key in value)


def _encode_dataclass(value: Any, ids_by_object: ObjectIds | None) -> dict[str, Any]:
    name, fields = _layout(type(value))
    encoded: dict[str, Any] = {"$": name}
    if ids_by_object is not None:
        object_id = ids_by_object.get(id(value))
        if object_id is not None:
            return {"$ref": object_id}
        encoded["$id"] = ids_by_object[id(value)] = len(ids_by_object)
    for key in fields:
        encoded[key] = encode(getattr(value, key), ids_by_object)
    return encoded


def _encode_other(value: Any, ids_by_object: ObjectIds | None) -> dict[str, Any]:
    kind = type(value)
    if kind in _SEQUENCES:
        items = [encode(item, ids_by_object) for item in value]
        if isinstance(value, deque) and value.maxlen is not None:
            return {_SEQUENCES[kind]: items, "maxlen": value.maxlen}
        return {_SEQUENCES[kind]: items}
    if kind in _SETS:
        # Sorted, because the iteration order of a set of strings differs between processes.
        return {
            _SETS[kind]: sorted((encode(item, ids_by_object) for item in value), key=orjson.dumps)
        }
    if kind in _MAPPINGS:
        pairs = [
            [encode(key, ids_by_object), encode(item, ids_by_object)] for key, item in value.items()
        ]
        return {_MAPPINGS[kind]: pairs}
    if isinstance(value, Enum):
        return {"$enum": _type_name(kind), "name": value.name}
    if kind is bytes:
        return {"$bytes": value.hex()}
    if kind is random.Random:
        version, generator_state, gauss = value.getstate()
        return {"$random": [version, list(generator_state), gauss]}
    if kind is Settings:
        return {"$settings": None}
    raise TraceError(f"{kind.__module__}.{kind.__qualname__} has no form in a trace")


def _layout(kind: Any) -> tuple[str, tuple[str, ...]]:
    """Return the name of a data class and the fields that are encoded."""
    layout = _LAYOUTS.get(kind)
    if layout is None:
        names = (item.name for item in dataclasses.fields(kind))
        layout = _type_name(kind), tuple(name for name in names if SECRET not in name)
        _LAYOUTS[kind] = layout
    return layout


def _type_name(kind: type) -> str:
    package, _, module = kind.__module__.partition(".")
    if package != PACKAGE or "." in kind.__qualname__:
        raise TraceError(f"{kind.__module__}.{kind.__qualname__} has no form in a trace")
    return f"{module}:{kind.__qualname__}"


@dataclass
class DecodeContext:
    """State of the decoding of one line.

    :param objects_by_id: decoded data class instances by their identifier in the line.
    """

    settings: Settings | None = None
    objects_by_id: dict[int, Any] = field(default_factory=dict)


def decode(value: Any, context: DecodeContext) -> Any:
    """Return the value for JSON data.

    :raises TraceError: if the data is not an output of ``encode``.
    """
    try:
        return _decode(value, context)
    except (KeyError, TypeError, ValueError, AttributeError, RecursionError) as error:
        raise TraceError(f"malformed line: {type(error).__name__} {error}") from None


def _decode(value: Any, context: DecodeContext) -> Any:
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
        raise TraceError(f"unknown tag {tag}")
    return _DECODERS[tag](value, context)


def _decode_dataclass(value: dict[str, Any], context: DecodeContext) -> Any:
    kind, required, accepted, non_init = _decoding_layout(value["$"])
    values = {key: _decode(item, context) for key, item in value.items() if key[0] != "$"}
    unknown = values.keys() - accepted - non_init
    if unknown:
        raise TraceError(f"{value['$']} has no field {min(unknown)}")
    missing = required - values.keys()
    if missing:
        raise TraceError(f"{value['$']} lacks the field {min(missing)}")
    instance = kind(**{key: item for key, item in values.items() if key in accepted})
    for key in non_init & values.keys():
        object.__setattr__(instance, key, values[key])
    if "$id" in value:
        context.objects_by_id[value["$id"]] = instance
    return instance


@cache
def _decoding_layout(name: str) -> tuple[type, frozenset[str], frozenset[str], frozenset[str]]:
    """Return a data class with its required, accepted and non-init fields."""
    kind = _find_type(name)
    if not dataclasses.is_dataclass(kind):
        raise TraceError(f"{name} is not a data class")
    fields = dataclasses.fields(kind)
    required = {item.name for item in fields if item.init and _is_required(item)}
    accepted = {item.name for item in fields if item.init}
    non_init = {item.name for item in fields} - accepted
    return kind, frozenset(required), frozenset(accepted), frozenset(non_init)


def _is_required(item: dataclasses.Field[Any]) -> bool:
    return item.default is dataclasses.MISSING and item.default_factory is dataclasses.MISSING


def _find_type(name: str) -> type:
    match = _TYPE_NAME.fullmatch(name)
    if match is None:
        raise TraceError(f"{name!r} is not a type name")
    try:
        module = importlib.import_module(f"{PACKAGE}.{match[1]}")
    except ImportError:
        raise TraceError(f"module {match[1]} does not exist") from None
    kind = getattr(module, match[2], None)
    if not isinstance(kind, type) or kind.__module__ != module.__name__:
        raise TraceError(f"type {name} does not exist")
    return kind


def _decode_enum(value: dict[str, Any], context: DecodeContext) -> Any:
    kind = _find_type(value["$enum"])
    if not issubclass(kind, Enum):
        raise TraceError(f"{value['$enum']} is not an enum")
    return kind[value["name"]]


def _decode_random(value: dict[str, Any], context: DecodeContext) -> random.Random:
    version, generator_state, gauss = value["$random"]
    generator = random.Random()
    generator.setstate((version, tuple(generator_state), gauss))
    return generator


def _decode_settings(value: dict[str, Any], context: DecodeContext) -> Settings:
    if context.settings is None:
        raise TraceError("the line refers to settings that were not given")
    return context.settings


def _sequence_decoder(
    kind: Callable[[Any], Any], tag: str
) -> Callable[[dict[str, Any], DecodeContext], Any]:
    return lambda value, context: kind([_decode(item, context) for item in value[tag]])


def _mapping_decoder(
    kind: Callable[[Any], Any], tag: str
) -> Callable[[dict[str, Any], DecodeContext], Any]:
    return lambda value, context: kind(
        {_decode(key, context): _decode(item, context) for key, item in value[tag]}
    )


_DECODERS: dict[str, Callable[[dict[str, Any], DecodeContext], Any]] = {
    "$ref": lambda value, context: context.objects_by_id[value["$ref"]],
    "$int": lambda value, context: int(value["$int"]),
    "$float": lambda value, context: float(value["$float"]),
    "$bytes": lambda value, context: bytes.fromhex(value["$bytes"]),
    "$deque": lambda value, context: deque(_decode(value["$deque"], context), value.get("maxlen")),
    "$enum": _decode_enum,
    "$random": _decode_random,
    "$settings": _decode_settings,
    "$tuple": _sequence_decoder(tuple, "$tuple"),
    **{tag: _sequence_decoder(kind, tag) for kind, tag in _SETS.items()},
    **{tag: _mapping_decoder(kind, tag) for kind, tag in _MAPPINGS.items()},
}
