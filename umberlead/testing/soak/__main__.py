"""`python -m umberlead.testing.soak`: perform soak runs and print their verdicts."""

import sys
import tempfile
from pathlib import Path

import click

from umberlead.testing.soak.plan import Fault, Size
from umberlead.testing.soak.results import add_result, played_seeds, program_commit
from umberlead.testing.soak.run import play
from umberlead.testing.soak.verdict import Verdict

SHOWN_COUNTERS = ("invariant_", "unexpected_", "module_errors", "clients_closed_", "attempts_barred_")


def show(seed: int, verdict: Verdict, verbose: bool) -> None:
    """Print the verdict of a run; `verbose` adds counts of faults, requests and counters."""
    if verbose:
        click.echo("faults: " + ", ".join(f"{k} {n}" for k, n in sorted(verdict.faults.items())))
        click.echo("requests: " + ", ".join(f"{k} {n}" for k, n in sorted(verdict.counts.items())))
        shown = {k: n for k, n in sorted(verdict.counters.items()) if k.startswith(SHOWN_COUNTERS)}
        click.echo("counters: " + ", ".join(f"{k} {n}" for k, n in shown.items()))
    for violation in verdict.violations:
        click.echo(f"seed {seed}: {violation.rule}: {violation.what}")
    total = sum(verdict.counts.values())
    click.echo(
        f"seed {seed} ({verdict.mix}): {verdict.outcome()}, {total} requests,"
        f" {verdict.injected} injected system call failures,"
        f" driver late by {verdict.late_seconds * 1000:.0f} ms,"
        f" SIGKILL by {verdict.kill_late_seconds * 1000:.0f} ms"
    )


@click.command()
@click.option("--seed", default=1, show_default=True, help="The first run's seed.")
@click.option("--runs", default=1, show_default=True, help="How many runs, each with the next seed.")
@click.option("--seconds", default=30.0, show_default=True, help="How long clients send requests.")
@click.option("--fronts", default=5, show_default=True)
@click.option("--nodes", default=8, show_default=True, help="Chunk servers, each with a proxy.")
@click.option("--clients", default=5, show_default=True, help="Client processes.")
@click.option(
    "--trouble", "names", multiple=True, type=click.Choice([t.value for t in Fault]), help="Only these kinds."
)
@click.option("--keep", type=click.Path(path_type=Path), help="Folder in which records and logs are kept.")
@click.option(
    "--results",
    type=click.Path(path_type=Path),
    help="File of results, one JSON line per run; seeds already in it for this commit are skipped.",
)
@click.option("--verbose", is_flag=True)
def main(
    seed: int,
    runs: int,
    seconds: float,
    fronts: int,
    nodes: int,
    clients: int,
    names: tuple[str, ...],
    keep: Path | None,
    results: Path | None,
    verbose: bool,
) -> None:
    """Perform soak runs; exit with 1 if an invariant was violated."""
    faults = [Fault(name) for name in names] or list(Fault)
    failed = False
    known = played_seeds(results, program_commit()) if results is not None else frozenset()
    for number in range(seed, seed + runs):
        if number in known:
            continue
        with tempfile.TemporaryDirectory() as made:
            folder = keep / str(number) if keep is not None else Path(made)
            folder.mkdir(parents=True, exist_ok=True)
            verdict = play(folder, number, seconds, Size(fronts, nodes, clients), faults)
        show(number, verdict, verbose)
        if results is not None:
            add_result(results, number, seconds, verdict)
        failed |= verdict.is_judged() and bool(verdict.violations)
    sys.exit(failed)


if __name__ == "__main__":
    main()
