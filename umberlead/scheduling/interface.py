"""What a head tells umberlead and what it is told to do: settings, events and actions.

Times are whole microseconds of one clock that only moves forward. Nothing here decides anything.
"""

from dataclasses import dataclass, field
from enum import Enum


class Effect(Enum):
    """How far a request may be repeated."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class NodeState(Enum):
    """What the node list says of a node."""

    UP = "up"
    DRAINING = "draining"
    GONE = "gone"


class Result(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"  # the node answered with an error; it may have run
    FULL = "full"  # turned away unseen
    TIMEOUT = "timeout"  # no answer in time; it may have run
    NO_LINK = "no_link"  # no connection came about
    RESET = "reset"  # the connection broke; it may have run
    CANCELLED = "cancelled"  # withdrawn; it may have run
    MOOT = "moot"  # never went out


class Reason(Enum):
    """Why a request was refused or failed."""

    HOPELESS = "hopeless"  # it would be served late, and take the place of one in time
    AIM_OVER = "aim_over"  # it waited up to its aim
    NO_FURTHER_ATTEMPT = "no_further_attempt"  # its class, its count or the budget allows none
    OVERLOAD = "overload"  # more wait than there are places for their connections


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One kind of request."""

    name: str
    aim: int
    deadline: int
    effect: Effect = Effect.SAFE
    group: str = "all"  # of a keyed class: where repeats are dropped, "all", "zone" or "cell"
    memory: int = 0  # of a keyed class: how long repeats are dropped
    ordered: bool = False
    worth: float = 1.0
    late_worth: float = 0.0


@dataclass(frozen=True, slots=True)
class Plan:
    """What a volume on this plan is owed, over all heads and nodes."""

    name: str
    weight: float = 1.0
    rate: float = 0.0  # usual units a second
    reserve: float = 0.0  # units a second
    price: float = 1.0
    limit_rate: float = 0.0  # units a second, 0: no limit
    limit_burst: float = 0.0
    limit_slack: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """All that a head is told at its start."""

    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    heads: int = 1
    mean_units: float = 1.0
    max_units: float = 1.0
    fair_worth: float = 1.0  # part of the worth that units beyond the reserve, within the share, earn
    idle_worth: float = 1.0  # the same beyond the share
    max_attempts: int = 1
    may_cancel: bool = False
    link_timeout: int = 250_000
    marked: bool = False  # clients mark their repeats
    retry_after_max: int = 0  # 0: clients are given no advice
    ask_for_nodes: bool = False  # the node list has to be asked for
    answer_grace: int = 0
    shards: int = 0  # how many there are, counted from 0; 0: not told
    cold_units: float = 0.0
    cold_share: float = 1.0
    cold_multiple: float = 1.0
    cold_window: int = 0
    warm_up: int = 0
    order_rest: int = 0
    budget_window: int = 0  # 0: no budget
    budget_free: int = 0
    budget_share: float = 0.0


@dataclass(frozen=True, slots=True)
class Node:
    """A line of the node list."""

    node: str
    state: NodeState
    shard: int
    started: int = 0  # 0: long ago
    weight: float | None = None  # its part of new objects, where the list gives weights
    units: float = 0.0  # most units that one head has out there; 0: the design's bound alone
    far: float = 1.0  # how much dearer its answers count where there is a choice
    room: str = ""  # where it stands, as the list tells it; nothing is decided by that here


@dataclass(frozen=True, slots=True)
class NodeList:
    """News of the nodes: the whole list, or only what changed."""

    whole: bool
    nodes: tuple[Node, ...]


@dataclass(frozen=True, slots=True)
class ListFailed:
    """A call for the node list failed; the list held so far stays valid."""


@dataclass(frozen=True, slots=True)
class Request:
    """A client's request, to be answered once before `give_up`."""

    request: str
    key: str | None
    volume: str
    give_up: int
    shard: int
    units: float
    class_name: str
    plan: str
    writers: int = 1
    repeat: bool = False


