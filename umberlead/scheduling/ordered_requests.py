"""Requests of ordered classes: those of one key run one at a time, in the order of their arrival."""

from collections import deque

from umberlead.scheduling.pending_request import PendingRequest


class OrderedRequests:
    """The requests of ordered classes, by key."""

    def __init__(self) -> None:
        """Create an instance without requests."""
        self._by_key: dict[str, deque[PendingRequest]] = {}
        self._paused_until_us: dict[str, int] = {}

    def add(self, key: str, pending: PendingRequest) -> None:
        """Add a request after the others of its key."""
        self._by_key.setdefault(key, deque()).append(pending)

    def remove(self, key: str, pending: PendingRequest) -> bool:
        """Remove a request; return whether it was present."""
        requests = self._by_key.get(key)
        if requests is None or pending not in requests:
            return False
        requests.remove(pending)
        return True

    def pause(self, key: str, until_us: int) -> None:
        """Hold the key's next request until `until_us`, as a request with unknown outcome may still run."""
        self._paused_until_us[key] = until_us

    def paused_until_us(self, key: str) -> int:
        """Return when the key's pause ends; 0 if it has none."""
        return self._paused_until_us.get(key, 0)

    def next_to_release(self, key: str) -> PendingRequest | None:
        """Return the key's first request unless it is queued, in flight or done; drop an empty key."""
        requests = self._by_key.get(key)
        if not requests:
            self._paused_until_us.pop(key, None)
            self._by_key.pop(key, None)
            return None
        first = requests[0]
        if first.queued or first.attempts_in_flight or first.done:
            return None
        return first
