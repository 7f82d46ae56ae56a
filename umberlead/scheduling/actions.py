"""Actions that the scheduler returns, to be carried out in order.

Times are whole microseconds.
"""

from dataclasses import dataclass, field
from enum import Enum


class EndReason(Enum):
    """Why a request was refused or failed."""

    OBJECTIVE_UNREACHABLE = "hopeless"  # it would be served late, and take the place of one in time
    OBJECTIVE_PASSED = "aim_over"  # it waited up to its aim
    NO_ATTEMPT_LEFT = "no_further_attempt"  # its class, its count or the budget allows none
    OVERLOAD = "overload"  # more wait than there are places for their connections


@dataclass(frozen=True, slots=True)
class Send:
    """Start the request's next attempt (numbered from 0) at a node."""

    request_id: str
    endpoint: str


@dataclass(frozen=True, slots=True)
class Reject:
    """Final: not served, harmless to try again, best after `retry_after` (0: no advice)."""

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
    """Stop waiting for one attempt."""

    request_id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a `Wake` after `delay`."""

    delay_us: int
    label: str


@dataclass(frozen=True, slots=True)
class HealthCheck:
    """Examine a node."""

    endpoint: str


@dataclass(frozen=True, slots=True)
class WatchEndpoints:
    """Ask to be told of changes in the node list."""


@dataclass(frozen=True, slots=True)
class LogNote:
    """A line for the operator's log."""

    text: str


Action = Send | Reject | Fail | Cancel | SetTimer | HealthCheck | WatchEndpoints | LogNote
