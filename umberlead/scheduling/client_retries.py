"""Estimates whether clients retry rejected requests, for clients that do not mark their retries.

A request with little time left is either a retry, whose first try began long ago, or the first try of a
client with a short timeout. The request itself does not show which. If rejected requests are not seen again,
clients do not retry. Times are whole microseconds.
"""

from collections import OrderedDict

RETRY_WINDOW_US = 1_500_000  # a retry is expected within this time of the rejection
MIN_OBSERVED_REJECTIONS = 8  # fewer allow no conclusion
RARE_RETRY_RATIO = 0.1  # retries are rare below this part of all rejections
OBSERVATION_DECAY_FACTOR = 0.98  # applied to the counts with each observation
MAX_TRACKED_REQUESTS = 2000

RequestIdentity = tuple[str, str | None, str]  # volume, key, class


class ClientRetries:
    """Counts which rejected requests are retried within `RETRY_WINDOW_US`."""

    def __init__(self) -> None:
        """Create an instance without observations, which assumes that clients retry."""
        self._rejected_us: OrderedDict[RequestIdentity, int] = OrderedDict()
        self._retried_count = 0.0
        self._not_retried_count = 0.0

    def record_rejection(self, identity: RequestIdentity, now_us: int) -> None:
        """Record that the first try of a request is rejected."""
        self._expire(now_us)
        self._rejected_us[identity] = now_us
        if len(self._rejected_us) > MAX_TRACKED_REQUESTS:
            self._rejected_us.popitem(last=False)

    def record_arrival(self, identity: RequestIdentity, now_us: int) -> bool:
        """Record the arrival of a request; return whether it is the retry of a rejected one."""
        self._expire(now_us)
        is_retry = self._rejected_us.pop(identity, None) is not None
        if is_retry:
            self._observe(1.0, 0.0)
        return is_retry

    def are_rare(self) -> bool:
        """Return whether enough rejections were observed and few of them were retried."""
        observed = self._retried_count + self._not_retried_count
        return observed >= MIN_OBSERVED_REJECTIONS and self._retried_count < RARE_RETRY_RATIO * observed

    def _expire(self, now_us: int) -> None:
        while self._rejected_us:
            identity, rejected_us = next(iter(self._rejected_us.items()))
            if rejected_us + RETRY_WINDOW_US > now_us:
                break
            del self._rejected_us[identity]
            self._observe(0.0, 1.0)

    def _observe(self, retried: float, not_retried: float) -> None:
        self._retried_count = OBSERVATION_DECAY_FACTOR * self._retried_count + retried
        self._not_retried_count = OBSERVATION_DECAY_FACTOR * self._not_retried_count + not_retried
