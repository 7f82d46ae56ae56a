"""What endpoint lists say, as plain records; nothing here decides."""

from dataclasses import dataclass, field
from enum import IntEnum
from typing import Generic, NamedTuple, TypeVar

from umberlead.scheduling.events import EndpointStatus

Address = tuple[str, int]
Value = TypeVar("Value")

STATUS_BY_KEYWORD = {"ready": EndpointStatus.UP, "draining": EndpointStatus.DRAINING}
MAX_WEIGHT = 1000.0
SHARD_INDEX_LIMIT = (1 << 20) - 1


class Source(IntEnum):
    """Who lists an endpoint; of two that do, the lower takes precedence."""

    FILES = 0
    DISCOVERY = 1


@dataclass(frozen=True, slots=True)
class FilePosition:
    """A position in a file.

    Attributes:
        file: The file's name, relative to the main file's folder.
        line: The line, counted from 1; 0 stands for the whole file.
        column: The column, counted from 1; 0 stands for the whole line.
    """

    file: str
    line: int = 0
    column: int = 0

    def __str__(self) -> str:
        """Return FILE, FILE:LINE or FILE:LINE:COLUMN."""
        return ":".join([self.file, *(str(number) for number in (self.line, self.column) if number)])


@dataclass(frozen=True, slots=True)
class ListProblem:
    """Why a set of files can't be taken.

    Attributes:
        code: The problem's code; docs/watched-lists.md has an entry for each.
        position: Where it was found.
        message: What is wrong.
        suggestion: The nearest known word; "" for none.
    """

    code: str
    position: FilePosition
    message: str
    suggestion: str = ""

    def __str__(self) -> str:
        """Return the problem as one line."""
        hint = f"; did you mean {self.suggestion!r}?" if self.suggestion else ""
        return f"{self.position}: {self.code}: {self.message}{hint}"

    def to_json_row(self) -> dict[str, str | int]:
        """Return the problem as the admin API and the command line give it in JSON."""
        row: dict[str, str | int] = {
            "code": self.code,
            "file": self.position.file,
            "line": self.position.line,
            "column": self.position.column,
            "text": self.message,
        }
        return row | {"near": self.suggestion} if self.suggestion else row


@dataclass(frozen=True, slots=True)
class EndpointSpec:
    """An endpoint as one source lists it.

    Attributes:
        name: Its name, unique in a list.
        address: An IP address and a port; None only from discovery, for one that is not ready.
        shard: The shard it serves.
        status: Whether it takes new requests.
        zone: Its zone; "" where none is listed.
        weight: Its weight among the endpoints of its shard; None where none is listed.
        max_units: The most units that one front may have in flight there; 0 for the scheduler's bound alone.
        started_us: When it started, in Unix time; 0 for long ago.
    """

    name: str
    address: Address | None
    shard: int
    status: EndpointStatus = EndpointStatus.UP
    zone: str = ""
    weight: float | None = None
    max_units: float = 0.0
    started_us: int = 0


@dataclass(frozen=True, slots=True)
class EndpointStatement:
    """A `server` statement as written.

    Attributes:
        endpoint: What it says; its address holds the host's name where one is written.
        position: Where it stands.
    """

    endpoint: EndpointSpec
    position: FilePosition


class Positioned(NamedTuple, Generic[Value]):
    """A statement's value and where it stands."""

    value: Value
    position: FilePosition


class FileDigest(NamedTuple):
    """A manifest's statement of one file's SHA-256."""

    file: str
    digest: str
    position: FilePosition


