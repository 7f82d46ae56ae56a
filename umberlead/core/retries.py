"""Which requests are a client's further tries, and since when its first has waited. Free of I/O.

A client tries again with a fresh id, but for the same piece of data, and gives up when it would have at its
first try. Its time left alone tells nothing: an impatient client's first try has little of it too."""

from collections import deque

from umberlead.core import interface as api

SAME = 20_000  # us by which the ends of two tries of one client may differ: each is told in ms, and read late


class Retries:
    """Requests that ended here without being served, up to the time at which their clients give up."""

    def __init__(self) -> None:
        self.ended: dict[tuple[object, ...], list[tuple[int, int]]] = {}  # by what was asked: end, first try
        self.order: deque[tuple[int, tuple[object, ...]]] = deque()  # as they ended

    @staticmethod
    def _what(req: api.Request) -> tuple[object, ...]:
        return req.volume, req.key, req.class_name, req.units

    def first(self, req: api.Request, now: int) -> int:
        """When the client's first try came (us): `now`, unless this is a further one."""
        tries = self.ended.get(self._what(req), ())
        return min((came for end, came in tries if abs(end - req.give_up) <= SAME), default=now)

    def told(self, req: api.Request, first: int, now: int) -> None:
        """`req`, whose client's first try came at `first`, ends at `now` without being served."""
        what = self._what(req)
        self.ended.setdefault(what, []).append((req.give_up, first))
        self.order.append((req.give_up + SAME, what))
        while self.order and self.order[0][0] <= now:
            _, old = self.order.popleft()
            if left := [tried for tried in self.ended.pop(old, ()) if tried[0] + SAME > now]:
                self.ended[old] = left
