"""Events that the scheduler takes in: endpoint lists, requests, outcomes of attempts, operators' orders.

Times are whole microseconds of one clock that only moves forward.
"""

from dataclasses import dataclass, field
from enum import Enum


class EndpointStatus(Enum):
    """What the endpoint list says of an endpoint."""

    UP = "up"
    DRAINING = "draining"
    GONE = "gone"


class AttemptResult(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"  # the endpoint answered with an error; it may have run
    REJECTED = "full"  # the endpoint rejected it; it never ran
    TIMEOUT = "timeout"  # no answer in time; it may have run
    CONNECT_FAILED = "no_link"  # no connection was made; it never ran
    RESET = "reset"  # the connection broke; it may have run
    CANCELLED = "cancelled"  # given up; it may have run
    NOT_SENT = "moot"  # never sent, or the endpoint has no use for it; it never ran


@dataclass(frozen=True, slots=True)
class Endpoint:
    """An entry of the endpoint list.

    Attributes:
        name: its name in the list.
        status: whether it takes requests.
        shard: the data that it holds.
        started_us: when it started; 0: long ago.
        weight: its part of new objects, where the list gives weights.
        max_in_flight_units: most units in flight from one front; 0: the scheduler's own bound alone.
        distance_factor: by which its latency counts more where there is a choice.
        zone: its failure domain, as the list tells it; nothing is decided by that here.
    """

    name: str
    status: EndpointStatus
    shard: int
    started_us: int = 0
    weight: float | None = None
    max_in_flight_units: float = 0.0
    distance_factor: float = 1.0
    zone: str = ""


@dataclass(frozen=True, slots=True)
class EndpointList:
    """The endpoint list: `complete`, or only the entries that changed."""

    complete: bool
    endpoints: tuple[Endpoint, ...]


@dataclass(frozen=True, slots=True)
class EndpointListFailed:
    """A call for the endpoint list failed; the list in force stays."""


@dataclass(frozen=True, slots=True)
class Request:
    """A client's request, to be answered once before `deadline_us`.

    Attributes:
        request_id: its name between the scheduler and its caller.
        key: the piece of data; None where it names none.
        volume: the volume that it belongs to.
        deadline_us: when its client gives up.
        shard: the shard that holds the data; -1 for a new object.
        units: its size.
        class_name: its class.
        plan: its volume's plan.
        volume_front_count: through how many fronts its volume works.
        is_client_retry: whether its client marked it as a retry.
    """

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
    """How one attempt ended.

    Attributes:
        request_id: the request's.
        endpoint: where it was sent.
        attempt: its number, from 0.
        result: how it ended.
        elapsed_us: since it was sent.
        final: whether the request is answered with it.
        load_report: the endpoint's figures.
        used_rate_percent: 1 + percent of the plan's rate served for the volume in an earlier period; 0:
        unknown. units_elsewhere: served there for the volume through other fronts.
        misdirected: rejected as the request is over, or not for this endpoint: a retry there would end the
        same.
    """

    request_id: str
    endpoint: str
    attempt: int
    result: AttemptResult
    elapsed_us: int
    final: bool
    load_report: dict[str, float] = field(default_factory=dict)
    used_rate_percent: int = 0
    units_elsewhere: int = 0
    misdirected: bool = False


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client no longer waits; nothing is owed."""

    request_id: str


@dataclass(frozen=True, slots=True)
class HealthCheckResult:
    """What a health check found."""

    endpoint: str
    result: AttemptResult
    elapsed_us: int
    load_report: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class TimerExpired:
    """A timer that was asked for has expired."""

    label: str


@dataclass(frozen=True, slots=True)
class ManualDrain:
    """An operator took an endpoint out at `at_us`, or put it back, whatever the list says."""

    endpoint: str
    drained: bool
    at_us: int


@dataclass(frozen=True, slots=True)
class ProcessShare:
    """This process's share, above 0 to 1, of what its front may send for a volume.

    Sibling processes never have more than 1 together. It comes at the start, and with each change.
    """

    share: float


@dataclass(frozen=True, slots=True)
class OpenRequestLimit:
    """From now on so many requests may be open at once; 0 for any number."""

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
