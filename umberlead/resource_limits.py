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

HEAD_MOST, HEAD_LEAST = 16 * 1024, 2 * 1024  # bytes of a message's head, as far as memory goes
BODY_MOST = 64 * 1024  # the protocol's
NAME_BYTES, LINE_BYTES = 160, 512  # what a remembered name and a waiting line of the log take, about
# Descriptors to come in any front: its listener and the operators' (2), discovery's old and new stream (2),
# the lock of the shared state (1), files and folders being read (2), what libuv keeps back (1), looking up
# names (2), and 1 to spare.
MORE = 11
NODES_LEAST = 2  # connections
# Clients may hold a third of all descriptors, each a connection for an open request: below that some are left
# for those whose requests are worth more than what waits.
OPEN_REQUESTS_DIVISOR, OPEN_REQUESTS_LEAST = 4, 8
LOCAL_RESOURCE_ERRNOS = frozenset(
    (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
)  # our own, and it may pass


@dataclass(frozen=True, slots=True)
class Limits:
    clients: int  # connections at each listener, beside its `surplus`
    nodes: int  # connections
    doors: int  # connections of operators, beside their `surplus`
    bodies: int  # bytes of requests' bodies held, all clients together
    answers: int  # bytes of chunk servers' answers that are being read whole
    answer: int  # bytes of one of them, where a front can't pass it on as it comes
    head: int  # bytes of a head
    names: int  # requests' names remembered in a span
    lines: int  # of the log, waiting
    requests: int  # open at once, waiting or at a chunk server


def held() -> tuple[int, int]:
    """Descriptors and bytes of this process now. Children would count too: it starts none."""
    try:
        descriptors = len(os.listdir("/proc/self/fd"))
    except OSError:
        descriptors = 16
    return descriptors, resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024


def to_come(conf: "Config") -> int:
    """Descriptors to come, beside MORE, that only some configurations need."""
    more = 1 if conf.collector else 0
    if conf.objects is not None:
        more += 1  # its listener
    if conf.rooms is not None and conf.rooms.peers is not None:
        more += 1  # gossip's socket
    if conf.lists is not None:
        more += 6  # inotify's 3, a file, the snapshot, one to spare
        more += 6 if conf.lists.gate is not None else 0  # a process's three pipes, both ends
    return more


def granted(sockets: int) -> int:
    """Descriptors this process may hold: what is configured, or the system's limit where that is lower."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return sockets if soft == resource.RLIM_INFINITY else min(sockets, soft)


def surplus(most: int) -> int:
    """Places beyond `most`, for telling at once that there is no room."""
    return max(most // 8, 1)


def with_surplus(most: int) -> int:
    """Descriptors for `most` connections and their surplus; none for none."""
    return most + surplus(most) if most else 0


def connections(places: int) -> int:
    """As many connections as `places` descriptors hold together with their surplus; one at least."""
    most = max(places * 8 // 9, 1)
    return most + 1 if with_surplus(most + 1) <= places else most


def deal(sockets: int, memory: int, descriptors: int, used: int, fronts: int = 1) -> Limits:
    """Of `sockets` descriptors the process holds `descriptors`, and MORE are kept for what is no connection.
    What is left is dealt out whole: a sixteenth to the operators' connections; of the rest five ninths to
    clients, in equal parts for each of `fronts` listeners, and four to chunk servers. A ninth of what
    operators or clients get, one at least, is their `surplus`. So of 128 descriptors or more clients have
    over a third, and may hold that many for requests.

    The sum is `sockets`, and never more as long as 4 + 2 x `fronts` are left. Below that each still gets its
    least (an operator, a client a listener, one surplus each, NODES_LEAST), and the sum is over by the rest.
    Two processes of a front with 32 descriptors come to that; one does not.

    Of the memory left, a quarter stays for the interpreter's own growth and for what is passed on."""
    free = sockets - descriptors - MORE
    doors = max(free // 16, 1)
    left = free - doors - surplus(doors)
    clients = max(left * 5 // 9 // fronts * 8 // 9, 1)
    nodes = max(left - fronts * (clients + surplus(clients)), NODES_LEAST)
    spare = max(memory - used, memory // 16)
    return Limits(
        clients=clients,
        nodes=nodes,
        doors=doors,
        bodies=max(spare // 2, 2 * BODY_MOST),
        answers=max(spare // 8, 2 * BODY_MOST),
        answer=max(spare // 32, BODY_MOST),
        head=min(max(spare // 8 // (fronts * clients), HEAD_LEAST), HEAD_MOST),
        names=max(spare // 16 // NAME_BYTES, 1000),
        lines=max(min(spare // 16 // LINE_BYTES, 2000), 50),
        requests=max(sockets // OPEN_REQUESTS_DIVISOR, OPEN_REQUESTS_LEAST),
    )


class Reserve:
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
