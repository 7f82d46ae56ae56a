"""Whether clients that were refused come again, learnt where they do not mark their further tries.

A request with little time left is either a client's further try, whose first one began long ago, or the first
of an impatient client. Both look alike. Where those that were refused are seen not to come again, there are
no further tries. Free of I/O; times are whole microseconds.
"""

from collections import OrderedDict

RETRY_WINDOW_US = 1_500_000  # in which a client that was refused has come again, if it does
MIN_OBSERVED_REJECTIONS = 8  # of which none came again, from which on nobody is thought to
RARE_RETRY_RATIO = 0.1  # of refusals, below which further tries are rare
OBSERVATION_DECAY_FACTOR = 0.98  # of what was learnt, with each further refusal
MAX_TRACKED_REQUESTS = 2000  # that are waited for

RequestIdentity = tuple[
    str, str | None, str
]  # volume, key and class: what a further try has in common with its first


class ClientRetries:
    """Waits for each refused request to come again, and counts."""

    def __init__(self) -> None:
        """Begin with nothing learnt: clients are thought to come again."""
        self._refused: OrderedDict[RequestIdentity, int] = OrderedDict()  # and when
        self._came_again = self._stayed_away = 0.0

    def record_rejection(self, request: RequestIdentity, now_us: int) -> None:
        """Note that the first try of a request was refused."""
        self._expire(now_us)
        self._refused[request] = now_us
        if len(self._refused) > MAX_TRACKED_REQUESTS:
            self._refused.popitem(last=False)

    def record_arrival(self, request: RequestIdentity, now_us: int) -> bool:
        """Note that a request came; return whether it is a further try of one that was refused."""
        self._expire(now_us)
        again = self._refused.pop(request, None) is not None
        if again:
            self._learn(1.0, 0.0)
        return again

    def are_rare(self) -> bool:
        """Tell whether clients that are refused are seen not to come again."""
        seen = self._came_again + self._stayed_away
        return seen >= MIN_OBSERVED_REJECTIONS and self._came_again < RARE_RETRY_RATIO * seen

    def _expire(self, now_us: int) -> None:
        while self._refused:
            request, at_us = next(iter(self._refused.items()))
            if at_us + RETRY_WINDOW_US > now_us:
                break
            del self._refused[request]
            self._learn(0.0, 1.0)

    def _learn(self, came_again: float, stayed_away: float) -> None:
        self._came_again = OBSERVATION_DECAY_FACTOR * self._came_again + came_again
        self._stayed_away = OBSERVATION_DECAY_FACTOR * self._stayed_away + stayed_away
