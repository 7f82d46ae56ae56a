"""Which request to refuse where more wait than there are places for their clients' connections.

A request that waits holds its client's connection. Where those that wait hold nearly all that clients may
have, the next ones are kept out unread, whatever they are worth. So a bound is kept below that, and the
request of least value goes. Free of I/O.
"""

import heapq
import itertools

from umberlead.scheduling.pending_request import PendingRequest

MIN_PRUNED_REQUESTS = 16  # entries, of which a fourth may be dropped at once


class LoadShedder:
    """The requests that wait, by value.

    Attributes:
        limit: how many requests may be open, waiting or out at a node; 0 for any number.
    """

    def __init__(self) -> None:
        """Begin without a bound."""
        self.max_open_requests = 0
        self._waiting: list[tuple[float, int, int, PendingRequest]] = []
        self._number = itertools.count()

    def add(self, item: PendingRequest, value: float) -> None:
        """Note that a request waits, and what a unit of it earns."""
        heapq.heappush(self._waiting, (value, -item.sequence_number, next(self._number), item))

    def next_to_shed(self, open_requests: int) -> PendingRequest | None:
        """Return the request to refuse where so many are open: of the least value the one that came last."""
        if not self.max_open_requests or open_requests <= self.max_open_requests:
            self._prune(open_requests)
            return None
        while self._waiting:
            item = heapq.heappop(self._waiting)[3]
            if item.queued:
                return item
        return None

    def _prune(self, open_requests: int) -> None:
        """Drop what waits no more, so that the list does not grow."""
        if len(self._waiting) > 4 * max(open_requests, self.max_open_requests, MIN_PRUNED_REQUESTS):
            self._waiting = [entry for entry in self._waiting if entry[3].queued]
            heapq.heapify(self._waiting)
