"""The call ids of open and recent requests.

Endpoints identify a request by its call id alone, so a second request with the same id would count as a copy.
"""

from collections.abc import Callable
from enum import Enum
from typing import Protocol

from umberlead.requests.errors import CallIdUndecidedError, DuplicateRequestError

# How long a call id stays reserved after its request was received, while there is memory for so many.
RETENTION_US = 10_000_000
DEFAULT_MAX_REMEMBERED_COUNT = 20_000


class Reservation(Enum):
    """The result of reserving a call id among the processes of a front."""

    RESERVED = "reserved"
    DUPLICATE = "duplicate"  # another request that is open or recent has the id
    UNDECIDED = "undecided"  # another process decides on such an id at this moment, or too many are open
    UNAVAILABLE = "unavailable"  # another process runs, and the ids can't be shared with it now


class SharedReservations(Protocol):
    """The call ids that all processes of a front have reserved."""

    def reserve_call_id(self, call_id: bytes, open_for_us: int) -> Reservation:
        """Reserve a call id for a request that is open for at most `open_for_us` microseconds."""


class RecentCallIds:
    """The call ids of recent requests, in two time spans, of which the older one is dropped as a whole.

    Attributes:
        max_ids_per_span: number of ids in a span beyond which the next span begins early.
        shared: the ids that all processes of this front have reserved; None if it has only this process.
    """

    def __init__(self, clock: Callable[[], int]) -> None:
        """Start without reserved ids; `clock` returns microseconds."""
        self.max_ids_per_span = DEFAULT_MAX_REMEMBERED_COUNT
        self.shared: SharedReservations | None = None
        self._clock = clock
        self._current: set[bytes] = set()
        self._previous: set[bytes] = set()
        self._span_began_us = clock()

    def reserve(self, call_id: bytes, is_open: bool, deadline_us: int, is_idempotent: bool) -> None:
        """Reserve the call id of a request that was just received.

        Args:
            call_id: the id that the client gave the request.
            is_open: whether a request with this id is open, however long ago it was received.
            deadline_us: when the request is answered at the latest.
            is_idempotent: whether it does no harm if the request runs twice.

        Raises:
            DuplicateRequestError: another request that is open or recent has this id.
            CallIdUndecidedError: it can't be told now whether another process has this id.
        """
        now_us = self._clock()
        if now_us - self._span_began_us >= RETENTION_US or len(self._current) > self.max_ids_per_span:
            self._previous = self._current
            self._current = set()
            self._span_began_us = now_us
        if is_open or call_id in self._current or call_id in self._previous:
            raise DuplicateRequestError("this request's id is another's")
        if self.shared is not None:
            self._reserve_shared(self.shared, call_id, deadline_us - now_us, is_idempotent)
        self._current.add(call_id)

    @staticmethod
    def _reserve_shared(
        shared: SharedReservations, call_id: bytes, open_for_us: int, is_idempotent: bool
    ) -> None:
        reservation = shared.reserve_call_id(call_id, open_for_us)
        if reservation is Reservation.DUPLICATE:
            raise DuplicateRequestError("this request's id is another's")
        if reservation is Reservation.UNDECIDED:
            raise CallIdUndecidedError("another request with this id may be open")
        if reservation is Reservation.UNAVAILABLE and not is_idempotent:
            raise CallIdUndecidedError("the ids of open requests can't be read now")
