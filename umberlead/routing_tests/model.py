"""What a suite says, and what became of it: plain records."""

from dataclasses import dataclass, field
from enum import Enum

from umberlead.membership.model import FilePosition

SECOND_US = 1_000_000


@dataclass(frozen=True, slots=True)
class Collection:
    """Requests of one volume or of a few: `volumes` are spread over the same plan and shards."""

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
    requests_per_second: float  # requests a second
    begin_us: int  # us
    end_us: int
    units: float = 1.0
    new: bool = False  # writes of new objects, which any server may take
    place: FilePosition = field(default=FilePosition(""), compare=False)


@dataclass(frozen=True, slots=True)
class Happening:
    """A change to servers or to the fleet at a time.

    `kind` is one of: drain, back, leave, out, in, cold, slow, outcome, list; in a scenario with a fleet also:
    surge, costly, neighbour, lag, deploy, kill, cut, dark, collector, lists, clock.
    """

    at_us: int
    kind: str
    servers: tuple[str, ...] = ()
    value: float = 0.0
    label: str = ""
    place: FilePosition = field(default=FilePosition(""), compare=False)
    until_us: int = 0  # 0: for good
    parameters: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class Fleet:
    """Emulated servers and fronts, and the day that they see; from the operators' figures."""

    servers: int
    fronts: int
    zones: int = 3
    copies: int = 1  # servers of a shard, each in a room of its own
    seconds: float = 0.0
    load: float = 0.0
    excess: float = 1.0
    retries: int | None = None
    place: FilePosition = field(default=FilePosition(""), compare=False)


@dataclass(frozen=True, slots=True)
class Selector:
    """Which requests: all that fit everything that is given."""

    class_name: str = ""
    plan: str = ""
    collection: str = ""
    shard: int | None = None
    new: bool | None = None
    begin_us: int = 0
    end_us: int = 1 << 62

    def describe(self) -> str:
        """The conditions in the suite's own language."""
        made = [f"{k} {v}" for k, v in (("class", self.class_name), ("plan", self.plan)) if v]
        made += [f"collection {self.collection}"] if self.collection else []
        made += [f"shard {self.shard}"] if self.shard is not None else []
        made += ["new"] if self.new else []
        return " ".join(made) or "all"


@dataclass(frozen=True, slots=True)
class Expectation:
    """A rule that the selected requests have to keep.

    `rule` is one of: only, never, attempts, once, within, served, refused, answered-once, prompt, share,
    service; or one for every sequence of outcomes: may-only, may-never, may-attempts, may-once.
    """

    rule: str
    selector: Selector
    servers: tuple[str, ...] = ()
    limit: float = 0.0  # of attempts, of us, or of a share
    tolerance: float = 0.0
    after_us: int = 0
    text: str = ""
    place: FilePosition = field(default=FilePosition(""), compare=False)


@dataclass(slots=True)
class Scenario:
    """Loads, changes and expectations that are played together."""

    name: str
    place: FilePosition
    seed: int = 1
    loads: list[Load] = field(default_factory=list)
    happenings: list[Happening] = field(default_factory=list)
    expectations: list[Expectation] = field(default_factory=list)
    fleet: Fleet | None = None


@dataclass(slots=True)
class Suite:
    """A suite file as read."""

    file: str
    config: tuple[str, FilePosition] | None = None
    listed: tuple[str, FilePosition] | None = None
    collections: dict[str, Collection] = field(default_factory=dict)
    groups: dict[str, tuple[str, ...]] = field(default_factory=dict)
    scenarios: list[Scenario] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class TraceStep:
    """One event in a request's life."""

    at_us: int
    kind: str  # taken, sent, ended, answered
    server: str = ""
    result: str = ""  # an attempt's result, or the answer's kind
    note: str = ""  # what the module saw


@dataclass(slots=True)
class RequestTrace:
    """A simulated request from its coming to its answer."""

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
        """The steps that sent the request to a server."""
        return [s for s in self.steps if s.kind == "sent"]

    def answers(self) -> list[TraceStep]:
        """The steps that answered the request."""
        return [s for s in self.steps if s.kind == "answered"]


class Outcome(Enum):
    """How an expectation came out."""

    PASSED = "held"
    FAILED = "failed"
    ERROR = "error"  # the suite asks for what can't be told


@dataclass(frozen=True, slots=True)
class Verdict:
    """The outcome of one expectation, with a witness where it failed."""

    expectation: Expectation
    scenario: str
    outcome: Outcome
    reason: str = ""
    witness: RequestTrace | None = None
    request_count: int = 0  # that it was judged by
