"""Actions that the scheduler returns. The caller carries them out in order.

Times are whole microseconds.
"""

from dataclasses import dataclass, field
from enum import Enum


class EndReason(Enum):
    """Why a request was rejected or failed."""

    OBJECTIVE_UNREACHABLE = "hopeless"  # it would miss its objective and delay others that can meet theirs
    OBJECTIVE_PASSED = "aim_over"  # its latency objective ended while it waited
    NO_ATTEMPT_LEFT = "no_further_attempt"  # forbidden by its class, max_attempts or the retry budget
    OVERLOAD = "overload"  # more open requests than the limit for client connections allows


@dataclass(frozen=True, slots=True)
class Send:
    """Start the request's next attempt, numbered from 0, at an endpoint."""

    request_id: str
    endpoint: str


@dataclass(frozen=True, slots=True)
class Reject:
    """Final answer: not served, and safe to retry, best after `retry_after_us` (0: no advice)."""

    request_id: str
    retry_after_us: int = 0
    reason: EndReason | None = field(default=None, compare=False)


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: the request failed, and it is not known whether it took effect."""

    request_id: str
    reason: EndReason | None = field(default=None, compare=False)


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel an attempt that is in flight."""

    request_id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Start a timer: the caller sends `TimerExpired` after `delay_us`."""

    delay_us: int
    label: str


@dataclass(frozen=True, slots=True)
class HealthCheck:
    """Send a health check to an endpoint."""

    endpoint: str


@dataclass(frozen=True, slots=True)
class WatchEndpoints:
    """Subscribe to changes of the endpoint list."""


@dataclass(frozen=True, slots=True)
class LogNote:
    """Write a line to the operator's log."""

    text: str


Action = Send | Reject | Fail | Cancel | SetTimer | HealthCheck | WatchEndpoints | LogNote
