"""Host names of a list to addresses: side by side, within one time for all, off the loop."""

import socket
import time
from collections.abc import Callable, Collection
from concurrent.futures import ThreadPoolExecutor, wait

Lookup = Callable[[str], Collection[str]]

RESOLVE_TIMEOUT_SECONDS = (
    0.3  # s for all names of a list: a removal must be in force 1 s after its file changed
)
CACHE_SECONDS = 30.0  # s that an answer is good for
MAX_STALE_SECONDS = 3600.0  # s that an old answer stands in for one that fails
PARALLEL_LOOKUPS_COUNT = 16


def system_lookup(host: str) -> Collection[str]:
    """The system's resolver; OSError where it knows nothing."""
    found = socket.getaddrinfo(host, None, type=socket.SOCK_STREAM)
    return sorted({str(of[4][0]) for of in found})


class NameResolver:
    """Remembers answers. A name-server that is down changes nothing for names known before."""

    def __init__(
        self,
        lookup: Lookup = system_lookup,
        clock: Callable[[], float] = time.monotonic,
        timeout_seconds: float = RESOLVE_TIMEOUT_SECONDS,
    ) -> None:
        self.lookup, self.clock, self.timeout_seconds = lookup, clock, timeout_seconds
        self._cache: dict[str, tuple[tuple[str, ...], float]] = {}
        self._executor: ThreadPoolExecutor | None = None

    def resolve(self, hosts: Collection[str]) -> dict[str, tuple[str, ...]]:
        """Addresses by name; a name that can't be resolved in time, now or lately, is absent."""
        now = self.clock()
        due = [h for h in hosts if h not in self._cache or self._cache[h][1] + CACHE_SECONDS <= now]
        if due:
            if self._executor is None:
                self._executor = ThreadPoolExecutor(PARALLEL_LOOKUPS_COUNT, "resolve")
            asked = {self._executor.submit(self.lookup, host): host for host in due}
            done, late = wait(asked, self.timeout_seconds)
            for call in late:
                call.cancel()
            for call in done:
                if call.exception() is None and (found := tuple(call.result())):
                    self._cache[asked[call]] = (found, now)
        good = {h: self._cache[h] for h in hosts if h in self._cache}
        return {h: found for h, (found, at) in good.items() if now - at <= MAX_STALE_SECONDS}

    def close(self) -> None:
        if self._executor is not None:
            self._executor.shutdown(wait=False, cancel_futures=True)
