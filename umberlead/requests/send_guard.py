"""The one guard that every attempt passes, before it is begun and again before its first byte is written.

It holds the rules that bind whoever decides: one attempt at a time, none past the request's end or its
client's, no repeat of what must not run twice, nothing new to an endpoint that drains or is gone. Free of
I/O: what it needs to know of clients is asked through a call.
"""

from collections.abc import Callable
from enum import Enum

from umberlead.requests.types import Attempt, InFlightRequest
from umberlead.scheduling.settings import Repeatability, RequestClass


class Denial(Enum):
    """Why an attempt may not be sent."""

    ANSWERED = "answered"
    CLIENT_LEFT = "client_left"
    STOPPING = "stopping"
    IN_FLIGHT = "in_flight"
    ATTEMPTS_USED = "attempts_used"
    OUT_OF_TIME = "out_of_time"
    MAY_HAVE_RUN = "may_have_run"
    ENDPOINT_OUT_OF_SERVICE = "node_out_of_service"


class SendGuard:
    """Tells whether an attempt may be sent, and why not."""

    def __init__(
        self,
        classes: dict[str, RequestClass],
        max_attempts: int,
        clock: Callable[[], int],
        accepts_new_requests: Callable[[str], bool],
        client_waits: Callable[[InFlightRequest], bool],
    ) -> None:
        """Guard requests of `classes`.

        Args:
            classes: by name; what a class's repeatability forbids is not repeated.
            max_attempts: of one request.
            clock: tells microseconds.
            accepts_new_requests: whether the list as it stands lets anything new begin at an endpoint.
            client_waits: looks for the client at this very moment; asked last, as it costs a system call.
        """
        self._classes = classes
        self._max_attempts = max_attempts
        self._clock = clock
        self._accepts_new_requests = accepts_new_requests
        self._client_waits = client_waits

    def may_repeat(self, request: InFlightRequest) -> bool:
        """Tell whether running it again does no harm: nothing ran, or its class is safe to repeat."""
        return (
            not request.may_have_run
            or self._classes[request.incoming.class_name].repeatability is Repeatability.IDEMPOTENT
        )

    def may_begin(self, request: InFlightRequest) -> Denial | None:
        """Return why the next attempt of `request` may not begin now; None lets it."""
        unsafe = self._classes[request.incoming.class_name].repeatability is Repeatability.AT_MOST_ONCE
        if request.attempt is not None:
            return Denial.IN_FLIGHT
        if request.attempt_count >= self._max_attempts:
            return Denial.ATTEMPTS_USED
        if request.may_have_run and unsafe:
            return Denial.MAY_HAVE_RUN
        return self._denied_client(request)

    def may_write(self, attempt: Attempt) -> Denial | None:
        """Return why an attempt whose connection is up may not be written now; None lets it."""
        if not self._accepts_new_requests(attempt.endpoint):
            return Denial.ENDPOINT_OUT_OF_SERVICE
        return self._denied_client(attempt.request)

    def _denied_client(self, request: InFlightRequest) -> Denial | None:
        if request.answered:
            return Denial.ANSWERED
        if request.abandoned:
            return Denial.CLIENT_LEFT
        if self._clock() >= request.incoming.deadline_us:
            return Denial.OUT_OF_TIME
        return None if self._client_waits(request) else Denial.CLIENT_LEFT
