"""Data classes for the contents of a suite and for the results of playing it."""

from dataclasses import dataclass, field
from enum import Enum

from umberlead.membership.model import FilePosition

SECOND_US = 1_000_000


@dataclass(frozen=True, slots=True)
class Collection:
    """A named set of volumes whose requests share a plan and a set of shards.

    Attributes:
        name: Name of the collection in the suite.
        plan: Customer plan of every request.
        shards: Shards that hold the data; the shard of each read is drawn from them.
        volumes: Number of volumes; the volume of each request is drawn from them.
        hosts: Number of client hosts, passed with every request.
    """

    name: str
    plan: str
    shards: tuple[int, ...]
    volumes: int = 1
    hosts: int = 1


@dataclass(frozen=True, slots=True)
class Load:
    """Requests of a collection at a mean rate between two times."""

    collection: str
    class_name: str
    requests_per_second: float
    begin_us: int
    end_us: int
    units: float = 1.0
    new: bool = False  # the requests write new objects, which any server may take
    place: FilePosition = field(default=FilePosition(""), compare=False)


@dataclass(frozen=True, slots=True)
class Happening:
    """A change to servers or to the fleet at a given time.

    `kind` is one of: drain, back, leave, out, in, cold, slow, outcome, list; in a scenario with a fleet also:
    surge, costly, neighbour, lag, deploy, kill, cut, dark, collector, lists, clock.
    """

    at_us: int
    kind: str
    servers: tuple[str, ...] = ()
    value: float = 0.0
    label: str = ""
    place: FilePosition = field(default=FilePosition(""), compare=False)
    until_us: int = 0  # 0: the change is never undone
    parameters: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class Fleet:
    """Size of an emulated fleet of servers and fronts, and the load of the emulated day."""

    servers: int
    fronts: int
    zones: int = 3
    copies: int = 1  # servers of a shard, each in a different zone
    seconds: float = 0.0
    load: float = 0.0
    excess: float = 1.0
    retries: int | None = None
    place: FilePosition = field(default=FilePosition(""), compare=False)


@dataclass(frozen=True, slots=True)
class Selector:
    """Selects the requests that match all of the given conditions; no condition selects every request."""

    class_name: str = ""
    plan: str = ""
    collection: str = ""
    shard: int | None = None
    new: bool | None = None
    begin_us: int = 0
    end_us: int = 1 << 62

    def describe(self) -> str:
        """The conditions in the syntax of the suite."""
        conditions = [f"{k} {v}" for k, v in (("class", self.class_name), ("plan", self.plan)) if v]
        conditions += [f"collection {self.collection}"] if self.collection else []
        conditions += [f"shard {self.shard}"] if self.shard is not None else []
        conditions += ["new"] if self.new else []
        return " ".join(conditions) or "all"


@dataclass(frozen=True, slots=True)
class Expectation:
    """A rule that the selected requests have to satisfy.

    `rule` is one of: only, never, attempts, once, within, served, refused, answered-once, prompt, share,
    service. The rules may-only, may-never, may-attempts and may-once are checked over every sequence of
    attempt results.
    """

    rule: str
    selector: Selector
    servers: tuple[str, ...] = ()
    limit: float = 0.0  # a number of attempts, a time in us or a ratio, as `rule` needs
    tolerance: float = 0.0
    after_us: int = 0
    text: str = ""
    place: FilePosition = field(default=FilePosition(""), compare=False)


@dataclass(slots=True)
class Scenario:
    """Loads, changes and expectations that are played in one run."""

    name: str
    place: FilePosition
    seed: int = 1
    loads: list[Load] = field(default_factory=list)
    happenings: list[Happening] = field(default_factory=list)
    expectations: list[Expectation] = field(default_factory=list)
    fleet: Fleet | None = None


@dataclass(slots=True)
class Suite:
    """The parsed contents of a suite file."""

    file: str
    config: tuple[str, FilePosition] | None = None
    listed: tuple[str, FilePosition] | None = None
    collections: dict[str, Collection] = field(default_factory=dict)
    groups: dict[str, tuple[str, ...]] = field(default_factory=dict)
    scenarios: list[Scenario] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class TraceStep:
    """One event of a request."""

    at_us: int
    kind: str  # taken, sent, ended, answered
    server: str = ""
    result: str = ""  # an attempt's result, or the answer's kind
    note: str = ""  # state of the candidate servers as the scheduler saw it


@dataclass(slots=True)
class RequestTrace:
    """A simulated request with its events from arrival to final answer."""

    id: str
    arrived_us: int
    collection: str
    class_name: str
    plan: str
    shard: int
    units: float
    new: bool
    steps: list[TraceStep] = field(default_factory=list)

    def attempts(self) -> list[TraceStep]:
        """The steps that send the request to a server."""
        return [s for s in self.steps if s.kind == "sent"]

    def answers(self) -> list[TraceStep]:
        """The steps that answer the client."""
        return [s for s in self.steps if s.kind == "answered"]


class Outcome(Enum):
    """Result of checking an expectation."""

    PASSED = "held"
    FAILED = "failed"
    ERROR = "error"  # the expectation could not be decided


@dataclass(frozen=True, slots=True)
class Verdict:
    """The outcome of one expectation, with the request that violates it as a witness where there is one."""

    expectation: Expectation
    scenario: str
    outcome: Outcome
    reason: str = ""
    witness: RequestTrace | None = None
    request_count: int = 0  # checked requests, or checked sequences of attempt results
