"""A table of numbered slots: a number that was freed is the next to be reused."""

from collections.abc import Iterator
from typing import Generic, TypeVar

from umberlead.common.errors import UmberleadError

T = TypeVar("T")


class SlotNotInUseError(UmberleadError, KeyError):
    """A slot was freed that holds nothing."""


class SlotTable(Generic[T]):
    """Rows under small numbers, which stay the same for as long as a row is in the table."""

    def __init__(self) -> None:
        """Start with an empty table."""
        self._rows: list[T | None] = []
        self._free: list[int] = []

    def add(self, row: T) -> int:
        """Store a row; return its number."""
        if self._free:
            number = self._free.pop()
            self._rows[number] = row
            return number
        self._rows.append(row)
        return len(self._rows) - 1

    def get(self, number: int) -> T | None:
        """Return the row under a number, or None where there is none."""
        return self._rows[number] if 0 <= number < len(self._rows) else None

    def free(self, number: int) -> None:
        """Remove a row; its number is reused.

        Raises:
            SlotNotInUseError: there is no row under this number.
        """
        if self._rows[number] is None:
            raise SlotNotInUseError(f"slot {number} is free already")
        self._rows[number] = None
        self._free.append(number)

    def __len__(self) -> int:
        """Return how many rows there are."""
        return len(self._rows) - len(self._free)

    def __iter__(self) -> Iterator[T]:
        """Iterate over a copy of the rows, so that rows may be freed meanwhile."""
        return iter([row for row in self._rows if row is not None])
