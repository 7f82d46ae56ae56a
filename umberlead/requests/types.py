"""Requests, attempts and answers as the engine, the fronts and the carriers of attempts share them.

Plain records and the protocols between them: nothing is decided here. All times are whole microseconds of the
engine's clock.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, Protocol

from umberlead.common.timer_wheel import Timer
from umberlead.scheduling.events import AttemptResult, EndpointList

RESULTS_WITHOUT_EFFECT = (
    AttemptResult.REJECTED,
    AttemptResult.CONNECT_FAILED,
    AttemptResult.NOT_SENT,
)  # outcomes that prove that nothing ran


class DuplicateRequestError(ValueError):
    """The name of a request that is open, or was a moment ago."""


class AnswerKind(Enum):
    """What a final answer tells its client."""

    SERVED = "served"
    REJECTED = "refused"  # trying again is harmless
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
    deadline_us: int
    payload: Any
    volume_front_count: int = 1
    is_client_retry: bool = False
    call_id: bytes = b""
    accepts_stream: bool = False
    client_has_left: Callable[[], bool] | None = None


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
    load_report: dict[str, float] = field(default_factory=dict)
    used_rate_percent: int = 0
    units_elsewhere: int = 0
    stream: Any = None
    body_length: int | None = None


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

    kind: AnswerKind
    reply: Reply | None = None
    retry_after_us: int = 0
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

    request: IncomingRequest
    on_answer: Callable[[Answer], None]
    slot: int = -1
    id: str = ""
    attempt_count: int = 0
    attempt: "Attempt | None" = None
    may_have_run: bool = False
    last_result: AttemptResult | None = None
    answered: bool = False
    annotations: dict[str, str] = field(default_factory=dict)
    abandoned: bool = False
    client_left_us: int = 0
    accepted_us: int = 0
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

    request: InFlightRequest
    number: int
    endpoint: str
    started_us: int
    deadline_us: int
    must_not_repeat: bool = False
    reconnected: bool = False
    misdirected: bool = False
    transport_state: Any = None


class Transport(Protocol):
    """Carries attempts to nodes."""

    def start(self, attempt: Attempt) -> None:
        """Send it; `Engine.ended` is owed once."""

    def stop(self, attempt: Attempt, why: AttemptResult) -> None:
        """Give it up; `Engine.ended` is owed all the same."""

    def cancel_if_unsent(self, attempt: Attempt) -> bool:
        """Keep an attempt that nobody waits for from being sent.

        Unless it is all on its way to the node it ends as `moot`, and that is True.
        """


@dataclass(frozen=True, slots=True)
class Rejection:
    """A refusal at once, with when to come back in microseconds."""

    reason: str
    retry_after_us: int = 0


class RequestHooks(Protocol):
    """Who sees requests, outcomes and answers."""

    def on_request(self, ticket: InFlightRequest) -> "str | Rejection | None":
        """Return a reason to refuse it, or None."""

    def on_outcome(self, ticket: InFlightRequest, node: str, result: AttemptResult, elapsed: int) -> None:
        """Take note of an attempt's end."""

    def on_answer(self, ticket: InFlightRequest, answer: Answer) -> None:
        """Take note of the final answer."""


class DecisionObserver(Protocol):
    """Who is told of more than hooks are, and may change what the module is told of the list."""

    def on_endpoint_list(self, news: EndpointList) -> EndpointList:
        """Return what the module is told in place of `news`."""

    def on_attempt(self, ticket: InFlightRequest, node: str) -> None:
        """Take note of an attempt that begins."""
