"""Ranks versions of the module over simulated days that resemble the simulator's: `make bench-versions`."""

import argparse
import os
import shutil
import sys
import tempfile
from pathlib import Path
from typing import Any

from umberlead.experiments import compare, dataset, matrix, report, running

ROOT = Path(__file__).parent.parent
OUT = ROOT / "docs" / "measurements"
FILE = ROOT / "deploy" / "rehearsals" / "versions.toml"


def _print_progress(done: int, whole: int, cell: running.Cell) -> None:
    print(done, "of", whole, cell.run.arm, cell.fault, flush=True)


def main() -> int:
    parser = argparse.ArgumentParser()
    parser.add_argument("--keep", action="store_true")
    parser.add_argument("--workers", type=int, default=max((os.cpu_count() or 2) - 1, 1))
    words: Any = parser.parse_args()
    of = matrix.read(FILE)
    with tempfile.TemporaryDirectory() as folder:
        cells = running.play(of, Path(folder) / "trees", words.workers, _print_progress)
        dataset.write(cells, Path(folder))
        rows, faults = dataset.read(Path(folder))
        report.write(Path(folder), of.name, of.baseline, of.measures, rows, faults)
        ranking = compare.ranking(rows)
        text = f"# Versions of the module\n\n`make bench-versions`; {ranking[0][1].n} days in virtual time: "
        text += f"deploy/rehearsals/like-days.script, seeds {of.seeds[0]} to {of.seeds[-1]}.\n\n"
        text += "| version | revision | service | against the first | days higher, lower |\n"
        text += "|---|---|---|---|---|\n"
        revs = {v.name: v.rev or "here" for v in of.versions}
        pairs = {p.arm: p for p in compare.pairs(rows, "service", of.baseline)}
        for arm, mean in ranking:
            name = arm.partition("/")[0]
            pair = pairs.get(arm)
            against = f"{pair.difference.words()} | {pair.better}, {pair.worse}" if pair else " | "
            text += f"| {name} | {revs[name]} | {mean.mean:.4f} | {against} |\n"
        broken = sum(sum(days.values()) for days in compare.by_arm(rows, "breaches").values())
        text += f"\nRules broken: {broken:.0f}. Runs without a result: {len(faults)}.\n"
        print(text)
        if words.keep:
            shutil.copy(Path(folder) / "differences.png", OUT / "versions.png")
            (OUT / "versions.md").write_text(text + "\n![differences by version](versions.png)\n")
    return 0 if not faults else 1


if __name__ == "__main__":
    sys.exit(main())
