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
LISTED_PAIRS_COUNT = 42  # number of listed pairs: lower it with each pair that is fixed, and never raise it

Pairs = set[tuple[str, str]]


def _settings() -> dict[str, Any]:
    return tomllib.loads((ROOT / "pyproject.toml").read_text())["tool"]["ruff"]


def _is_readability(code: str) -> bool:
    return code[:1] in ("N", "D") or code in RULES


def _listed_pairs() -> Pairs:
    table = _settings()["lint"]["per-file-ignores"].items()
    files = ((file, codes) for file, codes in table if file not in NO_DOCSTRINGS)
    return {(file, code) for file, codes in files for code in codes if _is_readability(code)}


def _violated_pairs() -> Pairs:
    """Return the pairs that ruff reports without the list and without `noqa` comments."""
    command = [sys.executable, "-m", "ruff", "check", "--no-cache", "--ignore-noqa", "--exit-zero"]
    command += ["--select", ",".join(RULES), "--config", "lint.per-file-ignores = {}"]
    completed = subprocess.run(
        [*command, "--output-format", "json", "."], cwd=ROOT, capture_output=True, text=True, check=True
    )
    pairs = set()
    for violation in json.loads(completed.stdout):
        file, code = str(Path(violation["filename"]).relative_to(ROOT)), violation["code"]
        if code[0] != "D" or not file.startswith(("tests/", "benchmarks/")):
            pairs.add((file, code))
    return pairs


def _format_pairs(pairs: Pairs) -> str:
    return "\n".join(f"{file} {code}" for file, code in sorted(pairs))


def test_listed_pairs_equal_the_violations() -> None:
    listed, violated = _listed_pairs(), _violated_pairs()
    assert not violated - listed, f"fix these violations:\n{_format_pairs(violated - listed)}"
    assert (
        not listed - violated
    ), f"no longer violated, remove from the list:\n{_format_pairs(listed - violated)}"
    assert len(listed) == LISTED_PAIRS_COUNT


def test_rules_in_pyproject_are_unchanged() -> None:
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
