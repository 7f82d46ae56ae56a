"""`umberlead expect`: routing tests of suites, without traffic.

Exit codes: 0 all held, 1 something failed or the suite asks for what can't be told, 2 it can't be read."""

import json
import sys
from pathlib import Path

import click

FILE = click.Path(dir_okay=False, path_type=Path)


@click.command()
@click.argument("suites", nargs=-1, required=True, type=FILE)
@click.option("--config", "conf", type=FILE, help="Check against this configuration instead of the suite's.")
@click.option("--list", "listed", type=FILE, help="Check against this list instead of the suite's.")
@click.option("--scenario", default="", help="Play just this scenario.")
@click.option("--workers", type=click.IntRange(0, 256), default=0, help="Processes; 0: one a core.")
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@click.option("--junit", type=FILE, help="Write JUnit XML here.")
def expect(
    suites: tuple[Path, ...],
    conf: Path | None,
    listed: Path | None,
    scenario: str,
    workers: int,
    as_json: bool,
    junit: Path | None,
) -> None:
    """Check the expectations of SUITES against a configuration and a list."""
    from umberlead.expect import report, running
    from umberlead.expect.suites import Unreadable

    bad = False
    told = {}
    for path in suites:
        try:
            ready, played = running.run(path, conf, listed, scenario, workers)
        except Unreadable as fault:
            for problem in fault.problems:
                click.echo(str(problem), err=True)
            sys.exit(2)
        if not played:
            click.echo(f"{path}: there is no scenario {scenario}", err=True)
            sys.exit(2)
        left = {} if scenario else running.untouched(ready, played)
        told[str(path)] = report.rows(played, left)
        bad |= bool(told[str(path)]["failed"] or told[str(path)]["error"])
        if junit is not None:
            report.junit(played, junit, path.stem)
        if not as_json:
            words = [f"--config {conf}"] * (conf is not None) + [f"--list {listed}"] * (listed is not None)
            command = " ".join(["umberlead expect", str(path), *words])
            click.echo("\n".join(report.text(played, command, left)))
    if as_json:
        click.echo(json.dumps(told, indent=1))
    sys.exit(int(bad))
