"""The package's import graph has no cycles, counting imports within functions and for types alone."""

import ast
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).parent.parent


def modules_of(root: Path, package: str) -> dict[str, Path]:
    """Return the paths of a package's modules by dotted name; an `__init__` has its package's name."""
    path_by_module = {}
    for path in sorted((root / package).rglob("*.py")):
        parts = path.relative_to(root).with_suffix("").parts
        path_by_module[".".join(parts[:-1] if parts[-1] == "__init__" else parts)] = path
    return path_by_module


def imported_names(module: str, path: Path) -> Iterator[str]:
    """Yield the names that a module imports, also in functions and for types; `from a import b` gives a.b."""
    package = module if path.name == "__init__.py" else module.rpartition(".")[0]
    for node in ast.walk(ast.parse(path.read_text(), str(path))):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            parents = package.split(".")[: len(package.split(".")) + 1 - node.level] if node.level else []
            base = ".".join([*parents, *([node.module] if node.module else [])])
            yield from (f"{base}.{alias.name}" for alias in node.names)


def import_graph(root: Path, package: str) -> dict[str, set[str]]:
    """Return the modules that each module imports.

    An import from outside a package also runs the package's `__init__`; for modules within it, it has run.
    """
    known = modules_of(root, package)
    graph: dict[str, set[str]] = {}
    for module, path in known.items():
        graph[module] = set()
        for name in imported_names(module, path):
            while name and name not in known:  # a name within a module stands for the module
                name = name.rpartition(".")[0]
            while name:
                if name != module and not module.startswith(f"{name}."):
                    graph[module].add(name)
                name = name.rpartition(".")[0]
    return graph


def import_cycles(graph: dict[str, set[str]]) -> list[list[str]]:
    """Return the groups of modules that import each other, directly or through others."""
    reachable: dict[str, set[str]] = {}
    for start in graph:
        pending, reachable[start] = [start], set()
        while pending:
            for target in graph[pending.pop()] - reachable[start]:
                reachable[start].add(target)
                pending.append(target)
    groups = {tuple(sorted(b for b in reachable[a] if a in reachable[b])) for a in graph if a in reachable[a]}
    return [list(group) for group in sorted(groups)]


def test_package_has_no_import_cycles() -> None:
    graph = import_graph(ROOT, "umberlead")
    assert len(graph) > 80 and sum(map(len, graph.values())) > 250  # the sources were read
    assert (
        "umberlead.membership.integration" in graph["umberlead.daemon.endpoint_list_sync"]
    )  # imported within a function
    assert "umberlead.net.endpoint_pool" in graph["umberlead.membership.integration"]  # for types only
    assert import_cycles(graph) == []


def test_import_cycles_within_functions_and_type_imports_are_found(tmp_path: Path) -> None:
    files = {
        "p/__init__.py": "",
        "p/a.py": "def f():\n    from p import b\n",
        "p/b.py": "import p.q.c\n",
        "p/q/__init__.py": "from ..a import f\n",
        "p/q/c.py": "",
        "p/d.py": "from .q import c\nimport p.a\n",
        "p/e.py": "from typing import TYPE_CHECKING\nif TYPE_CHECKING:\n    from p.f import X\n",
        "p/f.py": "async def g():\n    with open('x'):\n        import p.e as e\nclass X: ...\n",
    }
    for name, text in files.items():
        (tmp_path / name).parent.mkdir(parents=True, exist_ok=True)
        (tmp_path / name).write_text(text)
    assert import_cycles(import_graph(tmp_path, "p")) == [["p.a", "p.b", "p.q"], ["p.e", "p.f"]]


def test_start_of_a_front_does_not_import_the_command_line() -> None:
    code = "import sys, umberlead.__main__; print(sorted(n for n in sys.modules if n[:9] == 'umberlead'))"
    done = subprocess.run([sys.executable, "-B", "-c", code], cwd=ROOT, capture_output=True, text=True)
    assert done.stdout == "['umberlead', 'umberlead.__main__', 'umberlead.start']\n", done.stderr
