"""What the processes of a soak run write down, as lines of JSON. All times are monotonic nanoseconds."""

from collections.abc import Iterator
from pathlib import Path
from typing import TypeVar

import msgspec

RecordT = TypeVar("RecordT", bound=msgspec.Struct)


class ClientRecord(msgspec.Struct, frozen=True):
    """One request as its client saw it.

    Attributes:
        id: the call id.
        front: the front's name.
        kind: how the client behaved.
        class_name: the request's class.
        budget: seconds that the client waits, from its last byte.
        used: requests that its connection had carried before.
        behind: requests sent ahead of it on the connection that were not answered then.
        connected: when its connection came up; 0 where it did not.
        sent_first: when its first byte was handed to the system.
        sent_last: when its last byte was; 0 where it was never sent whole.
        ended: when the answer, the connection's end or the client's leaving was seen; 0 at the run's end.
        end: "answered", "eof", "reset", "left", "closing" (behind a reply that said close) or "open"
            (nothing came).
        status: of the answer.
        sound: whether the answer's body is what a chunk server made for this request.
    """

    id: str
    front: str
    kind: str
    class_name: str
    budget: float
    used: int
    behind: int
    connected: int
    sent_first: int
    sent_last: int
    ended: int
    end: str
    status: int = 0
    sound: bool = True


class NodeRecord(msgspec.Struct, frozen=True):
    """One request as a chunk server saw it.

    Attributes:
        id: the call id.
        node: the server's name and incarnation.
        class_name: the request's class.
        units: its size.
        budget: seconds that the front said it waits.
        first: when its first byte was read.
        last: when its last byte was; 0 where it never came.
        late: nanoseconds that this process had been held up when it read.
        ran: whether the request was begun.
        closed: when its connection ended, or the answer was out; 0 for neither.
    """

    id: str
    node: str
    class_name: str
    units: float
    budget: float
    first: int
    last: int
    late: int
    ran: bool
    closed: int = 0


class Event(msgspec.Struct, frozen=True):
    """Something that the run did: to a front, a node, or what a front was told.

    Attributes:
        at: when.
        what: its name, such as "front_killed", "node_drains", "node_started".
        who: whom it befell.
        value: more of it.
    """

    at: int
    what: str
    who: str
    value: float = 0.0


def read(path: Path, kind: type[RecordT]) -> Iterator[RecordT]:
    """Yield the records of a file; a last line that a killed process left half written is passed by."""
    if not path.exists():
        return
    for line in path.read_bytes().split(b"\n")[:-1]:
        if line:
            yield msgspec.json.decode(line, type=kind)


class Writer:
    """Appends records to a file, a line each, and hands them to the system at once."""

    def __init__(self, path: Path) -> None:
        """Write to `path`."""
        self._file = open(path, "ab", buffering=0)  # noqa: SIM115 (open until the process ends)
        self._encode = msgspec.json.Encoder().encode

    def add(self, record: msgspec.Struct) -> None:
        """Append a record."""
        self._file.write(self._encode(record) + b"\n")
