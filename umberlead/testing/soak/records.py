"""Records of the processes of a soak run, as lines of JSON. All times are monotonic nanoseconds."""

from collections.abc import Iterator
from pathlib import Path
from typing import TypeVar

import msgspec

RecordT = TypeVar("RecordT", bound=msgspec.Struct)


class ClientRecord(msgspec.Struct, frozen=True):
    """One request as observed by its client.

    Attributes:
        id: the call id.
        front: name of the front.
        kind: how the client behaved.
        class_name: the request's class.
        budget: seconds that the client waits after it sent the last byte.
        used: number of requests answered earlier on its connection.
        behind: number of earlier requests on the connection that were still unanswered.
        connected: when its connection was established; 0 if it was not.
        sent_first: when its first byte was passed to the kernel.
        sent_last: when its last byte was; 0 if it was never sent completely.
        ended: when it was answered, or the connection ended, or the client left; 0 if none happened.
        end: "answered", "eof", "reset", "left", "closing" (unanswered when an earlier answer closed the
            connection) or "open" (no answer).
        status: status of the answer.
        sound: whether the body is the one that a chunk server produced for this request.
        begun: when the head of its answer came; 0 if none did.
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
    begun: int = 0


class NodeRecord(msgspec.Struct, frozen=True):
    """One request as observed by a chunk server.

    Attributes:
        id: the call id.
        node: the server's name and incarnation.
        class_name: the request's class.
        units: its size in units of work.
        budget: seconds that the front waits, from X-Budget.
        first: when its first byte was read.
        last: when its last byte was read; 0 if it never arrived.
        late: how many nanoseconds this process was behind when it read.
        ran: whether execution of the request began.
        closed: when its connection ended or the answer was written; 0 for neither.
        cut: whether its connection ended while its answer was being sent slowly.
        long: whether that answer is longer than a body without a need to be passed on in pieces, or of no
            told length.
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
    cut: bool = False
    long: bool = False


class Event(msgspec.Struct, frozen=True):
    """An action of the run on a front or a chunk server, or a change that all fronts know.

    Attributes:
        at: time of the event.
        what: name of the event, such as "front_killed", "node_drains", "node_started".
        who: name or number of the affected component.
        value: a number that depends on the event, such as its duration in seconds.
    """

    at: int
    what: str
    who: str
    value: float = 0.0


def read(path: Path, kind: type[RecordT]) -> Iterator[RecordT]:
    """Yield the records of a file; skips a last line that a killed process left incomplete."""
    if not path.exists():
        return
    for line in path.read_bytes().split(b"\n")[:-1]:
        if line:
            yield msgspec.json.decode(line, type=kind)


class Writer:
    """Appends records to a file, one per line, without buffering."""

    def __init__(self, path: Path) -> None:
        """Open `path` for appending."""
        self._file = open(path, "ab", buffering=0)  # noqa: SIM115 (open until the process ends)
        self._encode = msgspec.json.Encoder().encode

    def add(self, record: msgspec.Struct) -> None:
        """Append a record."""
        self._file.write(self._encode(record) + b"\n")
