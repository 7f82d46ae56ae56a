"""Load shedding: selects the request to reject when too many are open.

A waiting request holds its client's connection. If waiting requests held nearly all client connections,
further requests would not be read at all, whatever their priority. So the number of open requests has a limit
below that, and beyond it the waiting request of lowest priority is rejected.
"""

import heapq
import itertools

from umberlead.scheduling.pending_request import PendingRequest

MIN_PRUNED_REQUESTS = 16
MAX_STALE_FACTOR = 4  # stale entries are dropped when there are more entries than this per open request


class LoadShedder:
    """The waiting requests by priority.

    Attributes:
        max_open_requests: maximum of open requests, waiting or in flight; 0: no limit.
    """

    def __init__(self) -> None:
        """Create an instance without a limit."""
        self.max_open_requests = 0
        self._waiting: list[tuple[float, int, int, PendingRequest]] = []
        self._entry_numbers = itertools.count()

    def add(self, pending: PendingRequest, priority: float) -> None:
        """Add a waiting request with its priority."""
        entry = (priority, -pending.sequence_number, next(self._entry_numbers), pending)
        heapq.heappush(self._waiting, entry)

    def next_to_shed(self, open_requests: int) -> PendingRequest | None:
        """Return the request to reject: the latest of lowest priority; None if the limit is kept."""
        if not self.max_open_requests or open_requests <= self.max_open_requests:
            self._prune(open_requests)
            return None
        while self._waiting:
            pending = heapq.heappop(self._waiting)[3]
            if pending.queued:
                return pending
        return None

    def _prune(self, open_requests: int) -> None:
        """Drop requests that no longer wait, so that the heap does not grow."""
        bound = max(open_requests, self.max_open_requests, MIN_PRUNED_REQUESTS)
        if len(self._waiting) > MAX_STALE_FACTOR * bound:
            self._waiting = [entry for entry in self._waiting if entry[3].queued]
            heapq.heapify(self._waiting)
