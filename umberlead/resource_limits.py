"""Limits of a process, derived from the descriptors and the memory that its configuration allows.

The descriptors and memory in use are measured before the process serves requests. The remainder is divided by
fixed ratios.
"""

import contextlib
import errno
import os
import resource
from collections.abc import Iterator
from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from umberlead.configuration import Config

MAX_HEADER_BYTES = 16 * 1024  # of an HTTP message's head, if there is enough memory
MIN_HEADER_BYTES = 2 * 1024
MAX_BODY_BYTES = 64 * 1024  # set by the platform's protocol
CALL_ID_BYTES = 150  # approximate memory for the hash of a remembered call id
LOG_LINE_BYTES = 512  # approximate memory for a queued log line
# Descriptors that every front opens after the measurement: its listener and the admin API's (2), discovery's
# old and new stream (2), the lock of the shared state (1), the table of call ids (1), files and folders being
# read (2), libuv's own (1), name resolution (2), and 1 to spare.
RESERVED_DESCRIPTORS_COUNT = 12
MIN_ENDPOINT_CONNECTIONS_COUNT = 2
# Client connections may use a third of all descriptors, and each may have an open request. The limit of open
# requests is lower, so that connections remain for requests of a higher priority weight than the queued ones.
DESCRIPTORS_PER_OPEN_REQUEST_COUNT = 4
MIN_OPEN_REQUESTS = 8
FALLBACK_DESCRIPTORS_COUNT = 16  # assumed in use if a process's open descriptors can't be counted
# Errors because this machine lacks a resource. They may be temporary, and don't mean that the peer failed.
LOCAL_RESOURCE_ERRNOS = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits of the resources of a process.

    Attributes:
        client_connections: connections at each listener, without the surplus.
        endpoint_connections: connections to all endpoints together.
        admin_connections: connections to the admin API, without the surplus.
        request_body_bytes: memory for the request bodies of all clients together.
        response_bytes: memory for all endpoint responses that are buffered whole, together.
        max_response_bytes: size of one response that is buffered because a front can't stream it.
        max_header_bytes: size of an HTTP message's head.
        remembered_call_ids: number of call ids of each kind that are remembered to reject duplicates.
        queued_log_lines: number of log lines in the queue of the log writer.
        open_requests: number of requests that are queued or at an endpoint.
    """

    client_connections: int
    endpoint_connections: int
    admin_connections: int
    request_body_bytes: int
    response_bytes: int
    max_response_bytes: int
    max_header_bytes: int
    remembered_call_ids: int
    queued_log_lines: int
    open_requests: int


class ResourcesInUse(NamedTuple):
    """Resources that a process uses: open descriptors, and peak memory in bytes."""

    descriptors: int
    memory_bytes: int


def descriptors_and_memory_in_use() -> ResourcesInUse:
    """Measure the resources in use by this process, which starts no child processes."""
    try:
        descriptors = len(os.listdir("/proc/self/fd"))
    except OSError:
        descriptors = FALLBACK_DESCRIPTORS_COUNT
    return ResourcesInUse(descriptors, resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024)


def descriptors_to_come(conf: "Config") -> int:
    """Return the number of descriptors that a configuration adds to RESERVED_DESCRIPTORS_COUNT."""
    count = 1 if conf.log_collector else 0
    if conf.object_api is not None:
        count += 1  # its listener
    if conf.zones is not None and conf.zones.gossip is not None:
        count += 1  # gossip's socket
    if conf.plugin_paths:
        count += 1  # the process's size, read before each call of a script
    if conf.watched_lists is not None:
        count += 6  # inotify's 3, a file, the snapshot, one to spare
        if conf.watched_lists.gate_suite_path is not None:
            count += 6  # a child process's three pipes, both ends
    return count


def granted_descriptors(configured: int) -> int:
    """Return the configured number of descriptors, or the system's soft limit if that is lower."""
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return configured if soft_limit == resource.RLIM_INFINITY else min(configured, soft_limit)


