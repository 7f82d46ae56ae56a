"""Whether clients that were rejected come back, learnt where they do not mark their retries.

A request with little time left is either a client's retry, whose first try began long ago, or the first try
of an impatient client. Both look alike. Where rejected requests are seen not to come back, there are no
retries. Times are whole microseconds.
"""

from collections import OrderedDict

RETRY_WINDOW_US = 1_500_000  # in which a rejected request has come back, if it does
MIN_OBSERVED_REJECTIONS = 8  # before anything is concluded
RARE_RETRY_RATIO = 0.1  # of rejections, below which retries are rare
OBSERVATION_DECAY_FACTOR = 0.98  # of earlier observations, with each further one
MAX_TRACKED_REQUESTS = 2000

RequestIdentity = tuple[str, str | None, str]  # volume, key and class: what a retry shares with its first try


class ClientRetries:
    """Waits for each rejected request to come back, and counts."""

    def __init__(self) -> None:
        """Begin with nothing learnt: clients are thought to come back."""
        self._rejected_us: OrderedDict[RequestIdentity, int] = OrderedDict()
        self._returned_count = 0.0
        self._absent_count = 0.0

    def record_rejection(self, identity: RequestIdentity, now_us: int) -> None:
        """Note that the first try of a request is rejected."""
        self._expire(now_us)
        self._rejected_us[identity] = now_us
        if len(self._rejected_us) > MAX_TRACKED_REQUESTS:
            self._rejected_us.popitem(last=False)

    def record_arrival(self, identity: RequestIdentity, now_us: int) -> bool:
        """Note that a request came; return whether it is the retry of one that was rejected."""
        self._expire(now_us)
        is_retry = self._rejected_us.pop(identity, None) is not None
        if is_retry:
            self._learn(1.0, 0.0)
        return is_retry

    def are_rare(self) -> bool:
        """Tell whether rejected requests are seen not to come back."""
        observed = self._returned_count + self._absent_count
        return observed >= MIN_OBSERVED_REJECTIONS and self._returned_count < RARE_RETRY_RATIO * observed

    def _expire(self, now_us: int) -> None:
        while self._rejected_us:
            identity, rejected_us = next(iter(self._rejected_us.items()))
            if rejected_us + RETRY_WINDOW_US > now_us:
                break
            del self._rejected_us[identity]
            self._learn(0.0, 1.0)

    def _learn(self, returned: float, absent: float) -> None:
        self._returned_count = OBSERVATION_DECAY_FACTOR * self._returned_count + returned
        self._absent_count = OBSERVATION_DECAY_FACTOR * self._absent_count + absent
