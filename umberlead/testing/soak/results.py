"""Results of soak runs in a file, a line of JSON each, and the table that is made of them.

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
    """One run.

    Attributes:
        seed: of the run.
        commit: the program's.
        mix: what was played.
        seconds: how long clients asked.
        requests: that clients sent.
        faults: how often each was played.
        late_ms: how far the driver was behind its own time at worst, a due SIGKILL included.
        judged: whether that left the verdict valid.
        violations: what was broken, as text.
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
    """Return the commit of the working tree, with a plus sign where files differ from it."""
    call = ["git", "describe", "--always", "--abbrev=7", "--dirty=+", "--exclude=*"]
    return subprocess.run(call, check=True, capture_output=True, text=True).stdout.strip()


def read_results(path: Path) -> list[RunResult]:
    """Return the results in a file; none where there is no such file."""
    lines = path.read_bytes().splitlines() if path.exists() else []
    return [msgspec.json.decode(line, type=RunResult) for line in lines]


def played_seeds(path: Path, commit: str) -> frozenset[int]:
    """Return the seeds that were played, and could be judged, with a program."""
    return frozenset(row.seed for row in read_results(path) if row.commit == commit and row.judged)


def add_result(path: Path, seed: int, seconds: float, verdict: Verdict) -> None:
    """Append a run to a file."""
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
    """Return the results as a table of Markdown."""
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
