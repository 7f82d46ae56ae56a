"""Resolves a list's host names: in parallel, within one time limit for all, off the event loop."""

import socket
import time
from collections.abc import Callable, Collection
from concurrent.futures import ThreadPoolExecutor, wait
from typing import NamedTuple

Lookup = Callable[[str], Collection[str]]

# A removal must be in force within 1 s of its file's change.
RESOLVE_TIMEOUT_SECONDS = 0.3
CACHE_SECONDS = 30.0
MAX_STALE_SECONDS = 3600.0
PARALLEL_LOOKUPS_COUNT = 16


def system_lookup(host: str) -> Collection[str]:
    """Return a host's addresses by the system's resolver.

    Raises:
        OSError: It can't be resolved.
    """
    found = socket.getaddrinfo(host, None, type=socket.SOCK_STREAM)
    return sorted({str(socket_address[0]) for *_, socket_address in found})


class _CachedAddresses(NamedTuple):
    addresses: tuple[str, ...]
    at_seconds: float


class NameResolver:
    """Resolves host names and caches answers.

    An answer is good for `CACHE_SECONDS`, and for up to `MAX_STALE_SECONDS` where the name can't be resolved
    again: a name server that is down changes nothing for names that were resolved before.
    """

    def __init__(
        self,
        lookup: Lookup = system_lookup,
        clock: Callable[[], float] = time.monotonic,
        timeout_seconds: float = RESOLVE_TIMEOUT_SECONDS,
    ) -> None:
        """Resolve by `lookup`, all names of one call within `timeout_seconds`; `clock` gives seconds."""
        self.lookup = lookup
        self.clock = clock
        self.timeout_seconds = timeout_seconds
        self._cache: dict[str, _CachedAddresses] = {}
        self._executor: ThreadPoolExecutor | None = None

    def resolve(self, hosts: Collection[str]) -> dict[str, tuple[str, ...]]:
        """Return addresses by host; one that could not be resolved, now or lately, is absent."""
        now = self.clock()
        due = [
            host
            for host in hosts
            if host not in self._cache or self._cache[host].at_seconds + CACHE_SECONDS <= now
        ]
        if due:
            self._look_up(due, now)
        cached = {host: self._cache[host] for host in hosts if host in self._cache}
        return {
            host: addresses
            for host, (addresses, at_seconds) in cached.items()
            if now - at_seconds <= MAX_STALE_SECONDS
        }

    def _look_up(self, hosts: Collection[str], now: float) -> None:
        if self._executor is None:
            self._executor = ThreadPoolExecutor(PARALLEL_LOOKUPS_COUNT, "resolve")
        host_by_call = {self._executor.submit(self.lookup, host): host for host in hosts}
        done, late = wait(host_by_call, self.timeout_seconds)
        for call in late:
            call.cancel()
        for call in done:
            if call.exception() is None and (addresses := tuple(call.result())):
                self._cache[host_by_call[call]] = _CachedAddresses(addresses, now)

    def close(self) -> None:
        """End the threads without waiting for them."""
        if self._executor is not None:
            self._executor.shutdown(wait=False, cancel_futures=True)
