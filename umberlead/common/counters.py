"""The counters of a process by exported name, for example of received, sent and answered requests."""

from collections import Counter


class Counters(Counter[str]):
    """Counts by name; a name that was never added has the count 0."""

    def add(self, name: str, by: int = 1) -> None:
        """Add `by` to the counter `name`."""
        self[name] += by

    def report(self) -> dict[str, int]:
        """Return all counters, sorted by name."""
        return dict(sorted(self.items()))
