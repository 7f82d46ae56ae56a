"""What lists of chunk servers say, as plain records; nothing here decides."""

from dataclasses import dataclass, field
from enum import IntEnum

from umberlead.scheduling.interface import NodeState

Address = tuple[str, int]

STATES = {"ready": NodeState.UP, "draining": NodeState.DRAINING}
WEIGHT_MOST = 1000.0
SHARD_MOST = (1 << 20) - 1


class Source(IntEnum):
    """Who lists a server; of two that do, the lower goes first."""

    FILES = 0
    DISCOVERY = 1


@dataclass(frozen=True, slots=True)
class Place:
    """Where something stands in a file; lines and columns count from 1, 0 stands for the whole file."""

    file: str
    line: int = 0
    column: int = 0

    def __str__(self) -> str:
        return ":".join([self.file, *(str(n) for n in (self.line, self.column) if n)])


@dataclass(frozen=True, slots=True)
class Problem:
    """Why a set of files can't be taken. `code` has an entry in docs/watched-lists.md."""

    code: str
    place: Place
    text: str
    near: str = ""  # the nearest known word

    def __str__(self) -> str:
        hint = f"; did you mean {self.near!r}?" if self.near else ""
        return f"{self.place}: {self.code}: {self.text}{hint}"

    def row(self) -> dict[str, str | int]:
        of = self.place
        made: dict[str, str | int] = {
            "code": self.code,
            "file": of.file,
            "line": of.line,
            "column": of.column,
        }
        return made | {"text": self.text} | ({"near": self.near} if self.near else {})


@dataclass(frozen=True, slots=True)
class Server:
    """A chunk server as one source lists it."""

    name: str
    address: Address | None  # an IP address and a port; None only from discovery, for what is not ready
    shard: int
    state: NodeState = NodeState.UP
    room: str = ""
    weight: float | None = None  # None: the list says nothing of it
    units: float = 0.0  # most units that one front has out there; 0: the design's bound alone
    started: int = 0  # us of Unix time; 0: long ago


@dataclass(frozen=True, slots=True)
class Entry:
    """A server statement: as written, with its place."""

    server: Server  # its address is still the host's name where a name stands there
    place: Place


@dataclass(slots=True)
class Parsed:
    """The statements of one file."""

    file: str
    format: int | None = None
    version: tuple[int, Place] | None = None
    networks: list[tuple[str, Place]] = field(default_factory=list)
    hosts: list[tuple[str, Place]] = field(default_factory=list)
    includes: list[tuple[str, Place]] = field(default_factory=list)
    manifest: tuple[str, Place] | None = None
    digests: list[tuple[str, str, Place]] = field(default_factory=list)
    entries: list[Entry] = field(default_factory=list)
    problems: list[Problem] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Listing:
    """A set of files that passed its checks: addresses resolved, names unique."""

    version: int
    digest: str  # of all of the set's bytes
    servers: dict[str, Server]
    files: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Delta:
    """From one listing to the next."""

    came: tuple[str, ...] = ()
    went: tuple[str, ...] = ()
    changed: tuple[str, ...] = ()
    withdrawn: int = 0  # servers that were ready, and take no new work in the next
    ready: int = 0  # servers that were ready
    lost: tuple[int, ...] = ()  # shards that had a ready server, and have none in the next

    @property
    def names(self) -> tuple[str, ...]:
        return (*self.went, *self.changed, *self.came)


def _served(servers: dict[str, Server]) -> set[int]:
    return {s.shard for s in servers.values() if s.state is NodeState.UP}


def difference(old: dict[str, Server], new: dict[str, Server]) -> Delta:
    came = [n for n in new if n not in old]
    went = [n for n in old if n not in new]
    changed = [n for n, server in new.items() if n in old and old[n] is not server and old[n] != server]
    ready = sum(s.state is NodeState.UP for s in old.values())
    withdrawn = sum(old[n].state is NodeState.UP for n in went)
    withdrawn += sum(old[n].state is NodeState.UP and new[n].state is not NodeState.UP for n in changed)
    lost = sorted(_served(old) - _served(new)) if withdrawn or changed else []
    return Delta(tuple(came), tuple(went), tuple(changed), withdrawn, ready, tuple(lost))


@dataclass(frozen=True, slots=True)
class Member:
    """A server of the list in force under the id by which the engine knows it."""

    id: str
    server: Server
    source: Source
    held: bool = False  # kept from new work because it flaps


@dataclass(frozen=True, slots=True)
class Change:
    """What an event made of the list in force. Members that went are named by id, as they were."""

    generation: int
    came: tuple[Member, ...] = ()
    changed: tuple[tuple[Member, Member], ...] = ()  # before, after
    went: tuple[Member, ...] = ()
    marks: tuple[tuple[str, bool, int], ...] = ()  # by id: out by hand, and since when in us of Unix time

    def __bool__(self) -> bool:
        return bool(self.came or self.changed or self.went or self.marks)
