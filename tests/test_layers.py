"""Tests that imports between packages point one way."""

from __future__ import annotations

import ast
from functools import cache
from graphlib import TopologicalSorter
from pathlib import Path

PACKAGE = Path(__file__).parents[1] / "turmerictiller"
SHARED = {"clock", "errors", "phases", "util"}
# What each part of the product may import, besides itself.
ALLOWED = {
    "util": SHARED,
    "clock": set(),
    "errors": set(),
    "phases": set(),
    "config": SHARED,
    "explain": SHARED,
    "logs": SHARED | {"config"},
    "wire": set(),
    "core": SHARED | {"config"},
    "recording": SHARED | {"config", "core"},
    "borders": SHARED | {"config", "core", "logs", "recording", "wire"},
    "forwarding": SHARED,
    "transport": SHARED | {"forwarding", "wire"},
    "platform": SHARED | {"forwarding", "transport"},
    "cmd": SHARED | {"borders", "config", "core", "explain", "logs", "platform", "recording"},
    "__main__": {"cmd"},
}
# Modules that a decision has no use for; what waits, reads files or asks the time is a border's.
OF_BORDERS = {"aiohttp", "asyncio", "os", "pathlib", "signal", "socket", "threading", "time"}


def test_packages_import_only_what_is_below_them() -> None:
    """Guards against decisions that reach for sockets, and imports that go both ways."""
    found = [
        f"{module} imports {imported}"
        for module, imports in _imports().items()
        for imported in sorted(imports)
        if _part(imported) not in ALLOWED[_part(module)] | {_part(module), "__version__"}
    ]
    assert found == []


def test_modules_do_not_import_each_other() -> None:
    """Guards against modules that can only be read together, by imports for types as well."""
    tuple(TopologicalSorter(_imports()).static_order())


def test_decisions_do_no_input_or_output() -> None:
    """Guards against a reducer that waits, reads files or asks the time."""
    found = [
        f"{path.relative_to(PACKAGE)} imports {name}"
        for package in ("core", "forwarding")
        for path in sorted((PACKAGE / package).rglob("*.py"))
        for name in _names(path)
        if name.partition(".")[0] in OF_BORDERS
    ]
    assert found == []


def test_every_part_is_listed() -> None:
    """Guards against a new package that no rule covers."""
    parts = {path.stem for path in PACKAGE.iterdir() if path.suffix == ".py" or path.is_dir()}
    assert parts - {"__init__", "__pycache__"} == set(ALLOWED)


@cache
def _imports() -> dict[str, set[str]]:
    """Return the modules of the product that each module imports; generated code is left out."""
    paths = [path for path in PACKAGE.rglob("*.py") if PACKAGE / "wire" not in path.parents]
    modules = {_module(path) for path in paths}
    return {
        _module(path): {_nearest(name, modules) for name in _names(path) if _is_ours(name)}
        - {_module(path)}
        for path in paths
    }


def _names(path: Path) -> list[str]:
    found: list[str] = []
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            found += [alias.name for alias in node.names]
        elif isinstance(node, ast.ImportFrom):
            found += [f"{node.module}.{alias.name}" for alias in node.names]
    return found


def _is_ours(name: str) -> bool:
    return name.partition(".")[0] == PACKAGE.name


def _nearest(name: str, modules: set[str]) -> str:
    """Return the module that an imported name stands in."""
    while name not in modules and name.rpartition(".")[0].count("."):
        name = name.rpartition(".")[0]
    return name


def _module(path: Path) -> str:
    parts = path.relative_to(PACKAGE.parent).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" and len(parts) > 2 else parts)


def _part(module: str) -> str:
    return module.split(".")[1]
