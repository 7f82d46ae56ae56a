"""Which call ids are taken: endpoints know a request by its id alone, so a repeat would be a second copy."""

from collections.abc import Callable

from umberlead.requests.errors import DuplicateRequestError

RETENTION_US = 10_000_000  # at least that an id stays taken after its request came
DEFAULT_MAX_REMEMBERED_COUNT = 20_000


class RecentCallIds:
    """The ids of requests that came lately, in two spans, so that old ones go.

    Attributes:
        max_remembered: ids of a span, beyond which the next one begins early.
    """

    def __init__(self, clock: Callable[[], int]) -> None:
        """Begin with none taken; `clock` tells microseconds."""
        self.max_remembered = DEFAULT_MAX_REMEMBERED_COUNT
        self._clock = clock
        self._current: set[bytes] = set()
        self._previous: set[bytes] = set()
        self._span_began_us = clock()

    def take(self, call_id: bytes, is_open: bool) -> None:
        """Note that a request came by this id.

        Args:
            call_id: its client's name for it.
            is_open: whether a request by this id is open, however long it has been.

        Raises:
            DuplicateRequestError: the id is another's.
        """
        now_us = self._clock()
        if now_us - self._span_began_us >= RETENTION_US or len(self._current) > self.max_remembered:
            self._previous = self._current
            self._current = set()
            self._span_began_us = now_us
        if is_open or call_id in self._current or call_id in self._previous:
            raise DuplicateRequestError("this request's id is another's")
        self._current.add(call_id)
