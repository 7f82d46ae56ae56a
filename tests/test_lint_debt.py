"""Rules for names, docstrings and sizes of functions hold in all files except those in pyproject.toml's list.

The list holds pairs of a file and a rule, and must equal the pairs that ruff reports: a file that becomes
clean is removed, and no file is added. `noqa` comments are ignored.
"""

import json
import subprocess
import sys
import tomllib
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
RULES = ("N", "D", "C901", "PLR0915")  # pep8-naming, pydocstyle, complexity, statements
MAX_COMPLEXITY, MAX_STATEMENTS = 10, 40  # of a function
FOLDERS = ("umberlead", "tests", "benchmarks", "deploy")
NO_DOCSTRINGS = ("tests/**", "benchmarks/**")  # tests are named after the behaviour, and have no users
DEBT = 55  # number of listed pairs: lower it with each pair that is fixed, and never raise it

Pairs = set[tuple[str, str]]


def _settings() -> dict[str, Any]:
    return tomllib.loads((ROOT / "pyproject.toml").read_text())["tool"]["ruff"]


def _is_readability(code: str) -> bool:
    return code[:1] in ("N", "D") or code in RULES


def _listed() -> Pairs:
    table = _settings()["lint"]["per-file-ignores"].items()
    files = ((file, codes) for file, codes in table if file not in NO_DOCSTRINGS)
    return {(file, code) for file, codes in files for code in codes if _is_readability(code)}


def _broken() -> Pairs:
    """Return the pairs that ruff reports without the list and without `noqa` comments."""
    call = [sys.executable, "-m", "ruff", "check", "--no-cache", "--ignore-noqa", "--exit-zero"]
    call += ["--select", ",".join(RULES), "--config", "lint.per-file-ignores = {}"]
    done = subprocess.run(
        [*call, "--output-format", "json", "."], cwd=ROOT, capture_output=True, text=True, check=True
    )
    found = set()
    for fault in json.loads(done.stdout):
        file, code = str(Path(fault["filename"]).relative_to(ROOT)), fault["code"]
        if code[0] != "D" or not file.startswith(("tests/", "benchmarks/")):
            found.add((file, code))
    return found


def _lines(pairs: Pairs) -> str:
    return "\n".join(f"{file} {code}" for file, code in sorted(pairs))


def test_the_list_of_files_that_are_not_clean_only_grows_shorter() -> None:
    listed, broken = _listed(), _broken()
    assert not broken - listed, f"fix these violations:\n{_lines(broken - listed)}"
    assert not listed - broken, f"no longer violated, remove from the list:\n{_lines(listed - broken)}"
    assert len(listed) == DEBT


def test_the_rules_stand_as_they_were_chosen() -> None:
    settings = _settings()
    lint = settings["lint"]
    assert set(RULES) <= set(lint["select"]) and not lint.get("ignore") and not lint.get("extend-ignore")
    assert lint["mccabe"] == {"max-complexity": MAX_COMPLEXITY}
    assert lint["pylint"] == {"max-statements": MAX_STATEMENTS}
    assert lint["pydocstyle"] == {"convention": "google"} and "pep8-naming" not in lint
    assert settings["extend-exclude"] == ["journal"] and "exclude" not in settings and "exclude" not in lint
    ignores = lint["per-file-ignores"]
    assert all(ignores[pattern] == ["D"] for pattern in NO_DOCSTRINGS)
    assert all((ROOT / file).is_file() for file in ignores if file not in NO_DOCSTRINGS)
    codes = {code for file, listed in ignores.items() if file not in NO_DOCSTRINGS for code in listed}
    assert all(_is_readability(code) or code == "E501" for code in codes)  # no prefix that covers more
    nested = {path.name for folder in FOLDERS for path in (ROOT / folder).rglob("*.toml")}
    assert not nested & {"pyproject.toml", "ruff.toml", ".ruff.toml"}
    assert not any((ROOT / name).exists() for name in ("ruff.toml", ".ruff.toml"))  # it would take precedence
