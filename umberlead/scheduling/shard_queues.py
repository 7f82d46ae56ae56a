"""The fair queues by shard, without those that nothing waits in and no endpoint serves."""

from collections.abc import Callable, Container

from umberlead.scheduling.endpoint_directory import ANY_SHARD
from umberlead.scheduling.fair_queue import FairQueue

MIN_QUEUES_LIMIT_COUNT = 1024  # queues above which unused ones are dropped at once


class ShardQueues(dict[int, FairQueue]):
    """Fair queues by shard.

    A queue stays when the endpoints of its shard leave, and is served by the shard's next endpoint. An empty
    one of a shard without endpoints is dropped, as clients may name shards that don't exist.
    """

    def __init__(self, plan_count: int, is_served: Callable[[int], bool]) -> None:
        """Create an empty table; `is_served` returns whether a shard has endpoints."""
        super().__init__()
        self._plan_count = plan_count
        self._is_served = is_served
        self._max_count = MIN_QUEUES_LIMIT_COUNT

    def of(self, shard: int) -> FairQueue:
        """Return the queue of a shard, which is created if there is none."""
        queue = self.get(shard)
        if queue is None:
            if len(self) >= self._max_count:
                self._drop_unused()
            queue = self[shard] = FairQueue(self._plan_count)
        return queue

    def prune(self, known_volumes: Container[str]) -> None:
        """Drop what has no effect any longer: tags of volumes, and unused queues."""
        for queue in self.values():
            queue.prune(known_volumes)
        self._drop_unused()

    def _drop_unused(self) -> None:
        unused = [
            shard
            for shard, queue in self.items()
            if not queue.waiting and shard != ANY_SHARD and not self._is_served(shard)
        ]
        for shard in unused:
            del self[shard]
        self._max_count = max(2 * len(self), MIN_QUEUES_LIMIT_COUNT)
