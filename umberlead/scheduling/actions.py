"""Actions that the scheduler returns, to be carried out in order.

Times are whole microseconds.
"""

from dataclasses import dataclass, field
from enum import Enum


class EndReason(Enum):
    """Why a request was rejected or failed."""

    OBJECTIVE_UNREACHABLE = "hopeless"  # it would be served late, and take the place of one in time
    OBJECTIVE_PASSED = "aim_over"  # it waited up to its latency objective
    NO_ATTEMPT_LEFT = "no_further_attempt"  # its class, its count or the budget allows none
    OVERLOAD = "overload"  # more wait than there are places for their connections


@dataclass(frozen=True, slots=True)
class Send:
    """Start the request's next attempt, numbered from 0, at an endpoint."""

    request_id: str
    endpoint: str


@dataclass(frozen=True, slots=True)
class Reject:
    """Final: not served, harmless to retry, best after `retry_after_us` (0: no advice)."""

    request_id: str
    retry_after_us: int = 0
    reason: EndReason | None = field(default=None, compare=False)


@dataclass(frozen=True, slots=True)
class Fail:
    """Final: not served, with no promise whether it took effect."""

    request_id: str
    reason: EndReason | None = field(default=None, compare=False)


@dataclass(frozen=True, slots=True)
class Cancel:
    """Give up one attempt."""

    request_id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a `TimerExpired` after `delay_us`."""

    delay_us: int
    label: str


@dataclass(frozen=True, slots=True)
class HealthCheck:
    """Check the health of an endpoint."""

    endpoint: str


@dataclass(frozen=True, slots=True)
class WatchEndpoints:
    """Ask to be notified of changes in the endpoint list."""


@dataclass(frozen=True, slots=True)
class LogNote:
    """A line for the operator's log."""

    text: str


Action = Send | Reject | Fail | Cancel | SetTimer | HealthCheck | WatchEndpoints | LogNote
