"""Every cap and buffer of a process, from the descriptors and the memory that its configuration grants.

What the process holds before it serves is measured, not guessed: the rest is dealt out."""

import contextlib
import errno
import os
import resource
from collections.abc import Iterator
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from umberlead.config import Config

MAX_HEAD_BYTES, MIN_HEAD_BYTES = 16 * 1024, 2 * 1024  # bytes of a message's head, as far as memory goes
MAX_BODY_BYTES = 64 * 1024  # the protocol's
CALL_ID_BYTES, LOG_LINE_BYTES = 160, 512  # what a remembered name and a waiting line of the log take, about
# Descriptors to come in any front: its listener and the operators' (2), discovery's old and new stream (2),
# the lock of the shared state (1), files and folders being read (2), what libuv keeps back (1), looking up
# names (2), and 1 to spare.
RESERVED_DESCRIPTORS_COUNT = 11
MIN_ENDPOINT_CONNECTIONS_COUNT = 2  # connections
# Clients may hold a third of all descriptors, each a connection for an open request: below that some are left
# for those whose requests are worth more than what waits.
DESCRIPTORS_PER_OPEN_REQUEST_COUNT, MIN_OPEN_REQUESTS = 4, 8
LOCAL_RESOURCE_ERRNOS = frozenset(
    (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
)  # our own, and it may pass


@dataclass(frozen=True, slots=True)
class Limits:
    client_connections: int  # connections at each listener, beside its `surplus`
    endpoint_connections: int  # connections
    admin_connections: int  # connections of operators, beside their `surplus`
    request_body_bytes: int  # bytes of requests' bodies held, all clients together
    response_bytes: int  # bytes of chunk servers' answers that are being read whole
    max_response_bytes: int  # bytes of one of them, where a front can't pass it on as it comes
    max_head_bytes: int  # bytes of a head
    remembered_call_ids: int  # requests' names remembered in a span
    queued_log_lines: int  # of the log, waiting
    open_requests: int  # open at once, waiting or at a chunk server


def descriptors_and_memory_in_use() -> tuple[int, int]:
    """Descriptors and bytes of this process now. Children would count too: it starts none."""
    try:
        descriptors = len(os.listdir("/proc/self/fd"))
    except OSError:
        descriptors = 16
    return descriptors, resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024


def descriptors_to_come(conf: "Config") -> int:
    """Descriptors to come, beside MORE, that only some configurations need."""
    more = 1 if conf.log_collector else 0
    if conf.object_api is not None:
        more += 1  # its listener
    if conf.zones is not None and conf.zones.gossip is not None:
        more += 1  # gossip's socket
    if conf.watched_lists is not None:
        more += 6  # inotify's 3, a file, the snapshot, one to spare
        more += (
            6 if conf.watched_lists.gate_suite_path is not None else 0
        )  # a process's three pipes, both ends
    return more


def granted_descriptors(sockets: int) -> int:
    """Descriptors this process may hold: what is configured, or the system's limit where that is lower."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return sockets if soft == resource.RLIM_INFINITY else min(sockets, soft)


def surplus_connections(most: int) -> int:
    """Places beyond `most`, for telling at once that there is no room."""
    return max(most // 8, 1)


def with_surplus(most: int) -> int:
    """Descriptors for `most` connections and their surplus; none for none."""
    return most + surplus_connections(most) if most else 0


def connections_within(places: int) -> int:
    """As many connections as `places` descriptors hold together with their surplus; one at least."""
    most = max(places * 8 // 9, 1)
    return most + 1 if with_surplus(most + 1) <= places else most


def divide_resources(sockets: int, memory: int, descriptors: int, used: int, fronts: int = 1) -> Limits:
    """Of `sockets` descriptors the process holds `descriptors`, and MORE are kept for what is no connection.
    What is left is dealt out whole: a sixteenth to the operators' connections; of the rest five ninths to
    clients, in equal parts for each of `fronts` listeners, and four to chunk servers. A ninth of what
    operators or clients get, one at least, is their `surplus`. So of 128 descriptors or more clients have
    over a third, and may hold that many for requests.

    The sum is `sockets`, and never more as long as 4 + 2 x `fronts` are left. Below that each still gets its
    least (an operator, a client a listener, one surplus each, NODES_LEAST), and the sum is over by the rest.
    Two processes of a front with 32 descriptors come to that; one does not.

    Of the memory left, a quarter stays for the interpreter's own growth and for what is passed on."""
    free = sockets - descriptors - RESERVED_DESCRIPTORS_COUNT
    doors = max(free // 16, 1)
    left = free - doors - surplus_connections(doors)
    clients = max(left * 5 // 9 // fronts * 8 // 9, 1)
    nodes = max(left - fronts * (clients + surplus_connections(clients)), MIN_ENDPOINT_CONNECTIONS_COUNT)
    spare = max(memory - used, memory // 16)
    return Limits(
        client_connections=clients,
        endpoint_connections=nodes,
        admin_connections=doors,
        request_body_bytes=max(spare // 2, 2 * MAX_BODY_BYTES),
        response_bytes=max(spare // 8, 2 * MAX_BODY_BYTES),
        max_response_bytes=max(spare // 32, MAX_BODY_BYTES),
        max_head_bytes=min(max(spare // 8 // (fronts * clients), MIN_HEAD_BYTES), MAX_HEAD_BYTES),
        remembered_call_ids=max(spare // 16 // CALL_ID_BYTES, 1000),
        queued_log_lines=max(min(spare // 16 // LOG_LINE_BYTES, 2000), 50),
        open_requests=max(sockets // DESCRIPTORS_PER_OPEN_REQUEST_COUNT, MIN_OPEN_REQUESTS),
    )


class ReservedDescriptor:
    """A descriptor kept back for what operators ask; it counts among those that the process holds."""

    def __init__(self) -> None:
        self._held = os.open(os.devnull, os.O_RDONLY)

    @contextlib.contextmanager
    def lent(self) -> Iterator[None]:
        """Within, one file at a time can be opened though all other descriptors are taken."""
        self.close()
        try:
            yield
        finally:
            with contextlib.suppress(OSError):  # a thread was quicker: the next call goes without
                self._held = os.open(os.devnull, os.O_RDONLY)

    def close(self) -> None:
        if self._held >= 0:
            os.close(self._held)
        self._held = -1