@dataclass(slots=True)
class ParsedFile:
    """The statements of one file, and the problems found in them."""

    file: str
    format_version: int | None = None
    version: Positioned[int] | None = None
    networks: list[Positioned[str]] = field(default_factory=list)
    hosts: list[Positioned[str]] = field(default_factory=list)
    includes: list[Positioned[str]] = field(default_factory=list)
    manifest: Positioned[str] | None = None
    digests: list[FileDigest] = field(default_factory=list)
    endpoint_statements: list[EndpointStatement] = field(default_factory=list)
    problems: list[ListProblem] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class CheckedList:
    """A set of files that passed its checks.

    Attributes:
        version: The list's own version.
        digest: The SHA-256 of all bytes of the set.
        endpoints: The endpoints by name, with resolved addresses.
        files: The names of the files, the main one first.
    """

    version: int
    digest: str
    endpoints: dict[str, EndpointSpec]
    files: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ListDelta:
    """The difference from one list to the next.

    Attributes:
        added: Names that are in the next list alone.
        removed: Names that are in the earlier list alone.
        changed: Names whose entry differs.
        withdrawn_count: How many endpoints were ready and take no new requests in the next list.
        ready_count: How many endpoints were ready.
        unserved_shards: Shards that had a ready endpoint and have none in the next list.
    """

    added: tuple[str, ...] = ()
    removed: tuple[str, ...] = ()
    changed: tuple[str, ...] = ()
    withdrawn_count: int = 0
    ready_count: int = 0
    unserved_shards: tuple[int, ...] = ()

    @property
    def affected_names(self) -> tuple[str, ...]:
        """All names that the difference is about."""
        return (*self.removed, *self.changed, *self.added)


def _ready_shards(endpoints: dict[str, EndpointSpec]) -> set[int]:
    return {endpoint.shard for endpoint in endpoints.values() if endpoint.status is EndpointStatus.UP}


def diff_endpoints(old: dict[str, EndpointSpec], new: dict[str, EndpointSpec]) -> ListDelta:
    """Return what `new` changes over `old`."""
    added = [name for name in new if name not in old]
    removed = [name for name in old if name not in new]
    changed = [
        name
        for name, endpoint in new.items()
        if name in old and old[name] is not endpoint and old[name] != endpoint
    ]
    up = EndpointStatus.UP
    ready_count = sum(endpoint.status is up for endpoint in old.values())
    withdrawn_count = sum(old[name].status is up for name in removed)
    withdrawn_count += sum(old[name].status is up and new[name].status is not up for name in changed)
    may_leave_unserved = bool(withdrawn_count or changed)
    unserved_shards = sorted(_ready_shards(old) - _ready_shards(new)) if may_leave_unserved else []
    return ListDelta(
        added=tuple(added),
        removed=tuple(removed),
        changed=tuple(changed),
        withdrawn_count=withdrawn_count,
        ready_count=ready_count,
        unserved_shards=tuple(unserved_shards),
    )


@dataclass(frozen=True, slots=True)
class ActiveEndpoint:
    """An endpoint of the list in force.

    Attributes:
        id: The id by which the scheduler knows it: its name, or one made of it where another endpoint had it.
        endpoint: What the sources together say of it.
        source: The source that takes precedence.
        suppressed: Whether it gets no new requests because it flaps.
    """

    id: str
    endpoint: EndpointSpec
    source: Source
    suppressed: bool = False


class ManualDrain(NamedTuple):
    """A manual drain that was set or lifted.

    Attributes:
        endpoint_id: The id of the endpoint in the list in force.
        drained: Whether it was set.
        drained_us: When it was set, in Unix time; 0 where it was lifted.
    """

    endpoint_id: str
    drained: bool
    drained_us: int


class EndpointChange(NamedTuple):
    """An endpoint of the list in force, before and after a change."""

    before: ActiveEndpoint
    after: ActiveEndpoint


@dataclass(frozen=True, slots=True)
class MembershipChange:
    """What an event changed in the list in force; false if nothing.

    Attributes:
        generation: The generation that is in force from here on.
        added: Endpoints that were not in force under this id.
        changed: Endpoints with the same id.
        removed: Endpoints as they were; of one whose id changed, the earlier one.
        manual_drains: The manual drains that were set or lifted.
    """

    generation: int
    added: tuple[ActiveEndpoint, ...] = ()
    changed: tuple[EndpointChange, ...] = ()
    removed: tuple[ActiveEndpoint, ...] = ()
    manual_drains: tuple[ManualDrain, ...] = ()

    def __bool__(self) -> bool:
        """Return whether anything changed."""
        return bool(self.added or self.changed or self.removed or self.manual_drains)
