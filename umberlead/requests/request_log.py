"""Log lines of requests: each attempt where individual decisions are logged, and each request not served."""

from collections.abc import Callable

from umberlead.requests.types import Answer, InFlightRequest


class RequestLog:
    """Logs the life of requests.

    Attributes:
        trace: logs a line for each attempt; None for none.
        events: logs frequent events, of which some may be left out; None for none.
    """

    def __init__(self, clock: Callable[[], int]) -> None:
        """Log nothing yet; `clock` returns microseconds."""
        self.trace: Callable[..., None] | None = None
        self.events: Callable[..., None] | None = None
        self._clock = clock

    def attempt_begun(self, request: InFlightRequest, number: int, endpoint: str) -> None:
        """Log an attempt, with the result of the one before."""
        if self.trace is not None:
            after = request.last_result.value if request.last_result else ""
            self.trace("attempt", **self._ids(request), number=number, node=endpoint, after=after)

    def not_served(self, request: InFlightRequest, answer: Answer, reason: str) -> None:
        """Log a request that is rejected or failed for `reason`."""
        if self.events is None:
            return
        self.events(
            "request_not_served",
            **self._ids(request),
            kind=answer.kind.value,
            reason=reason,
            class_name=request.incoming.class_name,
            attempts=request.attempt_count,
            last_result=request.last_result.value if request.last_result else "",
            open_ms=(self._clock() - request.accepted_us) // 1000,
        )

    @staticmethod
    def _ids(request: InFlightRequest) -> dict[str, str]:
        """Return the id that this front gave a request, and its call id."""
        return {"request": request.id, "call": request.incoming.call_id.decode("latin-1")}
