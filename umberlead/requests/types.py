"""Requests, attempts and answers, which frontends, the request lifecycle and the transport share.

Plain records, and the protocols between these parts; no decisions. All times are whole microseconds of the
lifecycle's clock.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, Protocol

from umberlead.common.timer_wheel import Timer
from umberlead.scheduling.events import AttemptResult, EndpointList, Outcome, Request
from umberlead.scheduling.token_bucket import NEVER

# Results that prove that an attempt never ran.
RESULTS_WITHOUT_EFFECT = (AttemptResult.REJECTED, AttemptResult.CONNECT_FAILED, AttemptResult.NOT_SENT)


class AnswerKind(Enum):
    """The kinds of final answers."""

    SERVED = "served"
    REJECTED = "refused"  # a retry is harmless
    FAILED = "failed"


@dataclass(slots=True)
class IncomingRequest:
    """A request as a frontend received it.

    Attributes:
        class_name: the name of its request class in the settings.
        plan: the name of its volume's plan in the settings.
        volume: the volume that it belongs to.
        key: the data that it reads or writes; None if it names none.
        shard: the shard that holds the data; -1 for a new object.
        units: its size in units of work.
        deadline_us: when its client gives up.
        payload: content for the transport only.
        volume_front_count: the number of fronts that serve its volume.
        is_client_retry: whether its client marked it as a retry.
        call_id: the id that its client gave it; only one request at a time may have it.
        accepts_stream: whether the frontend can forward a long answer while it is being received.
        check_disconnect: checks whether its client has disconnected; the frontend handles that at once.
        waits_for_response: whether a response that has begun is awaited past the deadline, until the frontend
            reports that its client disconnected.
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
    check_disconnect: Callable[[], bool] | None = None
    waits_for_response: bool = False

    def to_event(self, request_id: str) -> Request:
        """Return the scheduler's event for this request."""
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
    """An endpoint's reply to one attempt.

    Attributes:
        status: the status of the reply, as the transport defines it.
        body: the body, or its first bytes if there is a `stream`.
        load_report: the values of the endpoint's load report, by name.
        used_rate_percent: 1 + percent of the plan's rate served for the volume in an earlier period; 0:
            unknown.
        units_elsewhere: units that the endpoint served for the volume through other fronts.
        stream: the transport's object from which the rest of the body is read; None without one. The frontend
            calls `AnswerCounts.record_streamed_answer` at its end.
        body_length: the length of the complete body in bytes; None if unknown.
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
        kind: whether the request was served, rejected or failed.
        reply: the reply of the endpoint that served it.
        retry_after_us: the delay after which the client should retry; 0 gives no advice.
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
        incoming: the request as the frontend received it.
        on_answer: called once, with the answer.
        slot: its index in the table of open requests.
        id: the id that the lifecycle and the scheduler use for it.
        attempt_count: the number of attempts begun.
        attempt: the attempt in flight, if any.
        may_have_run: whether an attempt may have run.
        may_have_run_since_us: when the first attempt that may have run began; 0 without one.
        last_result: the result of its latest attempt.
        answered: whether no answer is owed any longer.
        annotations: the annotations of plug-ins, by name.
        abandoned: whether its client disconnected while its frontend needs to know what ran; no further
            attempt is begun.
        client_disconnected_us: when its client was found to have disconnected; 0 before that.
        accepted_us: when it was accepted.
        timer: the timer of its deadline.
    """

    incoming: IncomingRequest
    on_answer: Callable[[Answer], None]
    slot: int = -1
    id: str = ""
    attempt_count: int = 0
    attempt: "Attempt | None" = None
    may_have_run: bool = False
    may_have_run_since_us: int = 0
    last_result: AttemptResult | None = None
    answered: bool = False
    annotations: dict[str, str] = field(default_factory=dict)
    abandoned: bool = False
    client_disconnected_us: int = 0
    accepted_us: int = 0
    timer: Timer | None = None


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request at an endpoint.

    Attributes:
        request: the request.
        number: the number of the attempt, from 0.
        endpoint: the name of the endpoint that it is sent to.
        started_us: when it began.
        deadline_us: when it times out.
        write_until_us: when the last byte of it must be written; NEVER without a limit of its own.
        write_delayed: whether its last byte waits for a connection, or for its endpoint to read.
        must_not_repeat: whether the request can't be attempted again once this attempt may have run.
        reconnected: whether its connection broke before the request was written, and another was opened.
        misdirected: whether the endpoint rejected it for a reason that a retry there would not change.
        transport_state: the transport's state of the attempt.
        response_received_us: when the latest bytes of its response were received; 0 before the first.
        outlasts_deadline: whether it goes on past its deadline, as its request waits for the response.
    """

    request: InFlightRequest
    number: int
    endpoint: str
    started_us: int
    deadline_us: int
    write_until_us: float = NEVER
    must_not_repeat: bool = False
    write_delayed: bool = False
    reconnected: bool = False
    misdirected: bool = False
    transport_state: Any = None
    response_received_us: int = 0
    outlasts_deadline: bool = False

    def to_outcome(self, result: AttemptResult, elapsed_us: int, reply: Reply) -> Outcome:
        """Return the scheduler's event for the end of this attempt."""
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
    """Sends attempts to endpoints and reports their outcomes."""

    def start(self, attempt: Attempt) -> None:
        """Send an attempt, and call `RequestLifecycle.attempt_ended` once at its end."""

    def stop(self, attempt: Attempt, result: AttemptResult) -> None:
        """Stop an attempt with `result`; `RequestLifecycle.attempt_ended` must still be called."""

    def cancel_if_unsent(self, attempt: Attempt) -> bool:
        """Cancel an attempt whose result is no longer needed, unless the whole request was already written.

        Returns:
            True if it was cancelled: it ends as NOT_SENT. False if the whole request is on its way to the
            endpoint.
        """


@dataclass(frozen=True, slots=True)
class Rejection:
    """A request is rejected at once, before the scheduler gets it.

    Attributes:
        reason: the text for the client and the log.
        retry_after_us: the delay after which the client should retry; 0 gives no advice.
    """

    reason: str
    retry_after_us: int = 0


class RequestHooks(Protocol):
    """Callbacks for requests, outcomes and answers."""

    def on_request(self, request: InFlightRequest) -> "str | Rejection | None":
        """Return a reason to reject a new request, or None to accept it."""

    def on_outcome(
        self, request: InFlightRequest, endpoint: str, result: AttemptResult, elapsed_us: int
    ) -> None:
        """Handle the end of an attempt."""

    def on_answer(self, request: InFlightRequest, answer: Answer) -> None:
        """Handle the final answer to a request."""


class DecisionObserver(Protocol):
    """Callbacks for endpoint lists and attempts; may change the endpoint lists that the scheduler gets."""

    def on_endpoint_list(self, endpoint_list: EndpointList) -> EndpointList:
        """Return the list that the scheduler gets instead of `endpoint_list`."""

    def on_attempt(self, request: InFlightRequest, endpoint: str) -> None:
        """Handle an attempt that begins."""
