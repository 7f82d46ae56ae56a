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
    """Reject what waits with no attempt in flight and may be repeated, now instead of at its objective.

    Returns:
        How many requests met the `condition` and were rejected.
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
    """Cancel attempts of idempotent requests: the scheduler may try elsewhere.

    Returns:
        How many attempts met the `condition` and were cancelled.
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
