"""Tests that the packages are layered: imports between them have no cycles."""

from __future__ import annotations

import ast
from functools import cache
from graphlib import TopologicalSorter
from pathlib import Path

PACKAGE = Path(__file__).parents[1] / "turmerictiller"
SHARED_MODULES = {"clock", "errors", "phases", "util"}
# The packages and modules that each package or module may import, besides itself.
ALLOWED_IMPORTS = {
    "util": SHARED_MODULES,
    "clock": set(),
    "errors": set(),
    "phases": set(),
    "config": SHARED_MODULES,
    "explain": SHARED_MODULES,
    "logs": SHARED_MODULES | {"config"},
    "wire": set(),
    "core": SHARED_MODULES | {"config"},
    "recording": SHARED_MODULES | {"config", "core"},
    "borders": SHARED_MODULES | {"config", "core", "logs", "recording", "wire"},
    "forwarding": SHARED_MODULES,
    "transport": SHARED_MODULES | {"forwarding", "wire"},
    "platform": SHARED_MODULES | {"forwarding", "transport"},
    "cmd": SHARED_MODULES
    | {"borders", "config", "core", "explain", "logs", "platform", "recording"},
    "__main__": {"cmd"},
}
# The decision code is pure: code that waits, reads files or the clock belongs to the I/O packages.
IO_MODULES = {"aiohttp", "asyncio", "os", "pathlib", "signal", "socket", "threading", "time"}


def test_packages_import_only_lower_layers() -> None:
    """Guards against decision code that uses sockets, and against mutual imports of packages."""
    violations = [
        f"{module} imports {imported}"
        for module, imports in _imports().items()
        for imported in sorted(imports)
        if _top_level_name(imported)
        not in ALLOWED_IMPORTS[_top_level_name(module)] | {_top_level_name(module), "__version__"}
    ]
    assert violations == []


def test_modules_have_no_import_cycles() -> None:
    """Guards against import cycles between modules, also through imports for type checking."""
    tuple(TopologicalSorter(_imports()).static_order())


def test_decision_code_imports_no_io_modules() -> None:
    """Guards against a reducer that blocks, reads files or reads the clock."""
    violations = [
        f"{path.relative_to(PACKAGE)} imports {name}"
        for package in ("core", "forwarding")
        for path in sorted((PACKAGE / package).rglob("*.py"))
        for name in _imported_names(path)
        if name.partition(".")[0] in IO_MODULES
    ]
    assert violations == []


def test_every_package_has_an_import_rule() -> None:
    """Guards against a new package that no rule covers."""
    parts = {path.stem for path in PACKAGE.iterdir() if path.suffix == ".py" or path.is_dir()}
    assert parts - {"__init__", "__pycache__"} == set(ALLOWED_IMPORTS)


@cache
def _imports() -> dict[str, set[str]]:
    """Return the internal modules that each module imports; skip generated code."""
    paths = [path for path in PACKAGE.rglob("*.py") if PACKAGE / "wire" not in path.parents]
    modules = {_module_name(path) for path in paths}
    return {
        _module_name(path): {
            _defining_module(name, modules) for name in _imported_names(path) if _is_internal(name)
        }
        - {_module_name(path)}
        for path in paths
    }


def _imported_names(path: Path) -> list[str]:
    names: list[str] = []
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names += [alias.name for alias in node.names]
        elif isinstance(node, ast.ImportFrom):
            names += [f"{node.module}.{alias.name}" for alias in node.names]
    return names


def _is_internal(name: str) -> bool:
    return name.partition(".")[0] == PACKAGE.name


def _defining_module(name: str, modules: set[str]) -> str:
    """Return the module that defines an imported name."""
    while name not in modules and name.rpartition(".")[0].count("."):
        name = name.rpartition(".")[0]
    return name


def _module_name(path: Path) -> str:
    parts = path.relative_to(PACKAGE.parent).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" and len(parts) > 2 else parts)


def _top_level_name(module: str) -> str:
    return module.split(".")[1]
