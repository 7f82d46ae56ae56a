"""Records of a rehearsal by its clients, its servers and the endpoint list; the judge uses nothing else.

Times are microseconds after the scenario's start. Fronts report none of these records.
"""

from dataclasses import dataclass, field


@dataclass(slots=True)
class Asked:
    """A client sent a request."""

    at: int
    id: str
    first: int  # number of the request; a retry has that of its first try
    front: int
    class_name: str
    plan: str
    volume: str
    block: str
    shard: int
    units: int
    write: bool
    until: int  # the client gives up at this time
    body: str = ""  # identifies the bytes that the client sends


@dataclass(slots=True)
class Answered:
    """A client received the last byte of an answer."""

    at: int
    id: str
    kind: str  # served, refused, failed
    body: str = ""
    behind: int = 0  # us by which the recording process may have read the answer late


@dataclass(slots=True)
class Came:
    """A server received the last byte of a request, and accepted or rejected it (`word`)."""

    at: int
    server: str
    front: int
    id: str
    class_name: str
    block: str
    shard: int
    word: str  # taken, full, draining, astray, gone, fallen
    work: float = 0.0
    body: str = ""


@dataclass(slots=True)
class Ended:
    """A request that a server accepted has finished, or was lost with the server's process."""

    at: int
    server: str
    id: str
    word: str  # ok, error, reset, silence, half, spoilt, surplus, lag, lost
    work: float = 0.0
    body: str = ""


@dataclass(slots=True)
class Left:
    """A front closed an attempt's connection before the answer."""

    at: int
    server: str
    id: str


@dataclass(slots=True)
class Told:
    """A front was notified of a server's state."""

    at: int
    front: int
    server: str
    state: str  # up, draining, gone


@dataclass(slots=True)
class Life:
    """A server changed its state: born, cold, draining, gone, fallen."""

    at: int
    server: str
    what: str
    shard: int = -1
    power: float = 0.0  # us of work per us when warm


@dataclass(slots=True)
class Records:
    """All records of a rehearsal, by kind.

    Attributes:
        asked: requests that clients sent.
        answered: answers that clients received.
        came: requests that servers received.
        ended: ends of requests that servers accepted.
        left: attempts that fronts closed before the answer.
        told: notices to fronts.
        lives: state changes of servers.
    """

    asked: list[Asked] = field(default_factory=list)
    answered: list[Answered] = field(default_factory=list)
    came: list[Came] = field(default_factory=list)
    ended: list[Ended] = field(default_factory=list)
    left: list[Left] = field(default_factory=list)
    told: list[Told] = field(default_factory=list)
    lives: list[Life] = field(default_factory=list)

    def sort(self) -> None:
        """Sort each list by time; records of the same time keep their order."""
        for rows in (
            self.asked,
            self.answered,
            self.came,
            self.ended,
            self.left,
            self.told,
            self.lives,
        ):
            rows.sort(key=lambda r: r.at)
