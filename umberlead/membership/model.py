"""What lists of chunk servers say, as plain records; nothing here decides."""

from dataclasses import dataclass, field
from enum import IntEnum

from umberlead.scheduling.events import EndpointStatus

Address = tuple[str, int]

STATE_BY_KEYWORD = {"ready": EndpointStatus.UP, "draining": EndpointStatus.DRAINING}
MAX_WEIGHT = 1000.0
SHARD_INDEX_LIMIT = (1 << 20) - 1


class Source(IntEnum):
    """Who lists a server; of two that do, the lower goes first."""

    FILES = 0
    DISCOVERY = 1


@dataclass(frozen=True, slots=True)
class FilePosition:
    """Where something stands in a file; lines and columns count from 1, 0 stands for the whole file."""

    file: str
    line: int = 0
    column: int = 0

    def __str__(self) -> str:
        return ":".join([self.file, *(str(n) for n in (self.line, self.column) if n)])


@dataclass(frozen=True, slots=True)
class ListProblem:
    """Why a set of files can't be taken. `code` has an entry in docs/watched-lists.md."""

    code: str
    position: FilePosition
    message: str
    suggestion: str = ""  # the nearest known word

    def __str__(self) -> str:
        hint = f"; did you mean {self.suggestion!r}?" if self.suggestion else ""
        return f"{self.position}: {self.code}: {self.message}{hint}"

    def to_json_row(self) -> dict[str, str | int]:
        of = self.position
        made: dict[str, str | int] = {
            "code": self.code,
            "file": of.file,
            "line": of.line,
            "column": of.column,
        }
        return made | {"text": self.message} | ({"near": self.suggestion} if self.suggestion else {})


@dataclass(frozen=True, slots=True)
class EndpointSpec:
    """A chunk server as one source lists it."""

    name: str
    address: Address | None  # an IP address and a port; None only from discovery, for what is not ready
    shard: int
    state: EndpointStatus = EndpointStatus.UP
    room: str = ""
    weight: float | None = None  # None: the list says nothing of it
    units: float = 0.0  # most units that one front has out there; 0: the design's bound alone
    started: int = 0  # us of Unix time; 0: long ago


@dataclass(frozen=True, slots=True)
class EndpointStatement:
    """A server statement: as written, with its place."""

    endpoint: EndpointSpec  # its address is still the host's name where a name stands there
    position: FilePosition


@dataclass(slots=True)
class ParsedFile:
    """The statements of one file."""

    file: str
    format_version: int | None = None
    version: tuple[int, FilePosition] | None = None
    networks: list[tuple[str, FilePosition]] = field(default_factory=list)
    hosts: list[tuple[str, FilePosition]] = field(default_factory=list)
    includes: list[tuple[str, FilePosition]] = field(default_factory=list)
    manifest: tuple[str, FilePosition] | None = None
    digests: list[tuple[str, str, FilePosition]] = field(default_factory=list)
    endpoint_statements: list[EndpointStatement] = field(default_factory=list)
    problems: list[ListProblem] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class CheckedList:
    """A set of files that passed its checks: addresses resolved, names unique."""

    version: int
    digest: str  # of all of the set's bytes
    endpoints: dict[str, EndpointSpec]
    files: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ListDelta:
    """From one listing to the next."""

    added: tuple[str, ...] = ()
    removed: tuple[str, ...] = ()
    changed: tuple[str, ...] = ()
    withdrawn_count: int = 0  # servers that were ready, and take no new work in the next
    ready_count: int = 0  # servers that were ready
    lost_shards: tuple[int, ...] = ()  # shards that had a ready server, and have none in the next

    @property
    def affected_names(self) -> tuple[str, ...]:
        return (*self.removed, *self.changed, *self.added)


def _ready_shards(servers: dict[str, EndpointSpec]) -> set[int]:
    return {s.shard for s in servers.values() if s.state is EndpointStatus.UP}


def diff_endpoints(old: dict[str, EndpointSpec], new: dict[str, EndpointSpec]) -> ListDelta:
    came = [n for n in new if n not in old]
    went = [n for n in old if n not in new]
    changed = [n for n, server in new.items() if n in old and old[n] is not server and old[n] != server]
    ready = sum(s.state is EndpointStatus.UP for s in old.values())
    withdrawn = sum(old[n].state is EndpointStatus.UP for n in went)
    withdrawn += sum(
        old[n].state is EndpointStatus.UP and new[n].state is not EndpointStatus.UP for n in changed
    )
    lost = sorted(_ready_shards(old) - _ready_shards(new)) if withdrawn or changed else []
    return ListDelta(tuple(came), tuple(went), tuple(changed), withdrawn, ready, tuple(lost))


@dataclass(frozen=True, slots=True)
class ActiveEndpoint:
    """A server of the list in force under the id by which the engine knows it."""

    id: str
    endpoint: EndpointSpec
    source: Source
    suppressed: bool = False  # kept from new work because it flaps


@dataclass(frozen=True, slots=True)
class MembershipChange:
    """What an event made of the list in force. Members that went are named by id, as they were."""

    generation: int
    added: tuple[ActiveEndpoint, ...] = ()
    changed: tuple[tuple[ActiveEndpoint, ActiveEndpoint], ...] = ()  # before, after
    removed: tuple[ActiveEndpoint, ...] = ()
    manual_drains: tuple[
        tuple[str, bool, int], ...
    ] = ()  # by id: out by hand, and since when in us of Unix time

    def __bool__(self) -> bool:
        return bool(self.added or self.changed or self.removed or self.manual_drains)
