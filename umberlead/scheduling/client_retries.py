"""Whether clients that were refused come again, learnt where they do not mark their further tries.

A request with little time left is either a client's further try, whose first one began long ago, or the first
of an impatient client. Both look alike. Where those that were refused are seen not to come again, there are
no further tries. Free of I/O; times are whole microseconds.
"""

from collections import OrderedDict

WINDOW_US = 1_500_000  # in which a client that was refused has come again, if it does
MIN_REFUSALS = 8  # of which none came again, from which on nobody is thought to
RETRY_RATE = 0.1  # of refusals, below which further tries are rare
FORGET = 0.98  # of what was learnt, with each further refusal
MAX_REFUSALS = 2000  # that are waited for

Request = tuple[
    str, str | None, str
]  # volume, key and class: what a further try has in common with its first


class ClientRetries:
    """Waits for each refused request to come again, and counts."""

    def __init__(self) -> None:
        """Begin with nothing learnt: clients are thought to come again."""
        self._refused: OrderedDict[Request, int] = OrderedDict()  # and when
        self._came_again = self._stayed_away = 0.0

    def refused(self, request: Request, now_us: int) -> None:
        """Note that the first try of a request was refused."""
        self._expire(now_us)
        self._refused[request] = now_us
        if len(self._refused) > MAX_REFUSALS:
            self._refused.popitem(last=False)

    def arrived(self, request: Request, now_us: int) -> bool:
        """Note that a request came; return whether it is a further try of one that was refused."""
        self._expire(now_us)
        again = self._refused.pop(request, None) is not None
        if again:
            self._learn(1.0, 0.0)
        return again

    def rare(self) -> bool:
        """Tell whether clients that are refused are seen not to come again."""
        seen = self._came_again + self._stayed_away
        return seen >= MIN_REFUSALS and self._came_again < RETRY_RATE * seen

    def _expire(self, now_us: int) -> None:
        while self._refused:
            request, at_us = next(iter(self._refused.items()))
            if at_us + WINDOW_US > now_us:
                break
            del self._refused[request]
            self._learn(0.0, 1.0)

    def _learn(self, came_again: float, stayed_away: float) -> None:
        self._came_again = FORGET * self._came_again + came_again
        self._stayed_away = FORGET * self._stayed_away + stayed_away
