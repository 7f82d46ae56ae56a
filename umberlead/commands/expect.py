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
        return _suggest(suites, conf, listed)
    if suites and str(suites[0]) == "diff":  # a suite in a file named diff is given as ./diff
        return _diff(suites[1:], listed, as_json)
    if not suites:
        raise click.UsageError("give at least one suite, or --suggest")

    bad = False
    told = {}
    for path in suites:
        try:
            ready, played = running.run(path, conf, listed, scenario, workers, _progress)
        except UnreadableSuiteError as fault:
            for problem in fault.problems:
                click.echo(str(problem), err=True)
            sys.exit(2)
        if not played:
            click.echo(f"{path}: there is no scenario {scenario}", err=True)
            sys.exit(2)
        left = {} if scenario else running.untouched(ready, played)
        told[str(path)] = report.rows(played, left)
        bad |= bool(told[str(path)]["failed"] or told[str(path)]["error"])
        if smallest is not None and _smallest(smallest, path, conf, listed, ready, played):
            smallest = None  # only the first suite that fails is reduced
        if junit is not None:
            report.junit(played, junit, path.stem)
        if not as_json:
            words = [f"--config {conf}"] * (conf is not None) + [f"--list {listed}"] * (listed is not None)
            command = " ".join(["umberlead expect", str(path), *words])
            click.echo("\n".join(report.text(played, command, left)))
    if as_json:
        click.echo(json.dumps(told, indent=1))
    sys.exit(int(bad))


def _unreadable(fault: Exception) -> None:
    for problem in getattr(fault, "problems", ()):
        click.echo(str(problem), err=True)
    sys.exit(2)


def _suggest(suites: tuple[Path, ...], conf: Path | None, listed: Path | None) -> None:
    from umberlead.routing_tests.suggest import beside, suite
    from umberlead.routing_tests.suites import UnreadableSuiteError, side

    if suites or conf is None:
        raise click.UsageError("--suggest requires --config FILE, accepts --list FILE, and takes no suites")
    try:
        settings, listing, where = side(conf, listed)
    except UnreadableSuiteError as fault:
        return _unreadable(fault)
    here = Path.cwd()
    click.echo(
        suite(settings, listing, beside(conf.absolute(), here), beside(where.absolute(), here)), nl=False
    )


def _diff(files: tuple[Path, ...], listed: Path | None, as_json: bool) -> None:
    from umberlead.routing_tests.altered import differences
    from umberlead.routing_tests.reach import TooManyBranchesError
    from umberlead.routing_tests.suites import UnreadableSuiteError, side

    if len(files) != 2:
        raise click.UsageError("diff takes two configurations: OLD NEW")
    try:
        old, new = (side(path, listed) for path in files)
    except UnreadableSuiteError as fault:
        return _unreadable(fault)
    try:
        found = differences(old[:2], new[:2])
    except TooManyBranchesError as fault:
        click.echo(f"E115: {fault}", err=True)
        sys.exit(1)
    if as_json:
        click.echo(json.dumps([d.row() for d in found], indent=1))
    else:
        click.echo("\n".join(map(str, found)) if found else "nothing differs in who may reach whom")
    sys.exit(int(bool(found)))


def _smallest(
    out: Path, path: Path, conf: Path | None, listed: Path | None, ready: Any, played: list[Any]
) -> bool:
    """Write the smallest scenario that reproduces the first failure; return whether one was found."""
    from umberlead.routing_tests.model import Outcome
    from umberlead.routing_tests.smallest import smallest, suite

    scenarios = {s.name: s for s in ready.suite.scenarios}
    for verdict in (v for of in played for v in of.verdicts if v.outcome is Outcome.FAILED):
        found = smallest(ready, verdict.expectation, scenarios[verdict.scenario])
        if found is None:
            continue
        folder = path.absolute().parent
        conf = conf.absolute() if conf is not None else folder / ready.suite.config[0]
        listed = listed.absolute() if listed is not None else folder / ready.suite.listed[0]
        out.write_text(suite(found, ready, conf, listed, folder))
        more = f" (the search stopped after {found.plays} plays)" if found.cut else ""
        click.echo(
            f"smallest: {found.requests} of {found.before} requests{more}; umberlead expect {out}", err=True
        )
        return True
    return False


def _progress(done: int, of: int, played: Any) -> None:
    """Show the progress in one line of standard error if that is a terminal; files and pipes get none."""
    if sys.stderr.isatty():
        click.echo(
            f"\r\x1b[K{done} of {of}: {played.scenario}" + ("\r\x1b[K" if done == of else ""),
            nl=False,
            err=True,
        )
