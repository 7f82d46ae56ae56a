"""Host names of a list to addresses: side by side, within one time for all, off the loop."""

import socket
import time
from collections.abc import Callable, Collection
from concurrent.futures import ThreadPoolExecutor, wait

Lookup = Callable[[str], Collection[str]]

WITHIN = 0.3  # s for all names of a list: a removal must be in force 1 s after its file changed
KEPT = 30.0  # s that an answer is good for
STALE = 3600.0  # s that an old answer stands in for one that fails
SIDE_BY_SIDE = 16


def system(host: str) -> Collection[str]:
    """The system's resolver; OSError where it knows nothing."""
    found = socket.getaddrinfo(host, None, type=socket.SOCK_STREAM)
    return sorted({str(of[4][0]) for of in found})


class Resolver:
    """Remembers answers. A name-server that is down changes nothing for names known before."""

    def __init__(
        self, lookup: Lookup = system, clock: Callable[[], float] = time.monotonic, within: float = WITHIN
    ) -> None:
        self.lookup, self.clock, self.within = lookup, clock, within
        self._known: dict[str, tuple[tuple[str, ...], float]] = {}
        self._pool: ThreadPoolExecutor | None = None

    def resolve(self, hosts: Collection[str]) -> dict[str, tuple[str, ...]]:
        """Addresses by name; a name that can't be resolved in time, now or lately, is absent."""
        now = self.clock()
        due = [h for h in hosts if h not in self._known or self._known[h][1] + KEPT <= now]
        if due:
            if self._pool is None:
                self._pool = ThreadPoolExecutor(SIDE_BY_SIDE, "resolve")
            asked = {self._pool.submit(self.lookup, host): host for host in due}
            done, late = wait(asked, self.within)
            for call in late:
                call.cancel()
            for call in done:
                if call.exception() is None and (found := tuple(call.result())):
                    self._known[asked[call]] = (found, now)
        good = {h: self._known[h] for h in hosts if h in self._known}
        return {h: found for h, (found, at) in good.items() if now - at <= STALE}

    def close(self) -> None:
        if self._pool is not None:
            self._pool.shutdown(wait=False, cancel_futures=True)
