"""Plain records for endpoint lists, and the difference between two lists."""

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
    """A source of endpoints; where two list the same name, the lower value takes precedence."""

    FILES = 0
    DISCOVERY = 1


@dataclass(frozen=True, slots=True)
class FilePosition:
    """A position in a file.

    Attributes:
        file: The file's name, relative to the main file's folder.
        line: The line, counted from 1; 0 means the whole file.
        column: The column, counted from 1; 0 means the whole line.
    """

    file: str
    line: int = 0
    column: int = 0

    def __str__(self) -> str:
        """Return FILE, FILE:LINE or FILE:LINE:COLUMN."""
        return ":".join([self.file, *(str(number) for number in (self.line, self.column) if number)])


@dataclass(frozen=True, slots=True)
class ListProblem:
    """A reason to reject a set of list files.

    Attributes:
        code: The problem's code; docs/watched-lists.md has an entry for each.
        position: The position at which the problem was found.
        message: A description of the problem.
        suggestion: The most similar known word; "" if there is none.
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
        """Return the problem as the admin API and the command line print it in JSON."""
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
        name: The endpoint's name, unique in a list.
        address: An IP address and a port; None only from discovery, for an endpoint that is not ready.
        shard: The shard that the endpoint serves.
        status: Whether the endpoint accepts new requests.
        zone: The endpoint's zone; "" if none is listed.
        weight: The endpoint's weight among those of its shard; None if none is listed.
        max_units: The most units that one front may have in flight at the endpoint; 0 applies only the
            scheduler's own limit.
        started_us: When the endpoint started, in Unix time; 0 means long ago.
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
    """A `server` statement as written in a list file.

    Attributes:
        endpoint: The endpoint; its address still holds the host name if the file has one.
        position: The statement's position.
    """

    endpoint: EndpointSpec
    position: FilePosition


class Positioned(NamedTuple, Generic[Value]):
    """A statement's value and position."""

    value: Value
    position: FilePosition


class FileDigest(NamedTuple):
    """A `file` statement of a manifest: the expected SHA-256 of one file."""

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
        version: The version that the main file states.
        digest: The SHA-256 over the names and contents of all files of the set.
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
        added: Names that only the next list has.
        removed: Names that only the earlier list has.
        changed: Names whose entries differ.
        withdrawn_count: How many endpoints are ready in the earlier list and not in the next one.
        ready_count: How many endpoints are ready in the earlier list.
        unserved_shards: Shards that have a ready endpoint in the earlier list and none in the next one.
    """

    added: tuple[str, ...] = ()
    removed: tuple[str, ...] = ()
    changed: tuple[str, ...] = ()
    withdrawn_count: int = 0
    ready_count: int = 0
    unserved_shards: tuple[int, ...] = ()

    @property
    def affected_names(self) -> tuple[str, ...]:
        """The names that were removed, changed or added."""
        return (*self.removed, *self.changed, *self.added)


def _ready_shards(endpoints: dict[str, EndpointSpec]) -> set[int]:
    return {endpoint.shard for endpoint in endpoints.values() if endpoint.status is EndpointStatus.UP}


def diff_endpoints(old: dict[str, EndpointSpec], new: dict[str, EndpointSpec]) -> ListDelta:
    """Return the difference from `old` to `new`."""
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
        id: The endpoint's id in the scheduler: its name, or a name derived from it if the plain name was the
            id of an earlier endpoint.
        endpoint: The endpoint as merged from all sources.
        source: The source that takes precedence.
        suppressed: Whether flap damping keeps new requests away from the endpoint.
    """

    id: str
    endpoint: EndpointSpec
    source: Source
    suppressed: bool = False


class ManualDrain(NamedTuple):
    """A manual drain that was set or removed.

    Attributes:
        endpoint_id: The id of the endpoint in the list in force.
        drained: True if the drain was set, False if it was removed.
        drained_us: When the drain was set, in Unix time; 0 if it was removed.
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
    """The changes that an event made to the list in force; false if it made none.

    Attributes:
        generation: The generation of the list after the event.
        added: Endpoints whose id is new in the list in force.
        changed: Endpoints that keep their id and differ in something else.
        removed: Endpoints that left, as they were before. An endpoint whose id changed is listed here with
            its earlier id, and in `added` with its new one.
        manual_drains: The manual drains that were set or removed.
    """

    generation: int
    added: tuple[ActiveEndpoint, ...] = ()
    changed: tuple[EndpointChange, ...] = ()
    removed: tuple[ActiveEndpoint, ...] = ()
    manual_drains: tuple[ManualDrain, ...] = ()

    def __bool__(self) -> bool:
        """Return whether anything changed."""
        return bool(self.added or self.changed or self.removed or self.manual_drains)
