"""Every cap and buffer of a process, from the descriptors and the memory that its configuration grants.

What the process holds before it serves is measured, not guessed: the rest is dealt out."""

import os
import resource
from dataclasses import dataclass

HEAD_MOST, HEAD_LEAST = 16 * 1024, 2 * 1024  # bytes of a message's head, as far as memory goes
BODY_MOST = 64 * 1024  # the protocol's
NAME_BYTES, LINE_BYTES = 160, 512  # what a remembered name and a waiting line of the log take, about
MORE = 12  # descriptors to come: listeners, discovery's old and new stream, collector, a file


@dataclass(frozen=True, slots=True)
class Limits:
    clients: int  # connections, with an eighth more for telling that there is no room
    nodes: int  # connections
    doors: int  # connections of operators
    bodies: int  # bytes of requests' bodies held, all clients together
    answers: int  # bytes of chunk servers' answers that are being read whole
    answer: int  # bytes of one of them, where a front can't pass it on as it comes
    head: int  # bytes of a head
    names: int  # requests' names remembered in a span
    lines: int  # of the log, waiting


def held() -> tuple[int, int]:
    """Descriptors and bytes of this process now. Children would count too: it starts none."""
    try:
        descriptors = len(os.listdir("/proc/self/fd"))
    except OSError:
        descriptors = 16
    return descriptors, resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024


def deal(sockets: int, memory: int, descriptors: int, used: int) -> Limits:
    """A third of all descriptors may be held by clients for requests, so more than half of what is left is
    theirs. Of the memory left, a quarter stays for the interpreter's own growth and for what is passed on."""
    free = max(sockets - descriptors - MORE, 6)
    doors = max(free // 16, 2)
    free = max(free - doors * 9 // 8 - 1, 6)
    clients = free * 5 // 9 * 8 // 9
    spare = max(memory - used, memory // 16)
    return Limits(
        clients=max(clients, 1),
        nodes=max(free - clients * 9 // 8 - 1, 4),
        doors=doors,
        bodies=max(spare // 2, 2 * BODY_MOST),
        answers=max(spare // 8, 2 * BODY_MOST),
        answer=max(spare // 32, BODY_MOST),
        head=min(max(spare // 8 // max(clients, 1), HEAD_LEAST), HEAD_MOST),
        names=max(spare // 16 // NAME_BYTES, 1000),
        lines=max(min(spare // 16 // LINE_BYTES, 2000), 50),
    )
