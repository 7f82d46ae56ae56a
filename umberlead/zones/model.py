"""Plain records of zones, their states and their settings."""

from dataclasses import dataclass, field
from enum import Enum, StrEnum

from umberlead.scheduling.events import EndpointStatus

MICROSECONDS_PER_S = 1_000_000


class ZoneState(Enum):
    """The health of a zone as one front sees it.

    The values are exported by the admin API and the counters.
    """

    HEALTHY = "well"
    DEGRADED = "grey"  # too many failed attempts or slow answers: used only where there is no other zone
    DOWN = "lost"  # it gets nothing but an occasional trial request
    RECOVERING = "return"  # it answers trials again; its endpoints pass through slow start


class Contact(Enum):
    """What the end of an attempt shows about the connection to its endpoint, whatever the answer was."""

    ANSWERED = "answered"
    BROKEN = "broken"
    INCONCLUSIVE = "nothing"


class Reachability(StrEnum):
    """Whether one endpoint can be reached, as far as recent attempts show it."""

    UP = "up"
    DOWN = "down"
    SILENT = "mute"  # a request has been unanswered for long, and nothing was received since it was sent
    UNKNOWN = ""


@dataclass(frozen=True, slots=True)
class ZoneMember:
    """An endpoint of the current endpoint list.

    Attributes:
        name: The endpoint's name.
        zone: The name of its zone; empty if the list gives none.
        shard: The shard that it stores.
        status: Its status in the list.
        started_us: When it started; 0 if that is long ago.
    """

    name: str
    zone: str
    shard: int
    status: EndpointStatus = EndpointStatus.UP
    started_us: int = 0


@dataclass(frozen=True, slots=True)
class ZoneSettings:
    """Settings of zone health, trials and spillover; `docs/rooms.md` explains each for operators.

    Attributes:
        own_zone: This front's zone; empty: no zone is nearer than another.
        tier_by_zone: The distance tier of each named zone; other zones are in the last tier.
        silence_timeout_us: How long an endpoint with attempts in flight may be silent. It must be longer than
            the pause of a process and the wait in a full queue.
        evidence_window_us: The age beyond which evidence is ignored.
        endpoint_down_probability: The probability that an endpoint is down on its own.
        prior_probability: The probability that a zone is down before there is any evidence.
        down_odds_threshold: The odds from which a zone counts as down.
        min_down_us: The first time span without trials; each failure soon after a recovery doubles it.
        max_down_us: The longest time span without trials.
        trial_interval_us: The mean time between two trials of a zone while none is answered.
        trials_to_recover: Answered trials in a row after which an endpoint has recovered.
        recovery_us: How long a recovered endpoint counts as just started.
        failure_memory_us: How long a zone must be healthy until its earlier failures are forgotten.
        degraded_failure_ratio: By how much the ratio of failed attempts of a degraded zone is above that of
            other zones, at least.
        degraded_latency_factor: The mean latency from which a zone is degraded, as a multiple of that of
            other zones.
        degraded_min_attempts: The number of attempts within the window below which no zone is degraded.
        distance_factor: The factor by which an answer from one tier further away costs more.
        spillover_mode: What may spill over: `learnt` (within a learned budget), `all` or `never`.
        spillover_rate_factor: The first spillover budget, as a multiple of the plans' usual rates.
        in_time_objective_ratio: The part of the latency objective within which a spilled-over request must be
            answered to count as in time.
        retry_after_us: The least Retry-After where no endpoint of a shard can be reached.
    """

    own_zone: str = ""
    tier_by_zone: dict[str, int] = field(default_factory=dict)
    silence_timeout_us: int = 700_000
    evidence_window_us: int = 5 * MICROSECONDS_PER_S
    endpoint_down_probability: float = 0.02
    prior_probability: float = 1e-3
    down_odds_threshold: float = 20.0
    min_down_us: int = 2 * MICROSECONDS_PER_S
    max_down_us: int = 60 * MICROSECONDS_PER_S
    trial_interval_us: int = MICROSECONDS_PER_S
    trials_to_recover: int = 2
    recovery_us: int = 4 * MICROSECONDS_PER_S
    failure_memory_us: int = 120 * MICROSECONDS_PER_S
    degraded_failure_ratio: float = 0.2
    degraded_latency_factor: float = 4.0
    degraded_min_attempts: int = 30
    distance_factor: float = 1.25
    spillover_mode: str = "learnt"
    spillover_rate_factor: float = 8.0
    in_time_objective_ratio: float = 0.8
    retry_after_us: int = MICROSECONDS_PER_S


@dataclass(frozen=True, slots=True)
class ZoneTransition:
    """A change of a zone's state, and the evidence for it as a text for logs."""

    at_us: int
    zone: str
    state: ZoneState
    evidence: str


def tier_of_zone(settings: ZoneSettings, zone: str) -> int:
    """Return the distance tier of a zone: 0 for the front's own zone, and for all if it has no own zone."""
    if not settings.own_zone or zone == settings.own_zone:
        return 0
    return settings.tier_by_zone.get(zone, 1 + max(settings.tier_by_zone.values(), default=0))
