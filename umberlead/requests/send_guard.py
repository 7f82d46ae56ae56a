"""The guard that checks every attempt, before it is begun and again before its first byte is written.

It enforces the rules that hold whatever the scheduler decides: a request has one attempt at a time, and none
after its answer, its deadline or its client's disconnect. A request that must run at most once is not
repeated after an attempt that may have run, and one that endpoints deduplicate only while they do. An
endpoint that is draining or gone gets nothing new. No I/O: the state of clients comes from a callback.
"""

from collections.abc import Callable
from enum import Enum

from umberlead.requests.types import Attempt, InFlightRequest
from umberlead.scheduling.retries import repeat_window_us
from umberlead.scheduling.settings import Repeatability, RequestClass
from umberlead.scheduling.token_bucket import NEVER


class Denial(Enum):
    """Why an attempt may not be sent."""

    ANSWERED = "answered"
    CLIENT_LEFT = "client_left"
    STOPPING = "stopping"
    IN_FLIGHT = "in_flight"
    ATTEMPTS_USED = "attempts_used"
    OUT_OF_TIME = "out_of_time"
    MAY_HAVE_RUN = "may_have_run"  # and a repeat would run, or no longer be dropped
    ENDPOINT_OUT_OF_SERVICE = "node_out_of_service"


class SendGuard:
    """Decides whether an attempt may be sent, and gives the reason if not."""

    def __init__(
        self,
        classes: dict[str, RequestClass],
        max_attempts: int,
        clock: Callable[[], int],
        accepts_new_requests: Callable[[str], bool],
        is_client_connected: Callable[[InFlightRequest], bool],
    ) -> None:
        """Set up the rules.

        Args:
            classes: the request classes by name; their repeatability is enforced.
            max_attempts: the limit of attempts per request.
            clock: returns microseconds.
            accepts_new_requests: returns whether an endpoint accepts new requests according to the current
                endpoint list and to operators.
            is_client_connected: checks whether the client is connected at this moment; called last, as it
                costs a system call.
        """
        self._classes = classes
        self._max_attempts = max_attempts
        self._clock = clock
        self._accepts_new_requests = accepts_new_requests
        self._is_client_connected = is_client_connected

    def may_repeat(self, request: InFlightRequest) -> bool:
        """Return whether a repeat does no harm: no attempt may have run, or the class is idempotent."""
        return (
            not request.may_have_run
            or self._classes[request.incoming.class_name].repeatability is Repeatability.IDEMPOTENT
        )

    def repeat_until_us(self, request: InFlightRequest) -> float:
        """Return until when a further attempt of `request` may be written; NEVER: without a limit."""
        if not request.may_have_run:
            return NEVER
        window_us = repeat_window_us(self._classes[request.incoming.class_name])
        return request.may_have_run_since_us + window_us

    def may_begin(self, request: InFlightRequest) -> Denial | None:
        """Return why the next attempt of `request` may not begin now, or None if it may."""
        if request.attempt is not None:
            return Denial.IN_FLIGHT
        if request.attempt_count >= self._max_attempts:
            return Denial.ATTEMPTS_USED
        if self._clock() >= self.repeat_until_us(request):
            return Denial.MAY_HAVE_RUN
        return self._request_denial(request)

    def may_write(self, attempt: Attempt) -> Denial | None:
        """Return why an attempt whose connection is established may not be written now, or None if it may."""
        if not self._accepts_new_requests(attempt.endpoint):
            return Denial.ENDPOINT_OUT_OF_SERVICE
        if self._clock() >= attempt.write_until_us:
            return Denial.MAY_HAVE_RUN
        return self._request_denial(attempt.request)

    def _request_denial(self, request: InFlightRequest) -> Denial | None:
        if request.answered:
            return Denial.ANSWERED
        if request.abandoned:
            return Denial.CLIENT_LEFT
        if self._clock() >= request.incoming.deadline_us:
            return Denial.OUT_OF_TIME
        return None if self._is_client_connected(request) else Denial.CLIENT_LEFT
