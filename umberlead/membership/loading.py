"""From files on disk to a verdict, in one call that a worker thread makes: read, parse, resolve, check,
compare.

What it hands back is finished: the loop only looks at it."""

import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from umberlead.membership import files
from umberlead.membership.checks import Before, Checks, Verdict, names
from umberlead.membership.model import Delta, Listing, Place, Problem, difference
from umberlead.membership.name_resolution import Resolver
from umberlead.membership.watching import Poll

PROBLEMS_MOST = 50  # told of one set


@dataclass(slots=True)
class Loaded:
    verdict: Verdict
    digest: str
    folders: set[Path]
    base: str = ""  # the digest of the list that `delta` was taken against
    delta: Delta | None = None
    took: float = 0.0  # s


class Loader:
    """One set of files, loaded again and again. For one thread at a time."""

    def __init__(
        self,
        main: Path,
        shards: int,
        resolver: Resolver,
        poll: Poll | None = None,
        gate: Callable[[Path], list[Problem]] | None = None,
    ) -> None:
        """`gate` has the last word on a list that is sound and new; it may take its time."""
        self.main, self.resolver, self.gate = main, resolver, gate
        self._judged: tuple[str, list[Problem]] = ("", [])  # the digest that the gate saw last, and its word
        self.checks, self.poll = Checks(shards), poll or Poll()

    def load(self, before: Listing | None) -> Loaded:
        """`before` is the list in force, for versions and the difference."""
        began = time.perf_counter()
        got = files.read_steady(self.main)
        self.poll.read(got)
        resolved = self.resolver.resolve(names(got.files))
        if got.files:
            of = Before() if before is None else Before(before.version, before.digest)
            verdict = self.checks.check(got.files, got.digest, of, resolved)
        else:
            verdict = Verdict(None, [])
        if got.problems:
            # The set's own problems explain the rest: first what can't be read, then what it says.
            verdict = Verdict(None, got.problems + verdict.problems)
        if verdict.listing is None and not verdict.problems:
            verdict = Verdict(None, [Problem("L401", Place(self.main.name), "nothing could be read")])
        new = verdict.listing is not None and (before is None or before.digest != got.digest)
        if self.gate is not None and new and (found := self._gated(got.digest)):
            verdict = Verdict(None, found)
        del verdict.problems[PROBLEMS_MOST:]
        made = Loaded(verdict, got.digest, got.folders)
        if verdict.listing is not None:
            made.base = before.digest if before else ""
            made.delta = difference(before.servers if before else {}, verdict.listing.servers)
        made.took = time.perf_counter() - began
        return made

    def _gated(self, digest: str) -> list[Problem]:
        """The gate's word on this set, asked once for each: what it judged is what was loaded."""
        assert self.gate is not None
        if self._judged[0] != digest:
            found = self.gate(self.main)
            if files.read(self.main).digest != digest:  # it read the files itself, and they have moved on
                return [
                    Problem("L407", Place(self.main.name), "the files changed while their suite was played")
                ]
            self._judged = (digest, found)
        return list(self._judged[1])
