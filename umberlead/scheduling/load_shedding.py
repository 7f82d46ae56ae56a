"""Which request to reject where more are open than there are places for their clients' connections.

A request that waits holds its client's connection. Where those that wait hold nearly all that clients may
have, the next ones are kept out unread, whatever their priority. So a bound is kept below that, and the
request of lowest priority is rejected.
"""

import heapq
import itertools

from umberlead.scheduling.pending_request import PendingRequest

MIN_PRUNED_REQUESTS = 16
MAX_STALE_FACTOR = 4  # entries, over the open requests, beyond which stale ones are dropped


class LoadShedder:
    """The requests that wait, by priority.

    Attributes:
        max_open_requests: how many may be open, waiting or in flight; 0 for any number.
    """

    def __init__(self) -> None:
        """Begin without a bound."""
        self.max_open_requests = 0
        self._waiting: list[tuple[float, int, int, PendingRequest]] = []
        self._entry_numbers = itertools.count()

    def add(self, pending: PendingRequest, priority: float) -> None:
        """Note that a request waits, and what a unit of it is worth."""
        entry = (priority, -pending.sequence_number, next(self._entry_numbers), pending)
        heapq.heappush(self._waiting, entry)

    def next_to_shed(self, open_requests: int) -> PendingRequest | None:
        """Return the request to reject where so many are open: of the lowest priority the latest."""
        if not self.max_open_requests or open_requests <= self.max_open_requests:
            self._prune(open_requests)
            return None
        while self._waiting:
            pending = heapq.heappop(self._waiting)[3]
            if pending.queued:
                return pending
        return None

    def _prune(self, open_requests: int) -> None:
        """Drop requests that no longer wait, so that the list does not grow."""
        bound = max(open_requests, self.max_open_requests, MIN_PRUNED_REQUESTS)
        if len(self._waiting) > MAX_STALE_FACTOR * bound:
            self._waiting = [entry for entry in self._waiting if entry[3].queued]
            heapq.heapify(self._waiting)
