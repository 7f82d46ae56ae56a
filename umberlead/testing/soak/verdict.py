"""The verdict of a soak run, and helpers that read the logs of its fronts."""

from collections import Counter
from dataclasses import dataclass
from pathlib import Path

from umberlead.testing.soak.judge import Violation
from umberlead.testing.soak.scenario import MAX_DRIVER_LATE_SECONDS


@dataclass(slots=True)
class Verdict:
    """The result of a run.

    Attributes:
        violations: violations of invariants that were found.
        counts: number of requests by how they ended.
        faults: number of injections of each fault.
        counters: counters of the fronts, summed over their processes.
        injected: number of system calls that the fault library made fail.
        mix: name of the mix of faults and clients.
        late_seconds: the largest delay of the driver behind its own schedule.
        kill_late_seconds: the largest delay of a SIGKILL behind its due time.
        peak_memory_mb: the most memory that a front took.
    """

    violations: list[Violation]
    counts: Counter[str]
    faults: Counter[str]
    counters: Counter[str]
    injected: int = 0
    mix: str = ""
    late_seconds: float = 0.0
    kill_late_seconds: float = 0.0
    peak_memory_mb: float = 0.0

    def is_judged(self) -> bool:
        """Return whether the driver kept to its schedule closely enough for the verdict to be valid."""
        return max(self.late_seconds, self.kill_late_seconds) <= MAX_DRIVER_LATE_SECONDS

    def outcome(self) -> str:
        """Return a one-line summary of the verdict."""
        found = f"{len(self.violations)} violations" if self.violations else "all kept"
        return found if self.is_judged() else f"not judged, the driver was late ({found})"


def log_lines(folder: Path) -> list[str]:
    """Return the lines of the logs of all fronts."""
    paths = sorted(folder.glob("f*-*.log"))
    return [line for path in paths for line in path.read_text(errors="replace").splitlines()]


def last_counters(folder: Path) -> Counter[str]:
    """Return the last counters that each process logged, summed over all processes."""
    total: Counter[str] = Counter()
    for path in folder.glob("f*-*.log"):
        lines = [line for line in path.read_text(errors="replace").splitlines() if " counters [" in line]
        for pair in lines[-1].split("[", 1)[1].split() if lines else ():
            name, _, value = pair.partition("=")
            text = value.strip('"]')
            if text.isdigit():
                total[name] += int(text)
    return total