@dataclass(frozen=True, slots=True)
class Streaming:
    """The answer has begun to reach the client."""

    request: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Outcome:
    """How one attempt ended; `final` when the request is over."""

    request: str
    node: str
    attempt: int
    result: Result
    elapsed: int
    final: bool
    load: dict[str, float] = field(default_factory=dict)
    used: int = 0  # 1 + percent of the plan's rate served for the volume in a past period
    elsewhere: int = 0  # units served there for the volume through other heads
    astray: bool = False  # turned away as the request is over, or not for this node: again would end the same


@dataclass(frozen=True, slots=True)
class ClientGone:
    """The client no longer waits; nothing is owed."""

    request: str


@dataclass(frozen=True, slots=True)
class Probed:
    """What a probe found."""

    node: str
    result: Result
    elapsed: int
    load: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Wake:
    """A timer asked for has come due."""

    label: str


@dataclass(frozen=True, slots=True)
class ByHand:
    """An operator takes a node out, at `at`, or puts it back; the list has no say in that."""

    node: str
    out: bool
    at: int


@dataclass(frozen=True, slots=True)
class ProcessShare:
    """Of what its front may send for a volume this process has `share`, above 0, to 1: processes that stand
    beside each other never have more than 1 together. Told at the start, and again with each change."""

    share: float


@dataclass(frozen=True, slots=True)
class OpenLimit:
    """From now on so many requests may be open at once, 0 for any number."""

    requests: int


Event = (
    NodeList
    | ListFailed
    | Request
    | Streaming
    | Outcome
    | ClientGone
    | Probed
    | Wake
    | ByHand
    | ProcessShare
    | OpenLimit
)


@dataclass(frozen=True, slots=True)
class Send:
    """Start the request's next attempt (numbered from 0) at a node."""

    request: str
    node: str


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final: not served, harmless to try again, best after `retry_after` (0: no advice)."""

    request: str
    retry_after: int = 0
    reason: Reason | None = field(default=None, compare=False)


@dataclass(frozen=True, slots=True)
class Fail:
    """Final: not served, with no promise whether it took effect."""

    request: str
    reason: Reason | None = field(default=None, compare=False)


@dataclass(frozen=True, slots=True)
class Cancel:
    """Stop waiting for one attempt."""

    request: str
    attempt: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a `Wake` after `delay`."""

    delay: int
    label: str


@dataclass(frozen=True, slots=True)
class Probe:
    """Examine a node."""

    node: str


@dataclass(frozen=True, slots=True)
class Follow:
    """Ask to be told of changes in the node list."""


@dataclass(frozen=True, slots=True)
class Note:
    """A line for the operator's log."""

    text: str


Action = Send | Refuse | Fail | Cancel | SetTimer | Probe | Follow | Note


def check(settings: Settings) -> None:
    """Raise ValueError where settings make no sense, whoever made them; what is no number makes none."""

    def finite(*figures: float) -> bool:
        return all(0 <= f < float("inf") for f in figures)

    if not settings.classes or not settings.plans:
        raise ValueError("settings need at least one request class and one plan")
    for names in ([c.name for c in settings.classes], [p.name for p in settings.plans]):
        if len(set(names)) < len(names):
            raise ValueError("names of classes and of plans must differ")
    for cls in settings.classes:
        if cls.aim <= 0 or cls.deadline <= 0:
            raise ValueError(f"class {cls.name}: aim and deadline must be above 0")
        if not finite(cls.worth, cls.late_worth, cls.memory):
            raise ValueError(f"class {cls.name}: worth and memory must not be negative")
    for plan in settings.plans:
        if not finite(plan.weight) or not plan.weight:
            raise ValueError(f"plan {plan.name}: weight must be above 0")
        limit = plan.limit_rate, plan.limit_burst, plan.limit_slack
        if not finite(plan.rate, plan.reserve, plan.price, *limit):
            raise ValueError(f"plan {plan.name}: rates must not be negative")
    if settings.heads < 1 or settings.max_attempts < 1:
        raise ValueError("heads and max_attempts must be at least 1")
    units = settings.mean_units, settings.max_units
    if not finite(*units) or not all(units):
        raise ValueError("mean_units and max_units must be above 0")
