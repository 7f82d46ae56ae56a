"""The call ids of open and recent requests.

Endpoints identify a request by its call id alone, so a second request with the same id would count as a copy.
"""

from collections.abc import Callable

from umberlead.requests.errors import DuplicateRequestError

RETENTION_US = 10_000_000  # minimum time that a call id stays reserved after its request was received
DEFAULT_MAX_REMEMBERED_COUNT = 20_000


class RecentCallIds:
    """The call ids of recent requests, in two time spans, of which the older one is dropped as a whole.

    Attributes:
        max_ids_per_span: number of ids in a span beyond which the next span begins early.
    """

    def __init__(self, clock: Callable[[], int]) -> None:
        """Start without reserved ids; `clock` returns microseconds."""
        self.max_ids_per_span = DEFAULT_MAX_REMEMBERED_COUNT
        self._clock = clock
        self._current: set[bytes] = set()
        self._previous: set[bytes] = set()
        self._span_began_us = clock()

    def reserve(self, call_id: bytes, is_open: bool) -> None:
        """Reserve the call id of a request that was just received.

        Args:
            call_id: the id that the client gave the request.
            is_open: whether a request with this id is open, however long ago it was received.

        Raises:
            DuplicateRequestError: another request that is open or recent has this id.
        """
        now_us = self._clock()
        if now_us - self._span_began_us >= RETENTION_US or len(self._current) > self.max_ids_per_span:
            self._previous = self._current
            self._current = set()
            self._span_began_us = now_us
        if is_open or call_id in self._current or call_id in self._previous:
            raise DuplicateRequestError("this request's id is another's")
        self._current.add(call_id)
