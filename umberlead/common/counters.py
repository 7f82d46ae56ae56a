"""Counters of a process: what it received, sent and answered, by exported name."""

from collections import Counter


class Counters(Counter[str]):
    """Counts by name; a name that was never counted is 0."""

    def add(self, name: str, by: int = 1) -> None:
        """Add `by` to the counter `name`."""
        self[name] += by

    def report(self) -> dict[str, int]:
        """Return all counters, sorted by name."""
        return dict(sorted(self.items()))
