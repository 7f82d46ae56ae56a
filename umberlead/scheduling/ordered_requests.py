"""Requests of ordered classes: of one key, one at a time and in the order they came."""

from collections import deque

from umberlead.scheduling.pending_request import PendingRequest


class OrderedRequests:
    """The requests of ordered classes, by key."""

    def __init__(self) -> None:
        """Begin empty."""
        self._by_key: dict[str, deque[PendingRequest]] = {}
        self._paused_until_us: dict[str, int] = {}

    def add(self, key: str, pending: PendingRequest) -> None:
        """Put a request behind the others of its key."""
        self._by_key.setdefault(key, deque()).append(pending)

    def remove(self, key: str, pending: PendingRequest) -> bool:
        """Take a request out; return whether it was there."""
        requests = self._by_key.get(key)
        if requests is None or pending not in requests:
            return False
        requests.remove(pending)
        return True

    def pause(self, key: str, until_us: int) -> None:
        """Let a key rest: what ran in doubt may still end."""
        self._paused_until_us[key] = until_us

    def paused_until_us(self, key: str) -> int:
        """Return when the key's next request may go; 0 where it does not rest."""
        return self._paused_until_us.get(key, 0)

    def next_to_release(self, key: str) -> PendingRequest | None:
        """Return the key's first request if nothing became of it yet; an empty key is forgotten."""
        requests = self._by_key.get(key)
        if not requests:
            self._paused_until_us.pop(key, None)
            self._by_key.pop(key, None)
            return None
        first = requests[0]
        if first.queued or first.attempts_in_flight or first.done:
            return None
        return first
