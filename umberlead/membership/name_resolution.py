"""Resolves the host names of a list in parallel, with one time limit for all; runs off the event loop."""

import socket
import time
from collections.abc import Callable, Collection
from concurrent.futures import ThreadPoolExecutor, wait
from typing import NamedTuple

Lookup = Callable[[str], Collection[str]]

# Low enough that the removal of an endpoint is in force within 1 s of the change of its file.
RESOLVE_TIMEOUT_SECONDS = 0.3
CACHE_TTL_SECONDS = 30.0
MAX_STALE_SECONDS = 3600.0
PARALLEL_LOOKUPS_COUNT = 16


def system_lookup(host: str) -> Collection[str]:
    """Return a host's addresses from the system's resolver.

    Raises:
        OSError: The host can't be resolved.
    """
    found = socket.getaddrinfo(host, None, type=socket.SOCK_STREAM)
    return sorted({str(socket_address[0]) for *_, socket_address in found})


class _CachedAddresses(NamedTuple):
    addresses: tuple[str, ...]
    resolved_seconds: float


class NameResolver:
    """Resolves host names and caches the addresses.

    Cached addresses are used for `CACHE_TTL_SECONDS`, and for up to `MAX_STALE_SECONDS` if the name can't be
    resolved again: while the name servers are down, names that were resolved before keep their addresses.
    """

    def __init__(
        self,
        lookup: Lookup = system_lookup,
        clock: Callable[[], float] = time.monotonic,
        timeout_seconds: float = RESOLVE_TIMEOUT_SECONDS,
    ) -> None:
        """Create a resolver with an empty cache.

        Args:
            lookup: Returns the addresses of one host; called on several threads.
            clock: Returns the time in seconds.
            timeout_seconds: The time limit for all names of one call of `resolve`.
        """
        self.lookup = lookup
        self.clock = clock
        self.timeout_seconds = timeout_seconds
        self._cache: dict[str, _CachedAddresses] = {}
        self._executor: ThreadPoolExecutor | None = None

    def resolve(self, hosts: Collection[str]) -> dict[str, tuple[str, ...]]:
        """Return addresses by host; one without a usable cache entry that can't be resolved is absent."""
        now = self.clock()
        hosts_to_resolve = [
            host
            for host in hosts
            if host not in self._cache or self._cache[host].resolved_seconds + CACHE_TTL_SECONDS <= now
        ]
        if hosts_to_resolve:
            self._look_up(hosts_to_resolve, now)
        cached = {host: self._cache[host] for host in hosts if host in self._cache}
        return {
            host: addresses
            for host, (addresses, resolved_seconds) in cached.items()
            if now - resolved_seconds <= MAX_STALE_SECONDS
        }

    def _look_up(self, hosts: Collection[str], now: float) -> None:
        if self._executor is None:
            self._executor = ThreadPoolExecutor(PARALLEL_LOOKUPS_COUNT, "resolve")
        host_by_future = {self._executor.submit(self.lookup, host): host for host in hosts}
        done, unfinished = wait(host_by_future, self.timeout_seconds)
        for future in unfinished:
            future.cancel()
        for future in done:
            if future.exception() is None and (addresses := tuple(future.result())):
                self._cache[host_by_future[future]] = _CachedAddresses(addresses, now)

    def close(self) -> None:
        """Stop the threads without waiting for lookups that are running."""
        if self._executor is not None:
            self._executor.shutdown(wait=False, cancel_futures=True)
