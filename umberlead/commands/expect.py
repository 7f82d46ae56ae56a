"""`umberlead expect`: runs suites of routing tests, without network traffic.

Exit codes: 0 if all expectations hold (or nothing differs); 1 if an expectation fails or can't be decided, or
the configurations differ; 2 if an input can't be read.
"""

import json
import sys
from pathlib import Path
from typing import Any

import click

FILE = click.Path(dir_okay=False, path_type=Path)


@click.command()
@click.argument("suites", nargs=-1, type=FILE)
@click.option("--config", "conf", type=FILE, help="Check against this configuration instead of the suite's.")
@click.option("--list", "listed", type=FILE, help="Check against this list instead of the suite's.")
@click.option("--scenario", default="", help="Run only this scenario.")
@click.option(
    "--workers",
    type=click.IntRange(0, 256),
    default=0,
    help="Number of worker processes; 0 for one per core.",
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@click.option("--junit", type=FILE, help="Write a JUnit XML report to this file.")
@click.option("--smallest", type=FILE, help="Write the smallest failing scenario to this file, as a suite.")
@click.option("--suggest", is_flag=True, help="Print an initial suite for --config (and --list) instead.")
def expect(
    suites: tuple[Path, ...],
    conf: Path | None,
    listed: Path | None,
    scenario: str,
    workers: int,
    as_json: bool,
    junit: Path | None,
    smallest: Path | None,
    suggest: bool,
) -> None:
    """Check the expectations of SUITES against a configuration and a list.

    `umberlead expect diff OLD NEW` prints how the configurations OLD and NEW differ in the servers that each
    request may reach; `--list` overrides the list that either of them names.
    """
    from umberlead.routing_tests import report, running
    from umberlead.routing_tests.suites import UnreadableSuiteError

    if suggest:
        return _print_suggestion(suites, conf, listed)
    if suites and str(suites[0]) == "diff":  # a suite in a file named diff is given as ./diff
        return _print_diff(suites[1:], listed, as_json)
    if not suites:
        raise click.UsageError("give at least one suite, or --suggest")

    any_failed = False
    report_by_path = {}
    for path in suites:
        try:
            suite, results = running.run(path, conf, listed, scenario, workers, _progress)
        except UnreadableSuiteError as error:
            for problem in error.problems:
                click.echo(str(problem), err=True)
            sys.exit(2)
        if not results:
            click.echo(f"{path}: there is no scenario {scenario}", err=True)
            sys.exit(2)
        untouched_names = {} if scenario else running.untouched(suite, results)
        report_by_path[str(path)] = report.rows(results, untouched_names)
        any_failed |= bool(report_by_path[str(path)]["failed"] or report_by_path[str(path)]["error"])
        if smallest is not None and _write_smallest(smallest, path, conf, listed, suite, results):
            smallest = None  # only the first suite that fails is reduced
        if junit is not None:
            report.junit(results, junit, path.stem)
        if not as_json:
            options = [f"--config {conf}"] * (conf is not None) + [f"--list {listed}"] * (listed is not None)
            command = " ".join(["umberlead expect", str(path), *options])
            click.echo("\n".join(report.text(results, command, untouched_names)))
    if as_json:
        click.echo(json.dumps(report_by_path, indent=1))
    sys.exit(int(any_failed))


def _exit_unreadable(error: Exception) -> None:
    for problem in getattr(error, "problems", ()):
        click.echo(str(problem), err=True)
    sys.exit(2)


def _print_suggestion(suites: tuple[Path, ...], conf: Path | None, listed: Path | None) -> None:
    from umberlead.routing_tests.suggest import beside, suite
    from umberlead.routing_tests.suites import UnreadableSuiteError, side

    if suites or conf is None:
        raise click.UsageError("--suggest requires --config FILE, accepts --list FILE, and takes no suites")
    try:
        settings, checked_list, list_path = side(conf, listed)
    except UnreadableSuiteError as error:
        return _exit_unreadable(error)
    folder = Path.cwd()
    click.echo(
        suite(settings, checked_list, beside(conf.absolute(), folder), beside(list_path.absolute(), folder)),
        nl=False,
    )


def _print_diff(files: tuple[Path, ...], listed: Path | None, as_json: bool) -> None:
    from umberlead.routing_tests.altered import differences
    from umberlead.routing_tests.reach import TooManyBranchesError
    from umberlead.routing_tests.suites import UnreadableSuiteError, side

    if len(files) != 2:
        raise click.UsageError("diff takes two configurations: OLD NEW")
    try:
        old, new = (side(path, listed) for path in files)
    except UnreadableSuiteError as error:
        return _exit_unreadable(error)
    try:
        changes = differences(old[:2], new[:2])
    except TooManyBranchesError as error:
        click.echo(f"E115: {error}", err=True)
        sys.exit(1)
    if as_json:
        click.echo(json.dumps([change.row() for change in changes], indent=1))
    else:
        click.echo("\n".join(map(str, changes)) if changes else "nothing differs in who may reach whom")
    sys.exit(int(bool(changes)))


def _write_smallest(
    output_path: Path,
    path: Path,
    conf: Path | None,
    listed: Path | None,
    loaded_suite: Any,
    results: list[Any],
) -> bool:
    """Write the smallest scenario that reproduces the first failure; return whether one was found."""
    from umberlead.routing_tests.model import Outcome
    from umberlead.routing_tests.smallest import smallest, suite

    scenarios = {s.name: s for s in loaded_suite.suite.scenarios}
    for verdict in (
        candidate
        for result in results
        for candidate in result.verdicts
        if candidate.outcome is Outcome.FAILED
    ):
        found = smallest(loaded_suite, verdict.expectation, scenarios[verdict.scenario])
        if found is None:
            continue
        folder = path.absolute().parent
        conf = conf.absolute() if conf is not None else folder / loaded_suite.suite.config[0]
        listed = listed.absolute() if listed is not None else folder / loaded_suite.suite.listed[0]
        output_path.write_text(suite(found, loaded_suite, conf, listed, folder))
        note = f" (the search stopped after {found.plays} plays)" if found.cut else ""
        click.echo(
            f"smallest: {found.requests} of {found.before} requests{note}; umberlead expect {output_path}",
            err=True,
        )
        return True
    return False


def _progress(done: int, total: int, result: Any) -> None:
    """Show the progress in one line of standard error if that is a terminal; files and pipes get none."""
    if sys.stderr.isatty():
        click.echo(
            f"\r\x1b[K{done} of {total}: {result.scenario}" + ("\r\x1b[K" if done == total else ""),
            nl=False,
            err=True,
        )
