"""From files on disk to a verdict, in one call that a worker thread makes: read, parse, resolve, check,
compare.

What it hands back is finished: the loop only looks at it."""

import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from umberlead.membership import files
from umberlead.membership.checks import CheckResult, CurrentList, ListChecker, host_names
from umberlead.membership.model import CheckedList, FilePosition, ListDelta, ListProblem, diff_endpoints
from umberlead.membership.name_resolution import NameResolver
from umberlead.membership.watching import ChangeDetector

MAX_REPORTED_PROBLEMS_COUNT = 50  # told of one set


@dataclass(slots=True)
class LoadResult:
    check_result: CheckResult
    digest: str
    watched_folders: set[Path]
    base_digest: str = ""  # the digest of the list that `delta` was taken against
    delta: ListDelta | None = None
    duration_seconds: float = 0.0  # s


class ListLoader:
    """One set of files, loaded again and again. For one thread at a time."""

    def __init__(
        self,
        main_path: Path,
        shard_count: int,
        resolver: NameResolver,
        change_detector: ChangeDetector | None = None,
        gate: Callable[[Path], list[ListProblem]] | None = None,
    ) -> None:
        """`gate` has the last word on a list that is sound and new; it may take its time."""
        self.main_path, self.resolver, self.gate = main_path, resolver, gate
        self._gate_result: tuple[str, list[ListProblem]] = (
            "",
            [],
        )  # the digest that the gate saw last, and its word
        self.checker, self.change_detector = ListChecker(shard_count), change_detector or ChangeDetector()

    def load(self, current: CheckedList | None) -> LoadResult:
        """`before` is the list in force, for versions and the difference."""
        began = time.perf_counter()
        got = files.read_stable_set(self.main_path)
        self.change_detector.record(got)
        resolved = self.resolver.resolve(host_names(got.parsed_files))
        if got.parsed_files:
            of = CurrentList() if current is None else CurrentList(current.version, current.digest)
            verdict = self.checker.check(got.parsed_files, got.digest, of, resolved)
        else:
            verdict = CheckResult(None, [])
        if got.problems:
            # The set's own problems explain the rest: first what can't be read, then what it says.
            verdict = CheckResult(None, got.problems + verdict.problems)
        if verdict.checked_list is None and not verdict.problems:
            verdict = CheckResult(
                None, [ListProblem("L401", FilePosition(self.main_path.name), "nothing could be read")]
            )
        new = verdict.checked_list is not None and (current is None or current.digest != got.digest)
        if self.gate is not None and new and (found := self._gate_problems(got.digest)):
            verdict = CheckResult(None, found)
        del verdict.problems[MAX_REPORTED_PROBLEMS_COUNT:]
        made = LoadResult(verdict, got.digest, got.watched_folders)
        if verdict.checked_list is not None:
            made.base_digest = current.digest if current else ""
            made.delta = diff_endpoints(current.endpoints if current else {}, verdict.checked_list.endpoints)
        made.duration_seconds = time.perf_counter() - began
        return made

    def _gate_problems(self, digest: str) -> list[ListProblem]:
        """The gate's word on this set, asked once for each: what it judged is what was loaded."""
        assert self.gate is not None
        if self._gate_result[0] != digest:
            found = self.gate(self.main_path)
            if (
                files.read_set(self.main_path).digest != digest
            ):  # it read the files itself, and they have moved on
                return [
                    ListProblem(
                        "L407",
                        FilePosition(self.main_path.name),
                        "the files changed while their suite was played",
                    )
                ]
            self._gate_result = (digest, found)
        return list(self._gate_result[1])
