"""Writes Parquet files: the measures of an experiment, and all events of a rehearsal."""

from collections.abc import Callable
from dataclasses import asdict, fields
from pathlib import Path
from typing import Any

import pyarrow as pa
import pyarrow.parquet as pq

from umberlead.emulator.plan import Plan
from umberlead.emulator.records import Answered, Asked, Came, Ended, Left, Life, Records, Told
from umberlead.experiments.running import Cell

KEYS = ("script", "scenario", "seed", "version", "configuration", "driver")
MEASURES = pa.schema(
    [
        ("script", pa.string()),
        ("scenario", pa.string()),
        ("seed", pa.int64()),
        ("version", pa.string()),
        ("configuration", pa.string()),
        ("driver", pa.string()),
        ("measure", pa.string()),
        ("second", pa.int32()),
        ("value", pa.float64()),
    ]
)
FAULTS = pa.schema([*list(MEASURES)[:6], ("fault", pa.string())])
TABLES: dict[str, Any] = {
    "asked": Asked,
    "answered": Answered,
    "came": Came,
    "ended": Ended,
    "left": Left,
    "told": Told,
    "lives": Life,
}


def rows(cells: list[Cell]) -> list[dict[str, Any]]:
    """Return one row for each value of a measure.

    Whole-day measures, the number of breaches of each kind among them, have `second` -1; the service of each
    second has its number.
    """
    table_rows = []
    for cell in cells:
        run = cell.run
        for result in cell.results:
            key = {
                "script": run.script.name,
                "scenario": result["scenario"],
                "seed": run.seed,
                "version": run.version.name,
                "configuration": run.configuration.name,
                "driver": run.driver,
            }
            values = dict(result["service"]) | {
                f"breach.{k}": float(v) for k, v in result["breaches"].items()
            }
            values |= {
                "breaches": float(sum(result["breaches"].values())),
                "faults": float(len(result["faults"])),
            }
            table_rows += [key | {"measure": k, "second": -1, "value": v} for k, v in values.items()]
            table_rows += [
                key | {"measure": "service", "second": n, "value": v} for n, v in enumerate(result["seconds"])
            ]
    return table_rows


def write(cells: list[Cell], folder: Path) -> None:
    """Write `measures.parquet`, and `faults.parquet` with the cells that have no results."""
    folder.mkdir(parents=True, exist_ok=True)
    pq.write_table(
        pa.Table.from_pylist(rows(cells), MEASURES), folder / "measures.parquet", compression="zstd"
    )
    failed = [
        {
            "script": c.run.script.name,
            "scenario": "",
            "seed": c.run.seed,
            "version": c.run.version.name,
            "configuration": c.run.configuration.name,
            "driver": c.run.driver,
            "fault": c.fault,
        }
        for c in cells
        if c.fault
    ]
    pq.write_table(pa.Table.from_pylist(failed, FAULTS), folder / "faults.parquet", compression="zstd")


def read(folder: Path) -> tuple[list[dict[str, Any]], list[dict[str, Any]]]:
    """Read the measures and the faults.

    Raises:
        OSError: One of the two files can't be read.
    """
    return (
        pq.read_table(folder / "measures.parquet").to_pylist(),
        pq.read_table(folder / "faults.parquet").to_pylist(),
    )


def keeper(folder: Path) -> Callable[[Plan, Records], None]:
    """Return a function that writes a rehearsal's records to `folder`, one file for each kind of record."""

    def write_records(plan: Plan, records: Records) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        for name, kind in TABLES.items():
            kind_records = getattr(records, name)
            columns = [f.name for f in fields(kind)]
            table = pa.table({c: [getattr(row, c) for row in kind_records] for c in columns})
            pq.write_table(table, folder / f"{name}.parquet", compression="zstd")
        requests = pa.Table.from_pylist([asdict(r) for r in plan.day.requests])
        pq.write_table(requests, folder / "day.parquet", compression="zstd")

    return write_records
