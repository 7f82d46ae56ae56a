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
    except ModuleNotFoundError as error:
        click.echo(f"experiment: packages of the group experiments are missing ({error.name})", err=True)
        sys.exit(2)

    folder = out or path.with_suffix("")
    try:
        definition = matrix.read(path)
        run_count = len(list(definition.runs()))
        worker_count = workers or (1 if definition.driver == "sockets" else max((os.cpu_count() or 2) - 1, 1))
        with Bar(definition.name) as bar:

            def report_progress(done: int, total: int, cell: running.Cell) -> None:
                bar(done / total)
                if not sys.stderr.isatty():
                    service = [f"{row['service']['service']:.3f}" for row in cell.results]
                    outcome = cell.fault or " ".join(service)
                    run = cell.run
                    click.echo(
                        f"{done}/{total} {run.arm} {run.script.name} seed {run.seed}: {outcome}", err=True
                    )

            cells = running.play(definition, folder / "versions", worker_count, report_progress)
        dataset.write(cells, folder)
        description = {
            "name": definition.name,
            "baseline": definition.baseline,
            "measures": definition.measures,
        }
        (folder / "experiment.json").write_text(json.dumps(description, indent=1) + "\n")
    except (matrix.BadMatrix, UnknownVersionError, OSError) as error:
        click.echo(str(error), err=True)
        sys.exit(2)
    rows, faults = dataset.read(folder)
    click.echo(f"{run_count} runs, {len(faults)} without a result; {folder / 'measures.parquet'}")
    try:
        report_path = report.write(
            folder, definition.name, definition.baseline, definition.measures, rows, faults
        )
    except ValueError as error:
        click.echo(str(error), err=True)
        sys.exit(1)
    _print_summary(rows, definition.baseline)
    click.echo(str(report_path))
    any_rule_broken = any(row["measure"] in ("breaches", "faults") and row["value"] for row in rows)
    sys.exit(1 if faults or any_rule_broken else 0)


def _print_summary(rows: list[dict[str, Any]], baseline: str) -> None:
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
        from umberlead.experiments import report as report_page
    except ModuleNotFoundError as error:
        click.echo(f"report: packages of the group experiments are missing ({error.name})", err=True)
        sys.exit(2)

    try:
        description = json.loads((folder / "experiment.json").read_text())
        rows, faults = dataset.read(folder)
        report_path = report_page.write(
            folder, description["name"], description["baseline"], description["measures"], rows, faults
        )
    except (OSError, ValueError, KeyError) as error:
        click.echo(f"{folder}: {error}", err=True)
        sys.exit(2)
    _print_summary(rows, description["baseline"])
    click.echo(str(report_path))
