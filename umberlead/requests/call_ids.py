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


class _IdSpans:
    """The hashes of ids in two time spans, of which the older one is dropped as a whole."""

    def __init__(self, now_us: int) -> None:
        self._current: set[int] = set()
        self._previous: set[int] = set()
        self._span_began_us = now_us

    def __contains__(self, digest: int) -> bool:
        return digest in self._current or digest in self._previous

    def __len__(self) -> int:
        """Return the number of ids in the present span."""
        return len(self._current)

    def add(self, digest: int) -> None:
        self._current.add(digest)

    def begin_span_if_due(self, now_us: int) -> None:
        if now_us - self._span_began_us >= RETENTION_US:
            self.begin_span(now_us)

    def begin_span(self, now_us: int) -> None:
        self._previous = self._current
        self._current = set()
        self._span_began_us = now_us


class RecentCallIds:
    """The call ids of recent requests, as hashes.

    Where there are more than memory allows, those of idempotent requests are forgotten early. Those of others
    never are: requests that must not run twice are rejected then.

    Attributes:
        max_ids_per_span: number of ids of each kind in a span of `RETENTION_US`.
        shared: the ids that all processes of this front have reserved; None if it has only this process.
    """

    def __init__(self, clock: Callable[[], int]) -> None:
        """Start without reserved ids; `clock` returns microseconds."""
        self.max_ids_per_span = DEFAULT_MAX_REMEMBERED_COUNT
        self.shared: SharedReservations | None = None
        self._clock = clock
        self._idempotent = _IdSpans(clock())
        self._not_idempotent = _IdSpans(clock())

    def reserve(self, call_id: bytes, is_open: bool, deadline_us: int, is_idempotent: bool) -> None:
        """Reserve the call id of a request that was just received.

        Args:
            call_id: the id that the client gave the request.
            is_open: whether a request with this id is open, however long ago it was received.
            deadline_us: when the request is answered at the latest.
            is_idempotent: whether it does no harm if the request runs twice.

        Raises:
            DuplicateRequestError: another request that is open or recent has this id.
            CallIdUndecidedError: it can't be told now whether another process has this id, or there is no
                memory to remember it.
        """
        now_us = self._clock()
        self._idempotent.begin_span_if_due(now_us)
        self._not_idempotent.begin_span_if_due(now_us)
        digest = hash(call_id)
        if is_open or digest in self._idempotent or digest in self._not_idempotent:
            raise DuplicateRequestError("this request's id is another's")
        spans = self._idempotent if is_idempotent else self._not_idempotent
        if len(spans) >= self.max_ids_per_span:
            if not is_idempotent:
                raise CallIdUndecidedError("too many ids are remembered at present")
            spans.begin_span(now_us)
        if self.shared is not None:
            self._reserve_shared(self.shared, call_id, deadline_us - now_us, is_idempotent)
        spans.add(digest)

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
