"""A table of numbered slots: a freed number is the next to be used again."""

from collections.abc import Iterator
from typing import Generic, TypeVar

T = TypeVar("T")


class SlotTable(Generic[T]):
    def __init__(self) -> None:
        self._rows: list[T | None] = []
        self._free: list[int] = []

    def add(self, row: T) -> int:
        if self._free:
            number = self._free.pop()
            self._rows[number] = row
            return number
        self._rows.append(row)
        return len(self._rows) - 1

    def get(self, number: int) -> T | None:
        return self._rows[number] if 0 <= number < len(self._rows) else None

    def free(self, number: int) -> None:
        if self._rows[number] is None:
            raise KeyError(f"slot {number} is free already")
        self._rows[number] = None
        self._free.append(number)

    def __len__(self) -> int:
        return len(self._rows) - len(self._free)

    def __iter__(self) -> Iterator[T]:
        """The rows in use, as they stand now: freeing one on the way is allowed."""
        return iter([row for row in self._rows if row is not None])
