"""How a run of the soak test went, and what the fronts' logs tell of it."""

from collections import Counter
from dataclasses import dataclass
from pathlib import Path

from umberlead.testing.soak.judge import Violation
from umberlead.testing.soak.scenario import MAX_DRIVER_LATE_SECONDS


@dataclass(slots=True)
class Verdict:
    """How a run went.

    Attributes:
        violations: what was broken.
        counts: how requests ended.
        faults: how often each fault was played.
        counters: the fronts' counters, summed over their processes.
        injected: system calls that failed by order.
        mix: the mix that was played.
        late_seconds: how far the driver was behind its own time at worst.
        kill_late_seconds: how long after its time a SIGKILL came that was due, at worst.
    """

    violations: list[Violation]
    counts: Counter[str]
    faults: Counter[str]
    counters: Counter[str]
    injected: int = 0
    mix: str = ""
    late_seconds: float = 0.0
    kill_late_seconds: float = 0.0

    def is_judged(self) -> bool:
        """Tell whether the driver kept its own times, so that the verdict holds."""
        return max(self.late_seconds, self.kill_late_seconds) <= MAX_DRIVER_LATE_SECONDS

    def outcome(self) -> str:
        """Return the verdict in a few words."""
        found = f"{len(self.violations)} violations" if self.violations else "all kept"
        return found if self.is_judged() else f"not judged, the driver was late ({found})"


def log_lines(folder: Path) -> list[str]:
    """Return the lines of all fronts' logs."""
    paths = sorted(folder.glob("f*-*.log"))
    return [line for path in paths for line in path.read_text(errors="replace").splitlines()]


def last_counters(folder: Path) -> Counter[str]:
    """Sum the last counters that each process logged."""
    total: Counter[str] = Counter()
    for path in folder.glob("f*-*.log"):
        lines = [line for line in path.read_text(errors="replace").splitlines() if " counters [" in line]
        for pair in lines[-1].split("[", 1)[1].split() if lines else ():
            name, _, value = pair.partition("=")
            text = value.strip('"]')
            if text.isdigit():
                total[name] += int(text)
    return total
