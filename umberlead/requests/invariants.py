"""Run-time checks of invariants that hold whatever the scheduler decides.

Violations are counted by name and logged. The checks keep records of their own, made where bytes are written
and connections are closed, and share no state with the guards that they check: a guard that is bypassed or
wrong shows as a violation. All times are whole microseconds of one monotonic clock.
"""

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from umberlead.common.counters import Counters
from umberlead.requests.types import RESULTS_WITHOUT_EFFECT, Attempt, InFlightRequest
from umberlead.scheduling.events import AttemptResult, Endpoint, EndpointList, EndpointStatus
from umberlead.scheduling.settings import Repeatability, RequestClass, Settings
from umberlead.scheduling.slow_start import capacity_growth_factor

CLIENT_LEFT_GRACE_US = 100_000  # time after a client disconnected in which an attempt may still begin
# Time after an endpoint was drained or removed in which an attempt may still begin there.
ENDPOINT_CHANGE_GRACE_US = 1_000_000
# Allowed excess of the time budget sent to an endpoint over the time until the request's deadline.
TIME_BUDGET_SLACK_US = 150_000
DEDUPLICATION_SLACK_US = 50_000  # allowed excess of a repeat's first byte over the deduplication window
# Random variation weighs more in smaller allowances, so their bound is wider.
SMALL_ALLOWANCE_REQUESTS = 30.0
# For small allowances: the bound exceeds the allowance by so many times its square root, plus this number.
SMALL_ALLOWANCE_DEVIATIONS_COUNT = 3.0
DEVIATIONS_COUNT = 2.0  # the same for allowances from SMALL_ALLOWANCE_REQUESTS on
ENDPOINT_MEMORY_US = 60_000_000  # time for which a removed endpoint is remembered
MAX_LOGGED_COUNT = 100  # violations that are logged, one line each; all are counted


class Invariant(Enum):
    """The invariants; the values are their names in counters and log lines."""

    ONE_ANSWER = "one_answer"
    ONE_IN_FLIGHT = "one_in_flight"
    ATTEMPTS_BOUNDED = "attempts_bounded"
    CLIENT_WAITS = "client_waits"
    IN_TIME = "in_time"
    NEVER_TWICE = "never_twice"
    ENDPOINT_IN_SERVICE = "node_in_service"
    TIME_BUDGET_SENT = "budget_told"
    SLOW_START = "slow_start"
    ANSWERED_BEFORE_CLOSE = "answered_before_close"
    READY_BEFORE_LISTENING = "ready_before_listening"


def slow_start_bound(allowance: float) -> float:
    """Return how many requests of mean size a cold endpoint may get in a slow-start window.

    Args:
        allowance: the number that slow start allows it in the window, without a margin for random variation.
    """
    is_small = allowance < SMALL_ALLOWANCE_REQUESTS
    deviations = SMALL_ALLOWANCE_DEVIATIONS_COUNT if is_small else DEVIATIONS_COUNT
    return allowance + deviations * math.sqrt(allowance) + deviations


@dataclass(slots=True)
class _EndpointRecord:
    """Since when an endpoint takes no new requests, and the requests that it got during slow start."""

    out_of_service_since_us: int | None = None  # according to the endpoint list
    drained_since_us: int | None = None  # by an operator
    started_us: int = 0
    sent: deque[tuple[int, float]] = field(default_factory=deque)  # times and units of recent requests
    sent_units: float = 0.0


@dataclass(slots=True)
class _RequestRecord:
    """The attempts of a request that were written to endpoints."""

    written_count: int = 0
    in_flight: Attempt | None = None
    may_have_run: bool = False
    written_us: int = 0  # first byte of the latest attempt
    may_have_run_since_us: int = 0  # first byte of the first attempt that may have run


