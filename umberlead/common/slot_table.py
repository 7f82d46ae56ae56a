"""A table of numbered slots that reuses the number freed last."""

from collections.abc import Iterator
from typing import Generic, TypeVar

from umberlead.common.errors import UmberleadError

T = TypeVar("T")


class SlotNotInUseError(UmberleadError, KeyError):
    """The slot to be freed is empty."""


class SlotTable(Generic[T]):
    """Rows with small numbers; a row keeps its number for as long as it is in the table."""

    def __init__(self) -> None:
        """Start with an empty table."""
        self._rows: list[T | None] = []
        self._free: list[int] = []

    def add(self, row: T) -> int:
        """Store a row and return its number."""
        if self._free:
            number = self._free.pop()
            self._rows[number] = row
            return number
        self._rows.append(row)
        return len(self._rows) - 1

    def get(self, number: int) -> T | None:
        """Return the row with this number, or None if there is none."""
        return self._rows[number] if 0 <= number < len(self._rows) else None

    def free(self, number: int) -> None:
        """Remove a row; its number can be reused.

        Raises:
            SlotNotInUseError: There is no row with this number.
        """
        if self._rows[number] is None:
            raise SlotNotInUseError(f"slot {number} is already free")
        self._rows[number] = None
        self._free.append(number)

    def __len__(self) -> int:
        """Return the number of rows."""
        return len(self._rows) - len(self._free)

    def __iter__(self) -> Iterator[T]:
        """Iterate over a copy of the rows, so that rows can be freed during the iteration."""
        return iter([row for row in self._rows if row is not None])
