"""A gate before a watched list: it is taken only when a suite of routing tests holds under it.

The suite is played by a process of its own (`umberlead expect`), so that neither the loop nor the loading
thread computes; the thread waits for it up to a budget, and the old list stays in force meanwhile."""

import json
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path

from umberlead.membership.model import FilePosition, ListProblem

MAX_REPORTED_PROBLEMS_COUNT = 10  # failed expectations told


@dataclass(eq=False)
class ChangeGate:
    suite_path: Path
    timeout_seconds: float  # s
    _process: "subprocess.Popen[str] | None" = None
    _closed: bool = False

    def evaluate(self, main_path: Path) -> list[ListProblem]:
        """Why the list at `main` must not be taken; empty where the suite holds. Blocks up to the budget."""
        place = FilePosition(self.suite_path.name)
        call = [
            sys.executable,
            "-B",
            "-m",
            "umberlead",
            "expect",
            str(self.suite_path),
            "--list",
            str(main_path),
            "--json",
        ]
        try:
            playing = subprocess.Popen(call, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True)
        except OSError as fault:
            return [ListProblem("L502", place, f"the suite can't be played: {fault}")]
        with playing:
            self._process = playing
            if self._closed:  # in between: nobody would end it any more
                playing.kill()
            try:
                out, err = playing.communicate(timeout=self.timeout_seconds)
            except subprocess.TimeoutExpired:
                playing.kill()
                return [
                    ListProblem("L503", place, f"the suite has not ended within {self.timeout_seconds:g} s")
                ]
            finally:
                self._process = None
        if playing.returncode == 0:
            return []
        if playing.returncode == 1 and (found := self._failed_expectations(out)):
            return found
        why = (err.strip().splitlines() or [f"exit code {playing.returncode}"])[0]
        return [ListProblem("L502", place, f"the suite can't be played: {why}")]

    def close(self) -> None:
        """From another thread: a suite that is being played ends, so that the process can."""
        self._closed = True
        if (playing := self._process) is not None:
            playing.kill()

    def _failed_expectations(self, text: str) -> list[ListProblem]:
        try:
            told = [row for of in json.loads(text).values() for row in of["verdicts"]]
        except (ValueError, KeyError, AttributeError):
            return []
        bad = [row for row in told if row["outcome"] != "held"]
        return [
            ListProblem(
                "L501", FilePosition(self.suite_path.name, row["line"]), f"{row['text']}: {row['why']}"
            )
            for row in bad[:MAX_REPORTED_PROBLEMS_COUNT]
        ]
