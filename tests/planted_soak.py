"""Guards of the front taken out one at a time, and whether the soak's judge finds it from its own records.

`python -m tests.planted_soak` plays each on three seeds; `make planted-soak` does so. The fronts' own checks
at run time don't count. A seed on which nothing is found is a miss.
"""

import shutil
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

from umberlead.common.errors import UmberleadError

ROOT = Path(__file__).resolve().parent.parent
SEEDS_COUNT = 3
SECONDS = "14"
SIZE = ("--fronts", "4", "--nodes", "6", "--clients", "4")
OWN_CHECKS = ("invariant_violations", "module_errors", "unexpected_errors")
SEEDS_OF_A_MIX_STEP = 5


class PlantedTextError(UmberleadError, ValueError):
    """A text that a planted mistake replaces is not there, or more than once."""


@dataclass(frozen=True)
class Replacement:
    """A text of the program, and what stands in its place."""

    path: str
    old: str
    new: str


@dataclass(frozen=True)
class Planted:
    """A guard that is taken out.

    Attributes:
        name: what is off.
        rules: of the judge, one of which has to be found broken.
        first_seed: whose mix shows it; seeds of the same mix follow.
        replacements: that take it out.
    """

    name: str
    rules: tuple[str, ...]
    first_seed: int
    replacements: tuple[Replacement, ...]


PLANTED = (
    Planted(
        "drain: sends go on to a server that drains",
        ("drain",),
        10,
        (
            Replacement(
                "scheduling/endpoint_state.py",
                "if self.endpoint.status is not EndpointStatus.UP or self._is_full(units):",
                "if self._is_full(units):",
            ),
            Replacement(
                "requests/send_guard.py",
                "if not self._accepts_new_requests(attempt.endpoint):",
                "if False:",
            ),
        ),
    ),
    Planted(
        "slow start: a cold server gets all at once",
        ("slow_start",),
        14,
        (Replacement("scheduling/endpoint_state.py", "        if not cost_us:\n", "        if True:\n"),),
    ),
    Planted(
        "client left: what waits for a client that left is sent",
        ("client_left",),
        13,
        (
            Replacement(
                "requests/lifecycle.py",
                "        if request.answered:\n            return\n        request.answered = True\n"
                "        request.client_disconnected_us",
                "        if True:\n            return\n        request.answered = True\n"
                "        request.client_disconnected_us",
            ),
            Replacement(
                "requests/lifecycle.py",
                "        if request.answered or request.abandoned:\n            return False\n"
                "        check_disconnect",
                "        return not request.answered\n        check_disconnect",
            ),
        ),
    ),
    Planted(
        "in time: a server is told half a second more than is left",
        ("budget",),
        10,
        (
            Replacement(
                "net/endpoint_protocol.py",
                "(max(budget_us, 0) / 1e6)",
                "((max(budget_us, 0) + 500_000) / 1e6)",
            ),
        ),
    ),
    Planted(
        "never twice: what may have run is sent again",
        ("duplicate",),
        10,
        (
            Replacement(
                "scheduling/retries.py",
                "    if request_class.repeatability is Repeatability.IDEMPOTENT:\n        return NEVER\n",
                "    if True:\n        return NEVER\n",
            ),
            Replacement("requests/send_guard.py", "if request.may_have_run and unsafe:", "if False:"),
        ),
    ),
    Planted(
        "answer before the kill: open requests are answered after it",
        ("stands",),
        11,
        (
            Replacement(
                "daemon/shutdown.py", "FINISH_BEFORE_KILL_US = 200_000", "FINISH_BEFORE_KILL_US = -900_000"
            ),
            Replacement(
                "daemon/shutdown.py", "DRAIN_BEFORE_KILL_US = 400_000", "DRAIN_BEFORE_KILL_US = -800_000"
            ),
        ),
    ),
    Planted(
        "quota: two processes of a front have all of its descriptors each",
        ("descriptors",),
        12,
        (
            Replacement(
                "handover/quota_division.py",
                "    siblings = _started_siblings(siblings)\n    if not siblings:",
                "    siblings = []\n    if not siblings:",
            ),
            Replacement(
                "handover/quota_division.py",
                "    siblings = _started_siblings(siblings)\n    equal_share",
                "    siblings = []\n    equal_share",
            ),
        ),
    ),
)


def apply(planted: Planted, package: Path) -> None:
    """Take the guard out of a copy of the program.

    Raises:
        PlantedTextError: a text is not there, or more than once.
    """
    for replacement in planted.replacements:
        path = package / replacement.path
        text = path.read_text()
        if text.count(replacement.old) != 1:
            raise PlantedTextError(f"{planted.name}: {replacement.path} has {replacement.old!r} not once")
        path.write_text(text.replace(replacement.old, replacement.new))


def found_rules(folder: Path, seed: int) -> set[str]:
    """Play a seed with the program in `folder`; return the rules that the judge found broken."""
    call = [sys.executable, "-B", "-m", "umberlead.testing.soak", "--seed", str(seed), "--seconds", SECONDS]
    done = subprocess.run([*call, *SIZE], cwd=folder, capture_output=True, text=True, check=False)
    prefix = f"seed {seed}: "
    lines = [line.removeprefix(prefix) for line in done.stdout.splitlines() if line.startswith(prefix)]
    return {line.partition(":")[0] for line in lines} - set(OWN_CHECKS)


def main() -> int:
    """Play all; return 1 where a seed missed a planted mistake."""
    missed = 0
    for planted in PLANTED:
        with tempfile.TemporaryDirectory() as made:
            folder = Path(made)
            shutil.copytree(ROOT / "umberlead", folder / "umberlead")
            apply(planted, folder / "umberlead")
            for number in range(SEEDS_COUNT):
                seed = planted.first_seed + number * SEEDS_OF_A_MIX_STEP
                rules = found_rules(folder, seed)
                caught = bool(rules & set(planted.rules))
                missed += not caught
                word = "caught" if caught else "MISSED"
                print(f"{word}: {planted.name}, seed {seed}: {', '.join(sorted(rules))}", flush=True)
    print(f"{SEEDS_COUNT * len(PLANTED) - missed} of {SEEDS_COUNT * len(PLANTED)} caught")
    return int(missed > 0)


if __name__ == "__main__":
    sys.exit(main())
