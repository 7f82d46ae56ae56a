"""Runs the cells of a matrix in parallel, each in its own process."""

import json
import os
import subprocess
import sys
from collections.abc import Callable
from concurrent.futures import FIRST_COMPLETED, ThreadPoolExecutor, wait
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from umberlead.experiments.matrix import Matrix, Run
from umberlead.experiments.versions import lay_out

CELL_TIMEOUT_SECONDS = 1800.0  # s, time limit of a cell


@dataclass(slots=True)
class Cell:
    """A run with a result for each scenario, or the fault for which there are none."""

    run: Run
    results: list[dict[str, Any]] = field(default_factory=list)
    fault: str = ""


def _run_cell(run: Run, root: Path) -> Cell:
    order = {
        "script": str(run.script.resolve()),
        "seed": run.seed,
        "driver": run.driver,
        "root": str(root),
        "settings": run.configuration.settings,
        "figures": run.configuration.figures,
    }
    env = os.environ | {"PYTHONPATH": str(root), "PYTHONHASHSEED": "0"}
    try:
        process = subprocess.run(
            [sys.executable, "-B", "-m", "umberlead.experiments.one"],
            input=json.dumps(order),
            text=True,
            capture_output=True,
            cwd=root,
            env=env,
            timeout=CELL_TIMEOUT_SECONDS,
        )
    except subprocess.TimeoutExpired:
        return Cell(run, fault=f"timed out after {CELL_TIMEOUT_SECONDS:g} s")
    if process.returncode:
        return Cell(
            run,
            fault=process.stderr.strip().splitlines()[-1] if process.stderr.strip() else "no error message",
        )
    return Cell(run, json.loads(process.stdout))


def play(
    matrix: Matrix, folder: Path, workers: int, progress: Callable[[int, int, Cell], None] | None = None
) -> list[Cell]:
    """Run all cells on `workers` threads and return them in the matrix's order.

    `progress`, if given, is called after each cell with the number of cells done, that of all, and the cell.

    Raises:
        UnknownVersionError: The source tree of a version can't be laid out.
    """
    runs = list(matrix.runs())
    roots = {v: lay_out(v.rev, folder) for v in matrix.versions}
    cells: dict[int, Cell] = {}
    with ThreadPoolExecutor(max(workers, 1)) as pool:
        pending = {pool.submit(_run_cell, run, roots[run.version]): index for index, run in enumerate(runs)}
        while pending:
            done, _ = wait(pending, return_when=FIRST_COMPLETED)
            for future in done:
                index = pending.pop(future)
                cells[index] = future.result()
                if progress is not None:
                    progress(len(cells), len(runs), cells[index])
    return [cells[index] for index in range(len(runs))]
