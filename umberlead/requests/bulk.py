"""Operations on many open requests at once, as when a zone goes down."""

from collections.abc import Callable

from umberlead.requests.lifecycle import RequestLifecycle
from umberlead.requests.types import Attempt, InFlightRequest
from umberlead.scheduling.events import AttemptResult


def reject_waiting(
    lifecycle: RequestLifecycle,
    condition: Callable[[InFlightRequest], bool],
    reason: str,
    retry_after_us: int,
) -> int:
    """Reject requests at once that would otherwise wait until their latency objective.

    Requests with an attempt in flight, and those that must not be repeated, are left open.

    Returns:
        The number of requests that met the `condition` and were rejected.
    """
    rejected_count = 0
    for request in list(lifecycle.open_requests):
        if request.answered or request.attempt is not None or not lifecycle.guard.may_repeat(request):
            continue
        if condition(request):
            rejected_count += 1
            lifecycle.reject(request, reason, retry_after_us)
    return rejected_count


def cancel_attempts(lifecycle: RequestLifecycle, condition: Callable[[Attempt], bool]) -> int:
    """Cancel attempts of idempotent requests, so that the scheduler may retry them at other endpoints.

    Returns:
        The number of attempts that met the `condition` and were cancelled.
    """
    cancelled_count = 0
    for request in list(lifecycle.open_requests):
        attempt = request.attempt
        if attempt is None or attempt.transport_state is None or lifecycle.transport is None:
            continue
        if lifecycle.is_idempotent(request) and condition(attempt):
            cancelled_count += 1
            lifecycle.transport.stop(attempt, AttemptResult.CANCELLED)
    return cancelled_count
