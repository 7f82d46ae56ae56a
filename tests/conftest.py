"""What holds for all tests, and what KNOWN-RED.txt changes: tests listed there are run and have to fail."""

import re
from collections.abc import Generator
from pathlib import Path
from typing import Any, NamedTuple

import pytest
from hypothesis import settings

# Without a limit in wall time to each drawn case: on busy cores one fails, and the same one passes again.
settings.register_profile("suite", deadline=None)
settings.load_profile("suite")

LIST, MOST = "KNOWN-RED.txt", 3
ISSUE = re.compile(r"(issue )?#?[0-9]+")


class Red(NamedTuple):
    """A test that fails for a real fault which is known and not mended yet."""

    test: str  # its node id, parameters included
    cause: str
    issue: str


REDS = pytest.StashKey[dict[str, Red]]()


def known_red(path: Path) -> dict[str, Red]:
    """The lines `test | cause | issue` of the file at `path`, by test; none where there is no such file.
    UsageError, which ends the run, where a line has another form, comes twice or is one too many."""
    reds: dict[str, Red] = {}
    for number, line in enumerate(path.read_text().splitlines() if path.exists() else (), 1):
        words = [word.strip() for word in line.split(" | ")]
        if len(words) != 3 or not all(words) or "::" not in words[0] or not ISSUE.fullmatch(words[2]):
            raise pytest.UsageError(f"{LIST}:{number}: must be `test | cause | issue`, not {line!r}")
        if words[0] in reds:
            raise pytest.UsageError(f"{LIST}:{number}: {words[0]} is listed already")
        reds[words[0]] = Red(*words)
    if len(reds) > MOST:
        raise pytest.UsageError(f"{LIST}: lists {len(reds)} tests; {MOST} at most")
    return reds


def _exists(red: Red, config: pytest.Config) -> bool:
    """Whether a listed test that was not collected stands in a file that this run was not asked for."""
    name, *_, last = red.test.split("::")
    path = config.rootpath / name
    asked = [Path(config.invocation_params.dir, a).resolve() for a in config.args if "::" not in a]
    if not path.is_file() or any(path.resolve().is_relative_to(a) for a in asked):
        return False
    defined = rf"^\s*(async )?def {re.escape(last.partition('[')[0])}\("
    return re.search(defined, path.read_text(), re.M) is not None


@pytest.hookimpl(tryfirst=True)  # before tests are deselected by name or mark
def pytest_collection_modifyitems(
    session: pytest.Session, config: pytest.Config, items: list[pytest.Item]
) -> None:
    reds = config.stash[REDS] = known_red(config.rootpath / LIST)
    found = {item.nodeid: item for item in items}
    for red in reds.values():
        if red.test in found:
            mark = pytest.mark.xfail(reason=f"{red.cause} ({red.issue})", strict=True)
            found[red.test].add_marker(mark, append=False)
        elif not session.testsfailed and not _exists(
            red, config
        ):  # a file that can't be read fails by itself
            raise pytest.UsageError(f"{LIST}: there is no test {red.test}")


@pytest.hookimpl(wrapper=True, tryfirst=True)  # behind pytest's own word on expected failures
def pytest_runtest_makereport(
    item: pytest.Item, call: pytest.CallInfo[None]
) -> Generator[None, pytest.TestReport, pytest.TestReport]:
    report = yield
    if item.nodeid in item.config.stash[REDS]:
        if report.failed and call.excinfo is None:
            report.longrepr = f"passes, and stands in {LIST}: take it off the list"
        elif report.skipped and not hasattr(report, "wasxfail"):
            report.outcome = "failed"
            report.longrepr = f"was skipped, and stands in {LIST}: it has to run"
    return report


def pytest_terminal_summary(terminalreporter: Any, config: pytest.Config) -> None:
    reds = config.stash.get(REDS, {})
    if reds:
        terminalreporter.section(LIST)
    stats = terminalreporter.stats
    failed = {r.nodeid for r in stats.get("xfailed", ())}
    wrong = {r.nodeid for kind in ("failed", "error") for r in stats.get(kind, ())}
    for red in reds.values():
        said = "not as listed" if red.test in wrong else "fails" if red.test in failed else "not in this run"
        terminalreporter.line(f"{said}: {red.test}: {red.cause} ({red.issue})")
