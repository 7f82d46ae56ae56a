"""The pages name files, identifiers and tests that exist: a rename that forgets a page fails here."""

import ast
import functools
import re
from collections.abc import Iterator
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
SOURCES = ("umberlead", "tests", "benchmarks", "deploy")
# Where a path that a page names may begin.
PATH_STARTS = ("", "umberlead", "tests", "docs")
PAGES = (
    "README.md",
    "DEVELOPERS.md",
    "docs/ARCHITECTURE.md",
    "docs/ROADMAP.md",
    "docs/glossary.md",
    *sorted(str(path.relative_to(ROOT)) for path in (ROOT / "docs" / "incidents").glob("*.md")),
)
QUOTED = re.compile(r"(?<!`)`([^`\n]+)`(?!`)")
PATH = re.compile(r"([\w-][\w./-]*\.(?:py|toml|txt|md|suite|script|c)|[\w-]+(?:/[\w.-]+)*/)(?:::(\w+))?")
IDENTIFIER = re.compile(r"(?:[A-Z][a-z]+[A-Z]\w*|[A-Z]+_[A-Z_]+|_?[a-z]+_[a-z_]+)(?:\.\w+)*(?:\(\))?")


def names_of_source(path: Path) -> Iterator[str]:
    """Identifiers of a file, and the words of its texts: keys, events, counters."""
    yield path.stem
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef | ast.ClassDef):
            yield node.name
        elif isinstance(node, ast.Name):
            yield node.id
        elif isinstance(node, ast.Attribute):
            yield node.attr
        elif isinstance(node, ast.arg):
            yield node.arg
        elif isinstance(node, ast.Constant) and isinstance(node.value, str):
            yield from re.findall(r"\w+", node.value)


@functools.cache
def known_names() -> frozenset[str]:
    """All names of the program, its tests and tools."""
    paths = [path for folder in SOURCES for path in (ROOT / folder).rglob("*.py")]
    return frozenset(name for path in paths for name in names_of_source(path))


def is_known(name: str, names: frozenset[str], tests: list[str]) -> bool:
    """Whether each part of a dotted name exists, or a test's name contains it, as for `pytest -k`."""
    parts = name.removesuffix("()").split(".")
    return all(part in names for part in parts) or any(name in test for test in tests)


def path_exists(page: Path, path: str) -> bool:
    """Whether a path that a page names is there, from the page's folder or one of the usual starts."""
    starts = [page.parent, *(ROOT / start for start in PATH_STARTS)]
    return any((start / path).exists() for start in starts) or any((ROOT / "umberlead").rglob(path))


def missing(page: Path, text: str, names: frozenset[str]) -> list[str]:
    """The quoted paths and identifiers of a page that do not exist."""
    tests = [name for name in names if name.startswith("test_")]
    found = []
    for quoted in QUOTED.findall(text):
        path = PATH.fullmatch(quoted)
        if path is not None:
            test_exists = path[2] is None or path[2] in names
            if not (test_exists and path_exists(page, path[1])):
                found.append(quoted)
        elif IDENTIFIER.fullmatch(quoted) and not is_known(quoted, names, tests):
            found.append(quoted)
    return found


@pytest.mark.parametrize("name", PAGES)
def test_a_page_names_only_what_exists(name: str) -> None:
    page = ROOT / name
    assert missing(page, page.read_text(), known_names()) == []


def test_a_name_that_is_gone_is_found() -> None:
    page = ROOT / "docs" / "ARCHITECTURE.md"
    gone = ["net/no_such.py", "NoSuchName.listen", "no_such_name()", "nowhere/"]
    text = " ".join(f"`{quoted}`" for quoted in (*gone, "net/listener.py", "path_exists"))
    names = known_names() - {"NoSuchName", "no_such_name"}
    assert missing(page, text, names) == gone
