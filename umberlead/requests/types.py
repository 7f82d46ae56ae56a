"""Requests, attempts and answers as the engine, the fronts and the carriers of attempts share them.

Plain records and the protocols between them: nothing is decided here. All times are whole microseconds of the
engine's clock.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, Protocol

from umberlead.common.timer_wheel import Timer
from umberlead.scheduling import interface as api
from umberlead.scheduling.interface import Result

NEVER_RAN = (Result.FULL, Result.NO_LINK, Result.MOOT)  # outcomes that prove that nothing ran


class DuplicateRequestError(ValueError):
    """The name of a request that is open, or was a moment ago."""


class Kind(Enum):
    """What a final answer tells its client."""

    SERVED = "served"
    REFUSED = "refused"  # trying again is harmless
    FAILED = "failed"


@dataclass(slots=True)
class IncomingRequest:
    """A request as a front took it.

    Attributes:
        class_name: its class, by the name in the settings.
        plan: its volume's plan, by the name in the settings.
        volume: the volume that it belongs to.
        key: the piece of data; None where it names none.
        shard: the shard that holds the data; -1 for a new object.
        units: its size.
        give_up: when its client stops waiting.
        payload: for the carrier alone.
        writers: through how many fronts its volume works.
        repeat: whether the client marked it as a further try.
        name: the client's own name for it; one request at a time may bear it.
        streams: whether the front can pass on a long answer as it comes.
        left: looks whether its client has left; the front acts on it at once.
    """

    class_name: str
    plan: str
    volume: str
    key: str | None
    shard: int
    units: float
    give_up: int
    payload: Any
    writers: int = 1
    repeat: bool = False
    name: bytes = b""
    streams: bool = False
    left: Callable[[], bool] | None = None


@dataclass(slots=True)
class Reply:
    """What a carrier brought back for one attempt.

    Attributes:
        status: the carrier's own status of it.
        body: the body, or its first bytes.
        load: the chunk server's load report.
        used: 1 + percent of the plan's rate served for the volume in a past period; 0 where not told.
        elsewhere: units served there for the volume through other fronts.
        rest: the carrier's own, where more of the body comes; the front calls `Engine.relayed` at its end.
        length: of the whole body, where that is known.
    """

    status: int = 0
    body: bytes = b""
    load: dict[str, float] = field(default_factory=dict)
    used: int = 0
    elsewhere: int = 0
    rest: Any = None
    length: int | None = None


@dataclass(slots=True)
class Answer:
    """The final answer to a request.

    Attributes:
        kind: what it tells the client.
        reply: of the chunk server that served it.
        retry_after: when to come back, in microseconds; 0 gives no advice.
        may_have_run: whether the request may have taken effect.
        reason: why it was refused, for the client and the log.
    """

    kind: Kind
    reply: Reply | None = None
    retry_after: int = 0
    may_have_run: bool = False
    reason: str = ""


@dataclass(slots=True, eq=False)
class InFlightRequest:
    """A request in its slot, from `Engine.take` to its answer and the end of its last attempt.

    Attributes:
        ask: the request as the front took it.
        done: is called once, with the answer.
        slot: its place among the engine's open requests.
        id: its name between the engine and the module.
        tries: attempts begun.
        out: the attempt that is out.
        may_have_run: whether an attempt may have run.
        last_result: how its latest attempt ended.
        answered: whether nothing is owed any longer.
        notes: what plug-ins noted.
        forsaken: its client left, and its front keeps account of what ran: no further attempt.
        left_at: when its client was seen to have left; 0 while it waits.
        taken: when it was taken.
        timer: its deadline's.
    """

    ask: IncomingRequest
    done: Callable[[Answer], None]
    slot: int = -1
    id: str = ""
    tries: int = 0
    out: "Attempt | None" = None
    may_have_run: bool = False
    last_result: Result | None = None
    answered: bool = False
    notes: dict[str, str] = field(default_factory=dict)
    forsaken: bool = False
    left_at: int = 0
    taken: int = 0
    timer: Timer | None = None


@dataclass(slots=True, eq=False)
class Attempt:
    """One sending of a request to a node.

    Attributes:
        ticket: the request.
        number: from 0.
        node: where it goes.
        sent: when it was begun.
        give_up: until when it may take.
        once: in doubt whether it ran, it can't be sent again.
        again: its connection broke before it was written, and another was tried.
        astray: the node had no use for it, now or later.
        carried: the carrier's own.
    """

    ticket: InFlightRequest
    number: int
    node: str
    sent: int
    give_up: int
    once: bool = False
    again: bool = False
    astray: bool = False
    carried: Any = None


class Carrier(Protocol):
    """Carries attempts to nodes."""

    def start(self, attempt: Attempt) -> None:
        """Send it; `Engine.ended` is owed once."""

    def stop(self, attempt: Attempt, why: Result) -> None:
        """Give it up; `Engine.ended` is owed all the same."""

    def unwanted(self, attempt: Attempt) -> bool:
        """Keep an attempt that nobody waits for from being sent.

        Unless it is all on its way to the node it ends as `moot`, and that is True.
        """


@dataclass(frozen=True, slots=True)
class Refused:
    """A refusal at once, with when to come back in microseconds."""

    reason: str
    retry_after: int = 0


class Hooks(Protocol):
    """Who sees requests, outcomes and answers."""

    def taken(self, ticket: InFlightRequest) -> "str | Refused | None":
        """Return a reason to refuse it, or None."""

    def outcome(self, ticket: InFlightRequest, node: str, result: Result, elapsed: int) -> None:
        """Take note of an attempt's end."""

    def answer(self, ticket: InFlightRequest, answer: Answer) -> None:
        """Take note of the final answer."""


class Watcher(Protocol):
    """Who is told of more than hooks are, and may change what the module is told of the list."""

    def listed(self, news: api.NodeList) -> api.NodeList:
        """Return what the module is told in place of `news`."""

    def sent(self, ticket: InFlightRequest, node: str) -> None:
        """Take note of an attempt that begins."""
