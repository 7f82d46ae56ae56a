"""Rooms and what is said of them: plain records."""

from dataclasses import dataclass, field
from enum import Enum

from umberlead.scheduling.events import EndpointStatus

MICROSECONDS_PER_S = 1_000_000


class ZoneState(Enum):
    """What a front holds of a room."""

    HEALTHY = "well"
    DEGRADED = "grey"  # answers come, but too few or too late: leave it what can go nowhere else
    DOWN = "lost"  # nothing goes there but a trial now and then
    RECOVERING = "return"  # it answers again, and is fed little by little


class Contact(Enum):
    """What an attempt's end says of the way to its server, not of the request."""

    ANSWERED = "answered"
    BROKEN = "broken"
    INCONCLUSIVE = "nothing"


@dataclass(frozen=True, slots=True)
class ZoneMember:
    """A server as the list in force has it."""

    name: str
    zone: str
    shard: int
    status: EndpointStatus = EndpointStatus.UP
    started_us: int = 0


@dataclass(frozen=True, slots=True)
class ZoneSettings:
    """Times in us. `docs/rooms.md` tells what each is for."""

    own_zone: str = ""  # this front's room; empty: none is nearer than another
    tier_by_zone: dict[str, int] = field(
        default_factory=dict
    )  # tier by room; unnamed rooms stand in the last one
    silence_timeout_us: int = (
        700_000  # no word from a server with work out: longer than a pause and a full room
    )
    evidence_window_us: int = 5 * MICROSECONDS_PER_S  # evidence older than that tells nothing
    endpoint_down_probability: float = 0.02  # how often a server is down by itself
    prior_probability: float = 1e-3  # that a room is lost, before any evidence
    down_odds_threshold: float = 20.0  # odds at which it counts as lost
    min_down_us: int = (
        2 * MICROSECONDS_PER_S
    )  # a room is lost at least so long; doubled by each loss soon after a return
    max_down_us: int = 60 * MICROSECONDS_PER_S
    trial_interval_us: int = (
        MICROSECONDS_PER_S  # between two trials of a room, in the mean, while none is answered
    )
    trials_to_recover: int = 2  # answered ones, in a row, that bring a server back
    recovery_us: int = (
        4 * MICROSECONDS_PER_S
    )  # in which a returning server counts as just started: the list tells late of those that were
    failure_memory_us: int = 120 * MICROSECONDS_PER_S  # well for so long, earlier losses are forgotten
    degraded_failure_ratio: float = 0.2  # of attempts that break, against the other rooms'
    degraded_latency_factor: float = 4.0  # times the other rooms' answers take
    degraded_min_attempts: int = 30  # attempts in the window below which nothing is grey
    distance_factor: float = 1.25  # how much dearer an answer counts a tier further away
    spillover_mode: str = "learnt"  # what may spill: by a learnt budget, "all", or "never"
    spillover_rate_factor: float = 8.0  # times the plans' usual rate, what may spill a second at first
    in_time_objective_ratio: float = 0.8  # of the aim: answers beyond it shrink the spill
    retry_after_us: int = MICROSECONDS_PER_S  # what a client is told at least where its only server is dark


@dataclass(frozen=True, slots=True)
class ZoneTransition:
    """A change of what is held of a room, and what it rests on."""

    at_us: int
    zone: str
    state: ZoneState
    evidence: str


def tier_of_zone(settings: ZoneSettings, zone: str) -> int:
    """0: the front's own, or no matter."""
    if not settings.own_zone or zone == settings.own_zone:
        return 0
    return settings.tier_by_zone.get(zone, 1 + max(settings.tier_by_zone.values(), default=0))