class InvariantChecker:
    """Checks invariants; violations are counted as `invariant_violations` and `invariant_violations_NAME`."""

    def __init__(
        self, settings: Settings, clock: Callable[[], int], counters: Counters, log: Callable[..., Any]
    ) -> None:
        """Start without records.

        Args:
            settings: the limits that are checked.
            clock: returns microseconds.
            counters: the counters of the process.
            log: logs an event by its name and its fields.
        """
        self._settings = settings
        self._clock = clock
        self._counters = counters
        self._log = log
        self._classes = {cls.name: cls for cls in settings.classes}
        self._endpoints: dict[str, _EndpointRecord] = {}
        self._requests: dict[str, _RequestRecord] = {}
        self._forget_at_us = 0
        self._logged_count = 0

    def check(self, holds: bool, invariant: Invariant, **details: Any) -> None:
        """Count and log a violation of `invariant` unless it `holds`."""
        if holds:
            return
        self._counters.add("invariant_violations")
        self._counters.add(f"invariant_violations_{invariant.value}")
        if self._logged_count < MAX_LOGGED_COUNT:
            self._logged_count += 1
            self._log("invariant_violated", invariant=invariant.value, **details)

    # Endpoints

    def record_endpoint_list(self, endpoint_list: EndpointList) -> None:
        """Record an endpoint list or a change of it, as it was received."""
        named = {endpoint.name for endpoint in endpoint_list.endpoints}
        for endpoint in endpoint_list.endpoints:
            record = self._endpoints.setdefault(endpoint.name, _EndpointRecord())
            is_out_of_service = endpoint.status is not EndpointStatus.UP
            record.out_of_service_since_us = self._out_of_service_since(
                record.out_of_service_since_us, is_out_of_service
            )
            if endpoint.started_us != record.started_us:
                record.started_us = endpoint.started_us
                record.sent_units = 0.0
                record.sent.clear()
        if endpoint_list.complete:
            for name in self._endpoints.keys() - named:
                record = self._endpoints[name]
                record.out_of_service_since_us = self._out_of_service_since(
                    record.out_of_service_since_us, True
                )
        self._forget_removed()

    def record_manual_drain(self, endpoint: str, drained: bool) -> None:
        """Record that an operator drained an endpoint, or ended its drain."""
        record = self._endpoints.setdefault(endpoint, _EndpointRecord())
        record.drained_since_us = self._out_of_service_since(record.drained_since_us, drained)

    def _out_of_service_since(self, before_us: int | None, is_out_of_service: bool) -> int | None:
        """Return since when an endpoint is out of service, or None; `before_us` is the value so far."""
        if not is_out_of_service:
            return None
        return self._clock() if before_us is None else before_us

    def _forget_removed(self) -> None:
        """Forget endpoints that were removed long ago: records add up where endpoints are often replaced."""
        now_us = self._clock()
        if now_us < self._forget_at_us:
            return
        self._forget_at_us = now_us + ENDPOINT_MEMORY_US
        oldest_us = now_us - ENDPOINT_MEMORY_US
        removed = [
            name
            for name, record in self._endpoints.items()
            if record.out_of_service_since_us is not None and record.out_of_service_since_us < oldest_us
        ]
        for name in removed:
            del self._endpoints[name]

    # Attempts

    def check_written(self, attempt: Attempt, budget_us: int) -> None:
        """Check an attempt whose first byte is written now; `budget_us` is the time budget sent with it."""
        request = attempt.request
        now_us = self._clock()
        record = self._requests.setdefault(request.id, _RequestRecord())
        log_fields = {**_log_fields_of(request), "node": attempt.endpoint}
        self._check_repetition(attempt, record, now_us, log_fields)
        left_for_us = now_us - request.client_disconnected_us if request.client_disconnected_us else 0
        is_in_grace = left_for_us <= CLIENT_LEFT_GRACE_US
        self.check(is_in_grace, Invariant.CLIENT_WAITS, late_us=left_for_us, **log_fields)
        self.check(now_us < request.incoming.deadline_us, Invariant.IN_TIME, **log_fields)
        over_us = budget_us - max(request.incoming.deadline_us - now_us, 0)
        self.check(over_us <= TIME_BUDGET_SLACK_US, Invariant.TIME_BUDGET_SENT, over_us=over_us, **log_fields)
        record.in_flight = attempt
        record.written_us = now_us
        self._check_in_service(attempt.endpoint, now_us, log_fields)
        self._check_slow_start(attempt.endpoint, request.incoming.units, now_us, log_fields)

    def _check_repetition(
        self, attempt: Attempt, record: _RequestRecord, now_us: int, log_fields: dict[str, str]
    ) -> None:
        is_redialled = record.in_flight is attempt  # its connection broke before all of it was written
        self.check(is_redialled or record.in_flight is None, Invariant.ONE_IN_FLIGHT, **log_fields)
        record.written_count += not is_redialled
        is_bounded = record.written_count <= self._settings.max_attempts
        self.check(is_bounded, Invariant.ATTEMPTS_BOUNDED, **log_fields)
        request_class = self._classes[attempt.request.incoming.class_name]
        may_run_twice = record.may_have_run and self._runs_again(request_class, record, now_us)
        self.check(not may_run_twice, Invariant.NEVER_TWICE, **log_fields)

    @staticmethod
    def _runs_again(request_class: RequestClass, record: _RequestRecord, now_us: int) -> bool:
        """Return whether a repeat that is written now may run, and does harm."""
        if request_class.repeatability is Repeatability.IDEMPOTENT_BY_KEY:
            window_us = request_class.deduplication_window_us + DEDUPLICATION_SLACK_US
            return now_us - record.may_have_run_since_us > window_us
        return request_class.repeatability is Repeatability.AT_MOST_ONCE

    def _check_in_service(self, endpoint: str, now_us: int, log_fields: dict[str, str]) -> None:
        record = self._endpoints.setdefault(endpoint, _EndpointRecord())
        since_us = [
            at_us for at_us in (record.out_of_service_since_us, record.drained_since_us) if at_us is not None
        ]
        out_for_us = now_us - min(since_us, default=now_us)
        is_in_grace = out_for_us <= ENDPOINT_CHANGE_GRACE_US
        self.check(is_in_grace, Invariant.ENDPOINT_IN_SERVICE, late_us=out_for_us, **log_fields)

    def _check_slow_start(self, name: str, units: float, now_us: int, log_fields: dict[str, str]) -> None:
        record = self._endpoints[name]
        settings = self._settings
        is_warm = now_us >= record.started_us + settings.warm_up_us
        if not record.started_us or settings.slow_start_units <= 0 or is_warm:
            return
        while record.sent and record.sent[0][0] <= now_us - settings.slow_start_window_us:
            record.sent_units -= record.sent.popleft()[1]
        record.sent.append((now_us, units))
        record.sent_units += units
        endpoint = Endpoint(name, EndpointStatus.UP, 0, record.started_us)
        allowed_units = settings.slow_start_units * capacity_growth_factor(settings, endpoint, now_us)
        allowance = allowed_units / settings.mean_request_units
        is_within = record.sent_units / settings.mean_request_units <= slow_start_bound(allowance)
        self.check(is_within, Invariant.SLOW_START, units=round(record.sent_units, 1), **log_fields)

    def record_outcome(self, attempt: Attempt, result: AttemptResult) -> None:
        """Record an attempt's outcome."""
        record = self._requests.get(attempt.request.id)
        if record is not None and record.in_flight is attempt:
            record.in_flight = None
            if result not in RESULTS_WITHOUT_EFFECT and not record.may_have_run:
                record.may_have_run = True
                record.may_have_run_since_us = record.written_us

    # Requests

    def record_answer(self, request: InFlightRequest) -> None:
        """Check that a request gets its first answer."""
        self.check(not request.answered, Invariant.ONE_ANSWER, **_log_fields_of(request))

    def forget_request(self, request: InFlightRequest) -> None:
        """Forget a request that is answered and has no attempt in flight."""
        self._requests.pop(request.id, None)

    def check_close(self, has_unanswered_request: bool, reason: str, call_ids: str) -> None:
        """Check that the front closes a client's connection only after answering every request read on it.

        Args:
            has_unanswered_request: whether a request on it is still owed an answer.
            reason: why the connection is closed.
            call_ids: the call ids of the requests on it.
        """
        self.check(not has_unanswered_request, Invariant.ANSWERED_BEFORE_CLOSE, reason=reason, calls=call_ids)

    def check_listening(self, ready: bool) -> None:
        """Check that clients are accepted only once the process can serve them."""
        self.check(ready, Invariant.READY_BEFORE_LISTENING)


def _log_fields_of(request: InFlightRequest) -> dict[str, str]:
    """Return the log fields that identify a request: the id that this front gave it, and its call id."""
    return {"request": request.id, "call": request.incoming.call_id.decode("latin-1")}
