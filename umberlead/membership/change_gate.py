"""A gate before a watched list: it is taken only when a suite of routing tests holds under it.

The suite runs in a process of its own (`umberlead expect`), so that neither the event loop nor the loading
thread computes. The loading thread waits for it up to a time limit; the earlier list stays in force
meanwhile.
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
    """Runs a suite against a list.

    Attributes:
        suite_path: The suite of routing tests.
        timeout_seconds: The time that one run may take.
    """

    suite_path: Path
    timeout_seconds: float
    _process: "subprocess.Popen[str] | None" = None
    _closed: bool = False

    def evaluate(self, main_path: Path) -> list[ListProblem]:
        """Return why the list at `main_path` must not be taken; nothing where the suite holds.

        Blocks until the suite has ended, up to the time limit.
        """
        try:
            process = subprocess.Popen(
                self._command(main_path), stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True
            )
        except OSError as error:
            return [self._problem("L502", f"the suite can't be played: {error}")]
        with process:
            self._process = process
            if self._closed:  # Closed in between: nobody else would end it.
                process.kill()
            try:
                output, errors = process.communicate(timeout=self.timeout_seconds)
            except subprocess.TimeoutExpired:
                process.kill()
                return [self._problem("L503", f"the suite has not ended within {self.timeout_seconds:g} s")]
            finally:
                self._process = None
        if process.returncode == 0:
            return []
        if process.returncode == 1 and (failed := self._failed_expectations(output)):
            return failed
        reason = (errors.strip().splitlines() or [f"exit code {process.returncode}"])[0]
        return [self._problem("L502", f"the suite can't be played: {reason}")]

    def close(self) -> None:
        """End a suite that is running, so that the process can end; may be called from any thread."""
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
        """Return the expectations that failed, by the command's JSON; nothing where it can't be read."""
        try:
            verdicts = [verdict for suite in json.loads(output).values() for verdict in suite["verdicts"]]
        except (ValueError, KeyError, AttributeError):
            return []
        failed = [verdict for verdict in verdicts if verdict["outcome"] != "held"]
        return [
            self._problem("L501", f"{verdict['text']}: {verdict['why']}", verdict["line"])
            for verdict in failed[:MAX_REPORTED_PROBLEMS_COUNT]
        ]
