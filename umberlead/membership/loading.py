"""Loads list files into a checked list: reads, parses, resolves host names, checks and compares.

All steps run in one call on a worker thread, so that the event loop only has to apply the result.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import NamedTuple

from umberlead.membership import files
from umberlead.membership.checks import CheckResult, CurrentList, ListChecker, host_names
from umberlead.membership.model import CheckedList, FilePosition, ListDelta, ListProblem, diff_endpoints
from umberlead.membership.name_resolution import NameResolver
from umberlead.membership.watching import ChangeDetector

MAX_REPORTED_PROBLEMS_COUNT = 50


@dataclass(slots=True)
class LoadResult:
    """The result of a load.

    Attributes:
        check_result: The checked list, or the problems of the files.
        digest: The digest of the set of files.
        watched_folders: The folders of the files.
        base_digest: The digest of the list that `delta` was computed against; "" for none.
        delta: The difference from the list in force; None if there is no checked list.
        duration_seconds: How long the load took.
    """

    check_result: CheckResult
    digest: str
    watched_folders: set[Path]
    base_digest: str = ""
    delta: ListDelta | None = None
    duration_seconds: float = 0.0


class _GateResult(NamedTuple):
    digest: str
    problems: list[ListProblem]


class ListLoader:
    """Loads one set of files any number of times; must not be used by two threads at once.

    Attributes:
        main_path: The main file.
        resolver: Resolves host names.
        gate: Returns the reasons to reject a list; None accepts each list that passes the checks.
        checker: Runs the checks.
        change_detector: Records the signatures of the files that were read.
    """

    def __init__(
        self,
        main_path: Path,
        shard_count: int,
        resolver: NameResolver,
        change_detector: ChangeDetector | None = None,
        gate: Callable[[Path], list[ListProblem]] | None = None,
    ) -> None:
        """Create the loader; nothing is loaded yet.

        Args:
            main_path: The main file.
            shard_count: The number of shards; 0 if it is not known.
            resolver: Resolves host names.
            change_detector: Records the signatures of the files that were read; a new one by default.
            gate: Called last, with the main file of a new list that passed the checks; may block.
        """
        self.main_path = main_path
        self.resolver = resolver
        self.gate = gate
        self.checker = ListChecker(shard_count)
        self.change_detector = change_detector or ChangeDetector()
        self._gate_result = _GateResult("", [])

    def load(self, current: CheckedList | None) -> LoadResult:
        """Load the current files; `current` is the list in force."""
        started_seconds = time.perf_counter()
        file_set = files.read_stable_set(self.main_path)
        self.change_detector.record(file_set)
        check_result = self._check(file_set, current)
        is_new = current is None or current.digest != file_set.digest
        if check_result.checked_list is not None and is_new and self.gate is not None:
            gate_problems = self._gate_problems(self.gate, file_set.digest)
            if gate_problems:
                check_result = CheckResult(None, gate_problems)
        del check_result.problems[MAX_REPORTED_PROBLEMS_COUNT:]
        result = LoadResult(check_result, file_set.digest, file_set.watched_folders)
        if check_result.checked_list is not None:
            result.base_digest = current.digest if current else ""
            old_endpoints = current.endpoints if current else {}
            result.delta = diff_endpoints(old_endpoints, check_result.checked_list.endpoints)
        result.duration_seconds = time.perf_counter() - started_seconds
        return result

    def _check(self, file_set: files.FileSet, current: CheckedList | None) -> CheckResult:
        resolved = self.resolver.resolve(host_names(file_set.parsed_files))
        check_result = CheckResult(None, [])
        if file_set.parsed_files:
            in_force = CurrentList() if current is None else CurrentList(current.version, current.digest)
            check_result = self.checker.check(file_set.parsed_files, file_set.digest, in_force, resolved)
        if file_set.problems:
            # Files that can't be read explain other problems, so their problems come first.
            check_result = CheckResult(None, file_set.problems + check_result.problems)
        if check_result.checked_list is None and not check_result.problems:
            position = FilePosition(files.printable_name(self.main_path.name))
            check_result = CheckResult(None, [ListProblem("L401", position, "no list file could be read")])
        return check_result

    def _gate_problems(self, gate: Callable[[Path], list[ListProblem]], digest: str) -> list[ListProblem]:
        """Return the gate's reasons to reject this set; the gate runs once for each digest."""
        if self._gate_result.digest != digest:
            gate_problems = gate(self.main_path)
            if files.read_set(self.main_path).digest != digest:
                # The gate reads the files itself; they have changed, so its result is for other content.
                message = "the files changed while the routing tests were running"
                return [ListProblem("L407", FilePosition(files.printable_name(self.main_path.name)), message)]
            self._gate_result = _GateResult(digest, gate_problems)
        return list(self._gate_result.problems)
