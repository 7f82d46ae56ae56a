"""`umberlead experiment` and `umberlead report`: a matrix of rehearsals, its dataset and its HTML report."""

import json
import os
import sys
from pathlib import Path
from typing import Any

import click

FILE = click.Path(dir_okay=False, exists=True, path_type=Path)
FOLDER = click.Path(file_okay=False, path_type=Path)


@click.command()
@click.argument("path", metavar="FILE", type=FILE)
@click.option(
    "--out", type=FOLDER, help="Folder for the dataset and the report [default: FILE without .toml]."
)
@click.option("--workers", type=int, help="Cells run in parallel [default: the cores; on sockets 1].")
def experiment(path: Path, out: Path | None, workers: int | None) -> None:
    """Run the matrix of rehearsals in FILE, store the measures as one dataset, and write the report.

    Exit code 1: a cell has no result, or a rule was broken.
    """
    from umberlead.commands.progress import Bar

    try:
        from umberlead.experiments import dataset, matrix, report, running
        from umberlead.experiments.versions import UnknownVersionError
    except ModuleNotFoundError as fault:
        click.echo(f"experiment: packages of the group experiments are missing ({fault.name})", err=True)
        sys.exit(2)

    folder = out or path.with_suffix("")
    try:
        made = matrix.read(path)
        count = len(list(made.runs()))
        side = workers or (1 if made.driver == "sockets" else max((os.cpu_count() or 2) - 1, 1))
        with Bar(made.name) as bar:

            def told(done: int, whole: int, cell: running.Cell) -> None:
                bar(done / whole)
                if not sys.stderr.isatty():
                    service = [f"{r['service']['service']:.3f}" for r in cell.results]
                    word = cell.fault or " ".join(service)
                    run = cell.run
                    click.echo(
                        f"{done}/{whole} {run.arm} {run.script.name} seed {run.seed}: {word}", err=True
                    )

            cells = running.play(made, folder / "versions", side, told)
        dataset.write(cells, folder)
        about = {"name": made.name, "baseline": made.baseline, "measures": made.measures}
        (folder / "experiment.json").write_text(json.dumps(about, indent=1) + "\n")
    except (matrix.BadMatrix, UnknownVersionError, OSError) as fault:
        click.echo(str(fault), err=True)
        sys.exit(2)
    rows, faults = dataset.read(folder)
    click.echo(f"{count} runs, {len(faults)} without a result; {folder / 'measures.parquet'}")
    try:
        page = report.write(folder, made.name, made.baseline, made.measures, rows, faults)
    except ValueError as fault:
        click.echo(str(fault), err=True)
        sys.exit(1)
    _summary(rows, made.baseline)
    click.echo(str(page))
    broken = any(r["measure"] in ("breaches", "faults") and r["value"] for r in rows)
    sys.exit(1 if faults or broken else 0)


def _summary(rows: list[dict[str, Any]], baseline: str) -> None:
    from umberlead.experiments import compare

    for arm, mean in compare.ranking(rows):
        click.echo(f"  {arm}: service {mean.mean:.4f} over {mean.n} days")
    for pair in compare.pairs(rows, "service", baseline):
        click.echo(f"  {pair.arm} against {baseline}: {pair.difference.words()}, {pair.told}")


@click.command()
@click.argument("folder", type=click.Path(file_okay=False, exists=True, path_type=Path))
def report(folder: Path) -> None:
    """Write the report again from the dataset in an experiment's FOLDER."""
    try:
        from umberlead.experiments import dataset
        from umberlead.experiments import report as page
    except ModuleNotFoundError as fault:
        click.echo(f"report: packages of the group experiments are missing ({fault.name})", err=True)
        sys.exit(2)

    try:
        about = json.loads((folder / "experiment.json").read_text())
        rows, faults = dataset.read(folder)
        made = page.write(folder, about["name"], about["baseline"], about["measures"], rows, faults)
    except (OSError, ValueError, KeyError) as fault:
        click.echo(f"{folder}: {fault}", err=True)
        sys.exit(2)
    _summary(rows, about["baseline"])
    click.echo(str(made))
