"""What clients, servers and the list saw of a rehearsal: all that the judge goes by.

Times are microseconds after the scenario's start. Nothing here is reported by a front.
"""

from dataclasses import dataclass, field


@dataclass(slots=True)
class Asked:
    """A client's request, whole on its way."""

    at: int
    id: str
    first: int  # number of the first try that it belongs to
    front: int
    class_name: str
    plan: str
    volume: str
    block: str
    shard: int
    units: int
    write: bool
    until: int  # the client leaves then
    body: str = ""  # digest of what it sends


@dataclass(slots=True)
class Answered:
    """An answer's last byte at its client."""

    at: int
    id: str
    kind: str  # served, refused, failed
    body: str = ""
    behind: int = 0  # us that who wrote this down was late itself: it may have been there for so long


@dataclass(slots=True)
class Came:
    """A request's last byte at a server, and what that did with it at once."""

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
    """What was taken has run, or its server died with it."""

    at: int
    server: str
    id: str
    word: str  # ok, error, reset, silence, half, spoilt, surplus, lag, lost
    work: float = 0.0
    body: str = ""


@dataclass(slots=True)
class Left:
    """The front ended an attempt's connection before its answer."""

    at: int
    server: str
    id: str


@dataclass(slots=True)
class Told:
    """What a front was told of a server."""

    at: int
    front: int
    server: str
    state: str  # up, draining, gone


@dataclass(slots=True)
class Life:
    """A server's own: born, cold, draining, gone, fallen."""

    at: int
    server: str
    what: str
    shard: int = -1
    power: float = 0.0  # units of work (us) a us, warm


@dataclass(slots=True)
class Records:
    """All records of a rehearsal, by kind.

    Attributes:
        asked: clients' requests.
        answered: answers at clients.
        came: requests at servers.
        ended: ends of what servers took.
        left: attempts that fronts closed.
        told: what fronts were told of servers.
        lives: what became of servers.
    """

    asked: list[Asked] = field(default_factory=list)
    answered: list[Answered] = field(default_factory=list)
    came: list[Came] = field(default_factory=list)
    ended: list[Ended] = field(default_factory=list)
    left: list[Left] = field(default_factory=list)
    told: list[Told] = field(default_factory=list)
    lives: list[Life] = field(default_factory=list)

    def sort(self) -> None:
        """Sort all by time; records of the same time stay in their order."""
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
