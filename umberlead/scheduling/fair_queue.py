"""Start-time fair queueing between the volumes of a shard; priority queueing within each volume."""

import heapq
from collections.abc import Container
from itertools import count

from umberlead.scheduling.pending_request import PendingRequest


class FairQueue:
    """The requests that wait for one shard.

    Attributes:
        virtual_time: start tag of the request that was dequeued last.
        finish_tags: finish tag of each volume's last request.
        waiting: requests by volume, as heaps of (negative priority weight, objective, number, request).
        start_tags: a heap of (start tag, number, volume).
        valid_tag_numbers: number of each volume's valid start tag; tags with other numbers are stale.
        waiting_volumes_by_plan: number of volumes with waiting requests, by plan index.
    """

    def __init__(self, plan_count: int) -> None:
        """Create an empty queue."""
        self.virtual_time = 0.0
        self.finish_tags: dict[str, float] = {}
        self.waiting: dict[str, list[tuple[float, int, int, PendingRequest]]] = {}
        self.start_tags: list[tuple[float, int, str]] = []
        self.valid_tag_numbers: dict[str, int] = {}
        self.waiting_volumes_by_plan = [0] * plan_count
        self._tag_numbers = count()

    def push(self, pending: PendingRequest) -> None:
        """Add a request to its volume's heap."""
        waiting = self.waiting.setdefault(pending.request.volume, [])
        self.waiting_volumes_by_plan[pending.plan_index] += not waiting
        priority = -pending.request_class.priority_weight
        heapq.heappush(waiting, (priority, pending.objective_at_us, pending.sequence_number, pending))
        pending.queued = True

    def most_urgent(self, volume: str) -> PendingRequest | None:
        """Return the volume's most urgent waiting request; a volume without one is removed from the queue."""
        waiting = self.waiting.get(volume, [])
        while waiting and not waiting[0][3].queued:
            pending = heapq.heappop(waiting)[3]
            if not waiting:
                self.waiting_volumes_by_plan[pending.plan_index] -= 1
                del self.waiting[volume]
        return waiting[0][3] if waiting else None

    def tag_volume(self, volume: str) -> None:
        """Give a volume a start tag, which replaces any earlier one."""
        self.valid_tag_numbers[volume] = next(self._tag_numbers)
        start = max(self.virtual_time, self.finish_tags.get(volume, 0.0))
        heapq.heappush(self.start_tags, (start, self.valid_tag_numbers[volume], volume))

    def next_request(self) -> PendingRequest | None:
        """Return the request with the lowest start tag; stale tags and tags of empty volumes are dropped."""
        while self.start_tags:
            _, number, volume = self.start_tags[0]
            if self.valid_tag_numbers.get(volume) == number:
                pending = self.most_urgent(volume)
                if pending is not None:
                    return pending
            heapq.heappop(self.start_tags)
        return None

    def postpone(self) -> int:
        """Remove the lowest start tag and return its number; the caller tags its volume again later."""
        return heapq.heappop(self.start_tags)[1]

    def dequeue(self, pending: PendingRequest, weight: float) -> None:
        """Remove the request of the lowest start tag; its units over `weight` advance the finish tag."""
        start = heapq.heappop(self.start_tags)[0]
        self.virtual_time = start
        pending.queued = False
        volumes = self.waiting_volumes_by_plan[pending.plan_index]
        self.finish_tags[pending.request.volume] = start + pending.request.units * volumes / weight

    def prune(self, known_volumes: Container[str]) -> None:
        """Drop tags that no longer have an effect, so that the tables don't grow with new volumes."""
        self.finish_tags = {
            volume: tag
            for volume, tag in self.finish_tags.items()
            if tag > self.virtual_time and volume in known_volumes
        }
        self.valid_tag_numbers = {
            volume: number for volume, number in self.valid_tag_numbers.items() if volume in self.waiting
        }
