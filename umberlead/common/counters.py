"""What the process took in, sent and answered, by name."""

from collections import Counter


class Counters(Counter[str]):
    def add(self, name: str, by: int = 1) -> None:
        self[name] += by

    def report(self) -> dict[str, int]:
        return dict(sorted(self.items()))
