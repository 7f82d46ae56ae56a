"""Results of soak runs: a file with a line of JSON per run, and a Markdown table made from it.

`python -m umberlead.testing.soak.results FILE` prints the table.
"""

import subprocess
import sys
from collections.abc import Iterable
from pathlib import Path

import msgspec

from umberlead.testing.soak.verdict import Verdict

MAX_SHOWN_VIOLATIONS = 3
TABLE_HEAD = (
    "| seed | mix | program | seconds | requests | most frequent faults | driver late, ms | verdict |\n"
    "| --- | --- | --- | --- | --- | --- | --- | --- |"
)


class RunResult(msgspec.Struct, frozen=True):
    """The result of one run.

    Attributes:
        seed: seed of the run.
        commit: commit of the program.
        mix: name of the mix of faults and clients.
        seconds: how long clients sent requests.
        requests: number of requests that clients sent.
        faults: number of injections of each fault.
        late_ms: the largest delay of the driver behind its schedule, due SIGKILLs included.
        judged: whether that delay was small enough for the verdict to be valid.
        violations: violations that were found, as text.
    """

    seed: int
    commit: str
    mix: str
    seconds: float
    requests: int
    faults: dict[str, int]
    late_ms: int
    judged: bool
    violations: list[str]


def program_commit() -> str:
    """Return the commit of the working tree, with a plus sign appended if files differ from it."""
    call = ["git", "describe", "--always", "--abbrev=7", "--dirty=+", "--exclude=*"]
    return subprocess.run(call, check=True, capture_output=True, text=True).stdout.strip()


def read_results(path: Path) -> list[RunResult]:
    """Return the results in a file; an empty list if the file does not exist."""
    lines = path.read_bytes().splitlines() if path.exists() else []
    return [msgspec.json.decode(line, type=RunResult) for line in lines]


def played_seeds(path: Path, commit: str) -> frozenset[int]:
    """Return the seeds that have a valid verdict for a commit."""
    return frozenset(row.seed for row in read_results(path) if row.commit == commit and row.judged)


def add_result(path: Path, seed: int, seconds: float, verdict: Verdict) -> None:
    """Append the result of a run to a file."""
    late_seconds = max(verdict.late_seconds, verdict.kill_late_seconds)
    row = RunResult(
        seed,
        program_commit(),
        verdict.mix,
        seconds,
        sum(verdict.counts.values()),
        dict(verdict.faults),
        round(late_seconds * 1000),
        verdict.is_judged(),
        [f"{violation.rule}: {violation.what}" for violation in verdict.violations],
    )
    with open(path, "ab") as file:
        file.write(msgspec.json.encode(row) + b"\n")


def table(rows: Iterable[RunResult]) -> str:
    """Return the results as a Markdown table."""
    lines = [TABLE_HEAD]
    for row in rows:
        most = sorted(row.faults.items(), key=lambda pair: -pair[1])[:MAX_SHOWN_VIOLATIONS]
        faults = ", ".join(f"{name} {count}" for name, count in most)
        found = sorted({violation.partition(":")[0] for violation in row.violations})
        verdict = f"{len(row.violations)} violations: {', '.join(found)}" if found else "all kept"
        if not row.judged:
            verdict = f"not run: the driver was late ({verdict})"
        cells = (
            row.seed,
            row.mix,
            row.commit,
            f"{row.seconds:g}",
            row.requests,
            f"{faults} of {sum(row.faults.values())}",
            row.late_ms,
            verdict,
        )
        lines.append("| " + " | ".join(map(str, cells)) + " |")
    return "\n".join(lines)


if __name__ == "__main__":
    print(table(read_results(Path(sys.argv[1]))))
