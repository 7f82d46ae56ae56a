"""Requests, attempts and answers, as frontends, the request lifecycle and the transport share them.

Plain records and the protocols between them: nothing is decided here. All times are whole microseconds of the
lifecycle's clock.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, Protocol

from umberlead.common.timer_wheel import Timer
from umberlead.scheduling.events import AttemptResult, EndpointList, Outcome, Request

# Results that prove that an attempt never ran.
RESULTS_WITHOUT_EFFECT = (AttemptResult.REJECTED, AttemptResult.CONNECT_FAILED, AttemptResult.NOT_SENT)


class AnswerKind(Enum):
    """What a final answer tells its client."""

    SERVED = "served"
    REJECTED = "refused"  # a retry is harmless
    FAILED = "failed"


@dataclass(slots=True)
class IncomingRequest:
    """A request as a frontend received it.

    Attributes:
        class_name: its class, by the name in the settings.
        plan: its volume's plan, by the name in the settings.
        volume: the volume that it belongs to.
        key: the piece of data; None where it names none.
        shard: the shard that holds the data; -1 for a new object.
        units: its size.
        deadline_us: when its client gives up.
        payload: for the transport alone.
        volume_front_count: through how many fronts its volume works.
        is_client_retry: whether its client marked it as a retry.
        call_id: the client's own name for it; one request at a time may bear it.
        accepts_stream: whether the frontend can forward a long answer as it comes.
        client_has_left: looks whether its client has left; the frontend acts on it at once.
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

    def to_event(self, request_id: str) -> Request:
        """Return the scheduler's event for it."""
        return Request(
            request_id,
            self.key,
            self.volume,
            self.deadline_us,
            self.shard,
            self.units,
            self.class_name,
            self.plan,
            self.volume_front_count,
            self.is_client_retry,
        )


@dataclass(slots=True)
class Reply:
    """What the transport brought back for one attempt.

    Attributes:
        status: the transport's own status of it.
        body: the body, or its first bytes.
        load_report: the endpoint's figures.
        used_rate_percent: 1 + percent of the plan's rate served for the volume in an earlier period; 0:
        unknown. units_elsewhere: units served there for the volume through other fronts.
        stream: the transport's own, where more of the body comes; the frontend calls
            `RequestLifecycle.stream_ended` at its end.
        body_length: of the complete body in bytes, where that is known.
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
        reply: of the endpoint that served it.
        retry_after_us: when to come back; 0 gives no advice.
        may_have_run: whether the request may have taken effect.
        reason: why it was rejected, for the client and the log.
    """

    kind: AnswerKind
    reply: Reply | None = None
    retry_after_us: int = 0
    may_have_run: bool = False
    reason: str = ""


@dataclass(slots=True, eq=False)
class InFlightRequest:
    """An open request, from its acceptance to its answer and the end of its last attempt.

    Attributes:
        request: as the frontend received it.
        on_answer: is called once, with the answer.
        slot: its place among the open requests.
        id: its name between the lifecycle and the scheduler.
        attempt_count: attempts begun.
        attempt: the attempt in flight.
        may_have_run: whether an attempt may have run.
        last_result: how its latest attempt ended.
        answered: whether nothing is owed any longer.
        annotations: what plug-ins noted.
        abandoned: its client left, and its frontend keeps account of what ran: no further attempt.
        client_left_us: when its client was seen to have left; 0 while it waits.
        accepted_us: when it was accepted.
        timer: its deadline's.
    """

    incoming: IncomingRequest
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
    """One attempt of a request at an endpoint.

    Attributes:
        request: the request.
        number: from 0.
        endpoint: where it is sent.
        started_us: when it was begun.
        deadline_us: until when it may take.
        must_not_repeat: whether it can't be attempted again once it may have run.
        reconnected: its connection broke before it was written, and another was tried.
        misdirected: the endpoint had no use for it, now or later.
        transport_state: the transport's own.
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

    def to_outcome(self, result: AttemptResult, elapsed_us: int, reply: Reply) -> Outcome:
        """Return the scheduler's event for its end."""
        return Outcome(
            self.request.id,
            self.endpoint,
            self.number,
            result,
            elapsed_us,
            self.request.answered,
            reply.load_report,
            reply.used_rate_percent,
            reply.units_elsewhere,
            self.misdirected,
        )


class Transport(Protocol):
    """Carries attempts to endpoints."""

    def start(self, attempt: Attempt) -> None:
        """Send it; `RequestLifecycle.attempt_ended` is owed once."""

    def stop(self, attempt: Attempt, why: AttemptResult) -> None:
        """Give it up; `RequestLifecycle.attempt_ended` is owed all the same."""

    def cancel_if_unsent(self, attempt: Attempt) -> bool:
        """Keep an attempt that nobody waits for from being sent.

        Unless all of it is on its way to the endpoint it ends as NOT_SENT, and that is True.
        """


@dataclass(frozen=True, slots=True)
class Rejection:
    """A request is rejected as it comes.

    Attributes:
        reason: for the client and the log.
        retry_after_us: when to come back; 0 gives no advice.
    """

    reason: str
    retry_after_us: int = 0


class RequestHooks(Protocol):
    """Sees requests, outcomes and answers."""

    def on_request(self, request: InFlightRequest) -> "str | Rejection | None":
        """Return a reason to reject it, or None."""

    def on_outcome(
        self, request: InFlightRequest, endpoint: str, result: AttemptResult, elapsed_us: int
    ) -> None:
        """Take note of an attempt's end."""

    def on_answer(self, request: InFlightRequest, answer: Answer) -> None:
        """Take note of the final answer."""


class DecisionObserver(Protocol):
    """Sees more than hooks do, and may change what the scheduler is told of the endpoint list."""

    def on_endpoint_list(self, endpoint_list: EndpointList) -> EndpointList:
        """Return the list that the scheduler gets in its place."""

    def on_attempt(self, request: InFlightRequest, endpoint: str) -> None:
        """Take note of an attempt that begins."""
