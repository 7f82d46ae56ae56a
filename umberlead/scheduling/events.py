"""Events that the scheduler takes in: endpoint lists, requests, outcomes of attempts, operators' orders.

Times are whole microseconds of one clock that only moves forward.
"""

from dataclasses import dataclass, field
from enum import Enum


class EndpointStatus(Enum):
    """What the node list says of a node."""

    UP = "up"
    DRAINING = "draining"
    GONE = "gone"


class AttemptResult(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"  # the node answered with an error; it may have run
    REJECTED = "full"  # turned away unseen
    TIMEOUT = "timeout"  # no answer in time; it may have run
    CONNECT_FAILED = "no_link"  # no connection came about
    RESET = "reset"  # the connection broke; it may have run
    CANCELLED = "cancelled"  # withdrawn; it may have run
    NOT_SENT = "moot"  # never went out


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A line of the node list."""

    name: str
    status: EndpointStatus
    shard: int
    started_us: int = 0  # 0: long ago
    weight: float | None = None  # its part of new objects, where the list gives weights
    max_in_flight_units: float = 0.0  # most units that one head has out there; 0: the design's bound alone
    distance_factor: float = 1.0  # how much dearer its answers count where there is a choice
    zone: str = ""  # where it stands, as the list tells it; nothing is decided by that here


@dataclass(frozen=True, slots=True)
class EndpointList:
    """News of the nodes: the whole list, or only what changed."""

    complete: bool
    endpoints: tuple[Endpoint, ...]


@dataclass(frozen=True, slots=True)
class EndpointListFailed:
    """A call for the node list failed; the list held so far stays valid."""


@dataclass(frozen=True, slots=True)
class Request:
    """A client's request, to be answered once before `give_up`."""

    request_id: str
    key: str | None
    volume: str
    deadline_us: int
    shard: int
    units: float
    class_name: str
    plan: str
    volume_front_count: int = 1
    is_client_retry: bool = False


@dataclass(frozen=True, slots=True)
class ResponseStarted:
    """The answer has begun to reach the client."""

    request_id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Outcome:
    """How one attempt ended; `final` when the request is over."""

    request_id: str
    endpoint: str
    attempt: int
    result: AttemptResult
    elapsed_us: int
    final: bool
    load_report: dict[str, float] = field(default_factory=dict)
    used_rate_percent: int = 0  # 1 + percent of the plan's rate served for the volume in a past period
    units_elsewhere: int = 0  # units served there for the volume through other heads
    misdirected: bool = (
        False  # turned away as the request is over, or not for this node: again would end the same
    )


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client no longer waits; nothing is owed."""

    request_id: str


@dataclass(frozen=True, slots=True)
class HealthCheckResult:
    """What a probe found."""

    endpoint: str
    result: AttemptResult
    elapsed_us: int
    load_report: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class TimerExpired:
    """A timer asked for has come due."""

    label: str


@dataclass(frozen=True, slots=True)
class ManualDrain:
    """An operator takes a node out, at `at`, or puts it back; the list has no say in that."""

    endpoint: str
    drained: bool
    at_us: int


@dataclass(frozen=True, slots=True)
class ProcessShare:
    """Of what its front may send for a volume this process has `share`, above 0, to 1: processes that stand
    beside each other never have more than 1 together. Told at the start, and again with each change."""

    share: float


@dataclass(frozen=True, slots=True)
class OpenRequestLimit:
    """From now on so many requests may be open at once, 0 for any number."""

    max_requests: int


Event = (
    EndpointList
    | EndpointListFailed
    | Request
    | ResponseStarted
    | Outcome
    | ClientDisconnected
    | HealthCheckResult
    | TimerExpired
    | ManualDrain
    | ProcessShare
    | OpenRequestLimit
)
