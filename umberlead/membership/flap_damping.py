"""Damping of flapping endpoints, after RFC 2439 (BGP route flap damping).

Each time an endpoint becomes ready again, its penalty grows; the penalty decays exponentially. The module
does no I/O, takes the time as an argument, and knows endpoints only by name.
"""

import math
from dataclasses import dataclass
from typing import NamedTuple

from umberlead.membership.errors import MembershipError

RETURN_PENALTY_UNITS = 1000.0
FORGET_PENALTY_THRESHOLD = 50.0


@dataclass(frozen=True, slots=True)
class FlapDampingSettings:
    """The parameters of RFC 2439, section 4.2.

    Attributes:
        half_life_us: The time in which a penalty halves.
        suppress_threshold: The penalty above which an endpoint is suppressed.
        reuse_threshold: The penalty below which a suppressed endpoint is used again.
        max_penalty: The largest penalty, which limits how long an endpoint stays suppressed.
    """

    half_life_us: int = 15_000_000
    suppress_threshold: float = 3000.0
    reuse_threshold: float = 1000.0
    max_penalty: float = 8000.0

    def __post_init__(self) -> None:
        """Check the order of the thresholds and the half-life.

        Raises:
            MembershipError: The thresholds are out of order, or the half-life is not above 0.
        """
        in_order = 0 < self.reuse_threshold < self.suppress_threshold <= self.max_penalty
        if not in_order or self.half_life_us <= 0:
            raise MembershipError("flap damping needs 0 < reuse < suppress <= most and a half-life above 0")

    @property
    def max_suppression_us(self) -> int:
        """The longest time that an endpoint stays suppressed after its last return."""
        return math.ceil(self.half_life_us * math.log2(self.max_penalty / self.reuse_threshold)) + 1


class _Penalty(NamedTuple):
    value: float
    updated_us: int


class FlapDamper:
    """Keeps the penalties of endpoints, and which endpoints are suppressed.

    Attributes:
        settings: The parameters.
        suppressed: The names of suppressed endpoints.
    """

    def __init__(self, settings: FlapDampingSettings) -> None:
        """Create a damper without penalties."""
        self.settings = settings
        self.suppressed: set[str] = set()
        self._penalties: dict[str, _Penalty] = {}

    def penalty(self, name: str, now_us: int) -> float:
        """Return the decayed penalty; 0 if it is below `FORGET_PENALTY_THRESHOLD`."""
        value, updated_us = self._penalties.get(name, (0.0, now_us))
        value *= 0.5 ** ((now_us - updated_us) / self.settings.half_life_us)
        return value if value >= FORGET_PENALTY_THRESHOLD else 0.0

    def record_return(self, name: str, now_us: int) -> bool:
        """Record that an endpoint became ready again, and return whether it is suppressed now."""
        value = min(self.penalty(name, now_us) + RETURN_PENALTY_UNITS, self.settings.max_penalty)
        self._penalties[name] = _Penalty(value, now_us)
        if value > self.settings.suppress_threshold:
            self.suppressed.add(name)
        return name in self.suppressed

    def suppressed_until_us(self, name: str) -> int:
        """Return when a suppressed endpoint may be used again."""
        value, updated_us = self._penalties[name]
        half_lives = math.log2(value / self.settings.reuse_threshold)
        return updated_us + math.ceil(self.settings.half_life_us * half_lives) + 1

    def release_due(self, now_us: int) -> list[str]:
        """Release and return names whose suppression has ended, and delete penalties that have decayed."""
        released = [name for name in self.suppressed if self.suppressed_until_us(name) <= now_us]
        self.suppressed.difference_update(released)
        faded = [
            name for name in self._penalties if name not in self.suppressed and not self.penalty(name, now_us)
        ]
        for name in faded:
            del self._penalties[name]
        return released

    def next_release_us(self) -> int | None:
        """Return when `release_due` will next release a name; None if no name is suppressed."""
        return min(map(self.suppressed_until_us, self.suppressed), default=None)
