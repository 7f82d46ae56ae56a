"""Decides whether a request may be attempted, by its class, its number of attempts and a retry budget."""

from collections import deque

from umberlead.scheduling.pending_request import PendingRequest
from umberlead.scheduling.settings import Repeatability, RequestClass, Settings
from umberlead.scheduling.token_bucket import NEVER

# The last byte of a repeat may be written this long after its time was checked: the front may be held up.
WRITE_DELAY_ALLOWANCE_US = 150_000


def repeat_window_us(request_class: RequestClass) -> float:
    """Return how long after an attempt that may have run the request can be sent again, in microseconds.

    NEVER: without a limit. A repeat whose write is checked within this time is written within the
    deduplication window.
    """
    if request_class.repeatability is Repeatability.IDEMPOTENT:
        return NEVER
    if request_class.repeatability is Repeatability.IDEMPOTENT_BY_KEY:
        return max(request_class.deduplication_window_us - WRITE_DELAY_ALLOWANCE_US, 0)
    return 0


def is_harmless_to_repeat(pending: PendingRequest) -> bool:
    """Return whether the client can safely retry a request, whatever the outcome of its attempts."""
    request_class = pending.request_class
    if pending.may_have_run_since_us is None or request_class.repeatability is Repeatability.IDEMPOTENT:
        return True
    deduplicated = request_class.repeatability is Repeatability.IDEMPOTENT_BY_KEY
    return deduplicated and request_class.deduplication_scope == "all"


class RetryPolicy:
    """Applies the rules of the classes, `max_attempts` and a retry budget over a sliding window."""

    def __init__(self, settings: Settings) -> None:
        """Create a policy without earlier requests."""
        self._settings = settings
        self._requests_us: deque[int] = deque()
        self._retries_us: deque[int] = deque()

    def record_request(self, now_us: int) -> None:
        """Record the arrival of a request, which adds to the retry budget."""
        self._requests_us.append(now_us)

    def record_retry(self, now_us: int) -> None:
        """Record a retry."""
        self._retries_us.append(now_us)

    def may_attempt(self, pending: PendingRequest, now_us: int) -> bool:
        """Return whether `pending` may be attempted now, for the first time or again."""
        ran_us = pending.may_have_run_since_us
        repeatable = ran_us is None or now_us - ran_us < repeat_window_us(pending.request_class)
        if not repeatable or pending.attempt_count >= self._settings.max_attempts:
            return False
        self._expire(now_us)
        if pending.attempt_count == 0 or self._settings.retry_budget_window_us <= 0:
            return True
        budget = self._settings.retry_budget_ratio * len(self._requests_us)
        return len(self._retries_us) + 1 <= self._settings.retry_budget_min_retries + budget

    def _expire(self, now_us: int) -> None:
        expired_us = now_us - self._settings.retry_budget_window_us
        for times_us in (self._requests_us, self._retries_us):
            while times_us and times_us[0] <= expired_us:
                times_us.popleft()
