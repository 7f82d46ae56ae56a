"""Runs a suite of routing tests against a new list, which is accepted only if the suite passes.

The suite runs in a separate process (`umberlead expect`), so that it uses no CPU time of this one. The
loading thread waits for the suite up to a time limit; the earlier list stays in force meanwhile.
"""

import json
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path

from umberlead.membership.model import FilePosition, ListProblem

MAX_REPORTED_PROBLEMS_COUNT = 10


@dataclass(eq=False)
class ChangeGate:
    """Runs a suite of routing tests against a list.

    Attributes:
        suite_path: The suite of routing tests.
        timeout_seconds: The time limit of one run.
    """

    suite_path: Path
    timeout_seconds: float
    _process: "subprocess.Popen[str] | None" = None
    _closed: bool = False

    def evaluate(self, main_path: Path) -> list[ListProblem]:
        """Return the reasons to reject the list at `main_path`; an empty list if the suite passes.

        Blocks until the suite ends or the time limit is reached.
        """
        try:
            process = subprocess.Popen(
                self._command(main_path), stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True
            )
        except OSError as error:
            return [self._problem("L502", f"the suite can't be run: {error}")]
        with process:
            self._process = process
            if self._closed:  # close() ran before the process was stored, and did not kill it.
                process.kill()
            try:
                output, errors = process.communicate(timeout=self.timeout_seconds)
            except subprocess.TimeoutExpired:
                process.kill()
                return [self._problem("L503", f"the suite did not finish within {self.timeout_seconds:g} s")]
            finally:
                self._process = None
        if process.returncode == 0:
            return []
        if process.returncode == 1 and (failed := self._failed_expectations(output)):
            return failed
        reason = (errors.strip().splitlines() or [f"exit code {process.returncode}"])[0]
        return [self._problem("L502", f"the suite can't be run: {reason}")]

    def close(self) -> None:
        """Kill a running suite, so that this process can exit; may be called from any thread."""
        self._closed = True
        if (process := self._process) is not None:
            process.kill()

    def _command(self, main_path: Path) -> list[str]:
        return [
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

    def _problem(self, code: str, message: str, line: int = 0) -> ListProblem:
        return ListProblem(code, FilePosition(self.suite_path.name, line), message)

    def _failed_expectations(self, output: str) -> list[ListProblem]:
        """Return the expectations that failed from the command's JSON output; none if it is malformed."""
        try:
            verdicts = [verdict for suite in json.loads(output).values() for verdict in suite["verdicts"]]
        except (ValueError, KeyError, AttributeError):
            return []
        failed = [verdict for verdict in verdicts if verdict["outcome"] != "held"]
        return [
            self._problem("L501", f"{verdict['text']}: {verdict['why']}", verdict["line"])
            for verdict in failed[:MAX_REPORTED_PROBLEMS_COUNT]
        ]