def surplus_connections(max_connections: int) -> int:
    """Return how many connections above a limit are accepted in order to be rejected at once."""
    return max(max_connections // 8, 1)


def with_surplus(max_connections: int) -> int:
    """Return the descriptors for connections and their surplus; 0 for no connections."""
    return max_connections + surplus_connections(max_connections) if max_connections else 0


def connections_within(descriptors: int) -> int:
    """Return how many connections and their surplus fit in a number of descriptors; at least one."""
    count = max(descriptors * 8 // 9, 1)
    return count + 1 if with_surplus(count + 1) <= descriptors else count


def divide_resources(
    max_descriptors: int,
    memory_limit_bytes: int,
    descriptors_in_use: int,
    memory_in_use_bytes: int,
    listener_count: int = 1,
) -> Limits:
    """Divide descriptors and memory among the uses of a process.

    A quarter of the free memory remains for the interpreter and for connections, and buffers that grow in
    place may take an eighth more than their content.

    Args:
        max_descriptors: number of descriptors that the process may have open.
        memory_limit_bytes: memory that the process may use.
        descriptors_in_use: number of descriptors that are open before the process serves requests.
        memory_in_use_bytes: memory in use before the process serves requests.
        listener_count: number of listeners for clients.
    """
    connections = _divide_connections(max_descriptors - descriptors_in_use, listener_count)
    spare_bytes = max(memory_limit_bytes - memory_in_use_bytes, memory_limit_bytes // 16)
    header_bytes = max(spare_bytes // 8 // (listener_count * connections.at_listener), MIN_HEADER_BYTES)
    return Limits(
        client_connections=connections.at_listener,
        endpoint_connections=connections.endpoint,
        admin_connections=connections.admin,
        request_body_bytes=max(spare_bytes * 3 // 8, 2 * MAX_BODY_BYTES),
        response_bytes=max(spare_bytes // 8, 2 * MAX_BODY_BYTES),
        max_response_bytes=max(spare_bytes // 32, MAX_BODY_BYTES),
        max_header_bytes=min(header_bytes, MAX_HEADER_BYTES),
        # Two spans of idempotent requests and two of others.
        remembered_call_ids=max(spare_bytes * 3 // 16 // CALL_ID_BYTES // 4, 1000),
        queued_log_lines=max(min(spare_bytes // 16 // LOG_LINE_BYTES, 2000), 50),
        open_requests=max(max_descriptors // DESCRIPTORS_PER_OPEN_REQUEST_COUNT, MIN_OPEN_REQUESTS),
    )


class _Connections(NamedTuple):
    """Numbers of connections: of the admin API, at each listener for clients, and to endpoints."""

    admin: int
    at_listener: int
    endpoint: int


def _divide_connections(descriptors: int, listener_count: int) -> _Connections:
    """Divide the descriptors that are not in use.

    RESERVED_DESCRIPTORS_COUNT are set aside. A sixteenth of the others goes to the admin API. Of the
    remainder, five ninths go to clients, in equal parts to each listener, and four ninths to endpoints. A
    ninth of the part of the admin API or of clients, at least one, is the surplus. So clients get over a
    third of 128 or more descriptors, and may have that many open requests.

    The sum is `descriptors` as long as 4 + 2 x `listener_count` are free. Below that each use still gets its
    minimum (an admin connection, a client at each listener, one surplus each, and
    MIN_ENDPOINT_CONNECTIONS_COUNT), and the sum is larger. Two processes of a front with 32 descriptors get
    there; one does not.
    """
    free = descriptors - RESERVED_DESCRIPTORS_COUNT
    admin = max(free // 16, 1)
    remaining = free - admin - surplus_connections(admin)
    at_listener = max(remaining * 5 // 9 // listener_count * 8 // 9, 1)
    endpoint = remaining - listener_count * (at_listener + surplus_connections(at_listener))
    return _Connections(admin, at_listener, max(endpoint, MIN_ENDPOINT_CONNECTIONS_COUNT))


class ReservedDescriptor:
    """A descriptor that is held in reserve for the admin API's files; it counts as in use."""

    def __init__(self) -> None:
        """Open the descriptor.

        Raises:
            OSError: no descriptor is left.
        """
        self._descriptor = os.open(os.devnull, os.O_RDONLY)

    @contextlib.contextmanager
    def lent(self) -> Iterator[None]:
        """Release the descriptor within the context, so that one file at a time can always be opened."""
        self.close()
        try:
            yield
        finally:
            with contextlib.suppress(OSError):  # another thread took it: the next call has no reserve
                self._descriptor = os.open(os.devnull, os.O_RDONLY)

    def close(self) -> None:
        """Release the descriptor for good."""
        if self._descriptor >= 0:
            os.close(self._descriptor)
        self._descriptor = -1
