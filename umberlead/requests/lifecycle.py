"""The life of a request: accepted from a frontend, scheduled, attempted, and answered once.

A frontend passes in an `IncomingRequest` and gets its `Answer` in exactly one callback. The scheduler's
actions are carried out as they are returned, but an attempt that the rules of `send_guard.py` forbid is not
sent. No wire protocol is known here.
"""

from collections.abc import Callable
from typing import Any

from umberlead.common.counters import Counters
from umberlead.common.timer_wheel import TimerWheel
from umberlead.requests.answer_counts import AnswerCounts
from umberlead.requests.decision_loop import DecisionLoop, RequestAction
from umberlead.requests.errors import (
    CallIdUndecidedError,
    DuplicateRequestError,
    SecondOutcomeError,
    UnknownClassOrPlanError,
)
from umberlead.requests.invariants import InvariantChecker
from umberlead.requests.open_requests import OpenRequests
from umberlead.requests.request_log import RequestLog
from umberlead.requests.send_guard import Denial, SendGuard
from umberlead.requests.types import (
    RESULTS_WITHOUT_EFFECT,
    Answer,
    AnswerKind,
    Attempt,
    DecisionObserver,
    IncomingRequest,
    InFlightRequest,
    Rejection,
    Reply,
    RequestHooks,
    Transport,
)
from umberlead.scheduling.actions import Cancel, Fail, Reject, Send
from umberlead.scheduling.events import (
    AttemptResult,
    ClientDisconnected,
    DelayedWriteEnded,
    EndpointList,
    ManualDrain,
    OpenRequestLimit,
    Outcome,
    ProcessShare,
    WriteDelayed,
)
from umberlead.scheduling.scheduler import Scheduler
from umberlead.scheduling.settings import Repeatability, Settings

DECISION_GRACE_US = 10_000  # time after its deadline at which a request that has no decision is answered


class RequestLifecycle:
    """Owns the open requests, from their acceptance to their one final answer.

    Attributes:
        settings: the scheduler's settings.
        classes: the request classes by name.
        scheduler: decides when and to which endpoint each request is sent.
        open_requests: requests that are not answered or have an attempt in flight.
        transport: sends attempts to endpoints; set before the first request.
        hooks: called with requests, outcomes and answers.
        decision_observer: called with endpoint lists and attempts; may change the lists.
        decision_loop: passes events to the scheduler.
        log_lines: logs attempts, and requests that are not served.
        answer_counts: how many requests are unanswered, and answers by kind and class.
        stopping: whether the process is shutting down, so that new requests are rejected.
        guard: checks each attempt before it is sent.
        invariants: run-time checks.
    """

    def __init__(
        self,
        settings: Settings,
        seed: int,
        clock: Callable[[], int],
        wheel: TimerWheel,
        soon: Callable[[Callable[[], None]], Any],
        counters: Counters,
        log: Callable[..., None],
        hooks: RequestHooks | None = None,
    ) -> None:
        """Start without requests.

        Args:
            settings: the scheduler's settings, which the scheduler validates.
            seed: the seed of the scheduler's random choices.
            clock: returns microseconds and never goes back.
            wheel: holds the timers of deadlines.
            soon: calls a function in the next turn of the event loop.
            counters: the counters of the process.
            log: logs an event by its name and its fields.
            hooks: called with requests, outcomes and answers.
        """
        self.settings = settings
        self.clock = clock
        self.wheel = wheel
        self.counters = counters
        self.log = log
        self.hooks = hooks
        self.call_soon = soon
        self.classes = {cls.name: cls for cls in settings.classes}
        self.plans = {plan.name for plan in settings.plans}
        self._rate_limited_plans = {plan.name for plan in settings.plans if plan.limit_units_per_second}
        self.scheduler = Scheduler(settings, seed, clock())
        self.open_requests = OpenRequests(clock)
        self.transport: Transport | None = None
        self.decision_observer: DecisionObserver | None = None
        self.log_lines = RequestLog(clock)
        self.stopping = False
        self.answer_counts = AnswerCounts(self.classes)
        self.guard = SendGuard(
            self.classes, settings.max_attempts, clock, self.accepts_new_requests, self.is_client_connected
        )
        self.invariants = InvariantChecker(settings, clock, counters, log)
        self.decision_loop = DecisionLoop(
            self.scheduler, self.open_requests, self._carry_out, clock, wheel, soon, counters, log
        )
        self._post = self.decision_loop.post

    # From the frontends

    def accept(self, incoming: IncomingRequest, on_answer: Callable[[Answer], None]) -> InFlightRequest:
        """Accept a request, for which `on_answer` is called once, possibly within this call.

        Raises:
            UnknownClassOrPlanError: the settings do not define its class or plan.
            DuplicateRequestError: another request that is open or recent has its call id.
            CallIdUndecidedError: it can't be told now whether another process has its call id.
        """
        if incoming.class_name not in self.classes or incoming.plan not in self.plans:
            raise UnknownClassOrPlanError(f"unknown class or plan: {incoming.class_name}, {incoming.plan}")
        try:
            request = self.open_requests.add(incoming, on_answer, self._is_idempotent(incoming))
        except DuplicateRequestError:
            self.counters.add("requests_duplicate")
            raise
        except CallIdUndecidedError:
            self.counters.add("requests_call_id_undecided")
            raise
        self.counters.add("requests_taken")
        self.answer_counts.record_accepted()
        rejection = self._rejection_of(request)
        if rejection is not None:
            answer = Answer(
                AnswerKind.REJECTED, retry_after_us=rejection.retry_after_us, reason=rejection.reason
            )
            self._answer(request, answer)
            return request
        request.timer = self.wheel.call_at(incoming.deadline_us, self._on_deadline, request)
        self._post(incoming.to_event(request.id))
        return request

    def _rejection_of(self, request: InFlightRequest) -> Rejection | None:
        """Return why a new request is rejected at once, or None if it is passed to the scheduler."""
        reason = self.hooks.on_request(request) if self.hooks else None
        if self.stopping:
            reason = "the front stops"
        if reason is None and request.incoming.deadline_us > self.clock():
            return None
        return reason if isinstance(reason, Rejection) else Rejection(reason or "no time left")

    def on_client_disconnected(self, request: InFlightRequest) -> None:
        """Record that a request's client disconnected, so that no answer is owed.

        An attempt in flight continues: a cancel would not stop the endpoint's work, and the scheduler learns
        from the outcome. An attempt that still waits for its connection is not sent.
        """
        if request.answered:
            return
        request.answered = True
        request.client_disconnected_us = request.client_disconnected_us or self.clock()
        self.answer_counts.record_disconnected()
        self.counters.add("clients_gone")
        attempt = request.attempt
        if attempt is not None and self.transport is not None:
            if attempt.outlasts_deadline:
                self.transport.stop(attempt, AttemptResult.TIMEOUT)
            else:
                self.transport.cancel_if_unsent(attempt)
        self._post(ClientDisconnected(request.id))
        self._release(request)

    def is_client_connected(self, request: InFlightRequest) -> bool:
        """Check whether a request's client is connected at this moment, and handle its disconnect if not.

        Where a front is busy or was paused, the event loop reports the disconnect only after the turn in
        which an attempt begins.
        """
        if request.answered or request.abandoned:
            return False
        check_disconnect = request.incoming.check_disconnect
        if check_disconnect is None or not check_disconnect():
            return True
        if not request.abandoned:  # by the frontend, within `check_disconnect`
            self.on_client_disconnected(request)
        return False

    def abandon(self, request: InFlightRequest) -> None:
        """Begin no further attempt: the client disconnected, but the frontend needs to know what ran.

        The request is answered as soon as an attempt in flight has its outcome.
        """
        if request.answered or request.abandoned:
            return
        request.abandoned = True
        request.client_disconnected_us = request.client_disconnected_us or self.clock()
        self.counters.add("clients_gone")
        if request.attempt is None:
            self._answer_abandoned(request)
            self._post(ClientDisconnected(request.id))
        elif self.transport is not None:
            self.transport.cancel_if_unsent(request.attempt)

    def _answer_abandoned(self, request: InFlightRequest) -> None:
        kind = AnswerKind.REJECTED if self.guard.may_repeat(request) else AnswerKind.FAILED
        self._answer(request, Answer(kind, None, 0, request.may_have_run, "its client left"))

    # From endpoint lists, operators and limits

    def apply_endpoint_list(self, endpoint_list: EndpointList) -> None:
        """Pass an endpoint list to the scheduler, as the decision observer changed it if there is one."""
        self.invariants.record_endpoint_list(endpoint_list)
        if self.decision_observer is not None:
            endpoint_list = self.decision_observer.on_endpoint_list(endpoint_list)
        self._post(endpoint_list)

    def notify_scheduler(self, endpoint_list: EndpointList) -> None:
        """Pass an endpoint list that comes from the decision observer to the scheduler, unchanged."""
        self._post(endpoint_list)

    def set_manual_drain(self, endpoint: str, drained: bool, at_us: int) -> None:
        """Drain an endpoint for an operator as of `at_us`, or end its drain."""
        self.invariants.record_manual_drain(endpoint, drained)
        self._post(ManualDrain(endpoint, drained, at_us))

    def set_process_share(self, share: float) -> None:
        """Set the share, at most 1, that this process has in its front's part of the volumes' limits."""
        self._post(ProcessShare(share))

    def set_open_limit(self, max_requests: int) -> None:
        """Limit the number of open requests, beyond which the lowest priority is rejected; 0: no limit."""
        self._post(OpenRequestLimit(max_requests))

    def reject(self, request: InFlightRequest, reason: str, retry_after_us: int) -> None:
        """Reject an open request without an attempt in flight before its latency objective has passed."""
        self._answer(request, Answer(AnswerKind.REJECTED, None, retry_after_us, request.may_have_run, reason))
        self._post(ClientDisconnected(request.id))

    def is_idempotent(self, request: InFlightRequest) -> bool:
        """Return whether a request's class may be repeated even after an attempt has run."""
        return self._is_idempotent(request.incoming)

    def _is_idempotent(self, incoming: IncomingRequest) -> bool:
        return self.classes[incoming.class_name].repeatability is Repeatability.IDEMPOTENT

    def accepts_new_requests(self, endpoint: str) -> bool:
        """Return whether the current endpoint list and operators let an endpoint get new requests."""
        return self.scheduler.directory.accepts_new_requests(endpoint)

    def endpoint_counts(self) -> tuple[int, int]:
        """Return the number of listed endpoints, and of those that are manually drained or ejected."""
        directory = self.scheduler.directory
        return len(directory.endpoints), directory.unavailable_count(self.scheduler.now_us)

    def knows_endpoint(self, endpoint: str) -> bool:
        """Return whether an endpoint is listed or manually drained."""
        return self.scheduler.directory.knows(endpoint)

    # From the transport

    def delayed_write_ended(self, attempt: Attempt) -> None:
        """Record that the last byte of an attempt is written, whose `write_delayed` was set."""
        attempt.write_delayed = False
        if self._has_rate_limit(attempt.request):
            self._post(DelayedWriteEnded(attempt.request.id, attempt.number))

    def attempt_ended(self, attempt: Attempt, result: AttemptResult, reply: Reply | None = None) -> None:
        """Process the outcome of an attempt, which the transport reports once.

        Raises:
            SecondOutcomeError: the attempt already had an outcome.
        """
        request = attempt.request
        reply = reply or Reply()
        if request.attempt is not attempt:
            raise SecondOutcomeError(f"second outcome for attempt {attempt.number} of {request.id}")
        request.attempt = None
        request.last_result = result
        self.invariants.record_outcome(attempt, result)
        if result not in RESULTS_WITHOUT_EFFECT and not request.may_have_run:
            request.may_have_run = True
            request.may_have_run_since_us = attempt.started_us
        self.counters.add(f"attempts_{result.value}")
        elapsed_us = max(self.clock() - attempt.started_us, 0)
        if self.hooks:
            self.hooks.on_outcome(request, attempt.endpoint, result, elapsed_us)
        if result is AttemptResult.OK and not request.answered:
            self._answer(request, Answer(AnswerKind.SERVED, reply, may_have_run=True))
        elif request.abandoned and not request.answered:
            self._answer_abandoned(request)
        self._post(attempt.to_outcome(result, elapsed_us, reply))
        self._release(request)

    # From the scheduler

    def _carry_out(self, request: InFlightRequest, action: RequestAction) -> None:
        if isinstance(action, Send):
            self._send(request, action.endpoint)
        elif isinstance(action, Cancel):
            self._cancel(request, action.attempt)
        elif not request.answered:
            self._reject_or_fail(request, action)

    def _cancel(self, request: InFlightRequest, attempt_number: int) -> None:
        attempt = request.attempt
        if attempt is not None and attempt.number == attempt_number and self.transport:
            self.transport.stop(attempt, AttemptResult.CANCELLED)

    def _reject_or_fail(self, request: InFlightRequest, action: Reject | Fail) -> None:
        """Answer a request that the scheduler rejects or fails.

        A rejection invites the client to retry, so it is a failure where a repeat would do harm.
        """
        is_rejection = isinstance(action, Reject) and self.guard.may_repeat(request)
        kind = AnswerKind.REJECTED if is_rejection else AnswerKind.FAILED
        retry_after_us = action.retry_after_us if isinstance(action, Reject) else 0
        if action.reason is not None:
            self.counters.add(f"requests_{kind.value}_{action.reason.value}")
        reason = action.reason.value if action.reason is not None else ""
        self._answer(request, Answer(kind, None, retry_after_us, request.may_have_run), reason)
        self._release(request)

    def _send(self, request: InFlightRequest, endpoint: str) -> None:
        number = request.attempt_count
        now_us = self.clock()
        denial = Denial.STOPPING if self.transport is None else self.guard.may_begin(request)
        request.attempt_count += 1
        if denial is not None or self.transport is None:
            self.counters.add("attempts_barred")
            self.counters.add(f"attempts_barred_{denial.value if denial else 'stopping'}")
            self._post(Outcome(request.id, endpoint, number, AttemptResult.NOT_SENT, 0, request.answered))
            return
        is_last = request.attempt_count >= self.settings.max_attempts
        must_not_repeat = is_last or not self.is_idempotent(request)
        attempt = Attempt(
            request,
            number,
            endpoint,
            now_us,
            request.incoming.deadline_us,
            self.guard.repeat_until_us(request),
            must_not_repeat,
        )
        request.attempt = attempt
        self.counters.add("attempts_sent")
        if number and request.last_result is not None:
            self.counters.add(f"attempts_repeated_after_{request.last_result.value}")
        self.log_lines.attempt_begun(request, number, endpoint)
        if self.decision_observer is not None:
            self.decision_observer.on_attempt(request, endpoint)
        self.transport.start(attempt)
        if attempt.write_delayed and self._has_rate_limit(request):
            self._post(WriteDelayed(request.id, number))

    def _has_rate_limit(self, request: InFlightRequest) -> bool:
        return request.incoming.plan in self._rate_limited_plans

    # Deadlines, answers and shutdown

    def shut_down(self) -> None:
        """Shut down: answer all open requests by what is known of them, and reject new ones."""
        self.stopping = True
        for request in self.open_requests:
            self._answer_undecided(request)

    def _on_deadline(self, request: InFlightRequest) -> None:
        """Stop the attempt in flight at the request's deadline, even if the client has disconnected.

        A request that is still unanswered is answered after a grace period for the scheduler's decision.
        """
        request.timer = None
        if request.attempt is not None and self.transport:
            self.transport.stop(request.attempt, AttemptResult.TIMEOUT)
        if not request.answered:
            self.wheel.call_after(DECISION_GRACE_US, self._answer_overdue, request)

    def _answer_overdue(self, request: InFlightRequest) -> None:
        if request.attempt is None or not request.attempt.outlasts_deadline:
            self._answer_undecided(request)

    def _answer_undecided(self, request: InFlightRequest) -> None:
        """Answer a request that the scheduler has left open: each accepted request is owed one answer."""
        if request.answered:
            return
        self.counters.add("answered_for_module")
        attempt = request.attempt
        unsent = attempt is None or (self.transport is not None and self.transport.cancel_if_unsent(attempt))
        kind = AnswerKind.REJECTED if unsent and self.guard.may_repeat(request) else AnswerKind.FAILED
        self._answer(request, Answer(kind, may_have_run=request.may_have_run or not unsent))
        self._post(ClientDisconnected(request.id))
        self._release(request)

    def _answer(self, request: InFlightRequest, answer: Answer, end_reason: str = "") -> None:
        """Give the one answer of a request; `end_reason` is for the log alone."""
        self.invariants.record_answer(request)
        request.answered = True
        if answer.reply is None or answer.reply.stream is None:
            self.answer_counts.record_answer(answer.kind, request.incoming.class_name)
        self.counters.add(f"requests_{answer.kind.value}")
        if answer.kind is not AnswerKind.SERVED:
            self.log_lines.not_served(request, answer, end_reason or answer.reason)
        if self.hooks:
            self.hooks.on_answer(request, answer)
        request.on_answer(answer)
        self._release(request)

    def _release(self, request: InFlightRequest) -> None:
        if not request.answered or request.attempt is not None or not self.open_requests.is_open(request):
            return
        if request.timer is not None:
            request.timer.cancel()
        self.open_requests.remove(request)
        self.invariants.forget_request(request)
