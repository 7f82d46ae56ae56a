"""Damping of flapping endpoints, after RFC 2439 (BGP route flap damping).

Each return of an endpoint costs a penalty that halves with time. Free of I/O: the clock is handed in, and
there is no list here, only penalties by name.
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
        reuse_threshold: The penalty below which it is used again.
        max_penalty: The largest penalty, which bounds how long an endpoint is suppressed.
    """

    half_life_us: int = 15_000_000
    suppress_threshold: float = 3000.0
    reuse_threshold: float = 1000.0
    max_penalty: float = 8000.0

    def __post_init__(self) -> None:
        """Check that the thresholds are in order.

        Raises:
            MembershipError: They are not, or the half-life is not above 0.
        """
        in_order = 0 < self.reuse_threshold < self.suppress_threshold <= self.max_penalty
        if not in_order or self.half_life_us <= 0:
            raise MembershipError("damping needs 0 < reuse < suppress <= most and a half-life above 0")

    @property
    def max_suppression_us(self) -> int:
        """The longest time that an endpoint is suppressed after it stopped flapping."""
        return math.ceil(self.half_life_us * math.log2(self.max_penalty / self.reuse_threshold)) + 1


class _Penalty(NamedTuple):
    value: float
    at_us: int


class FlapDamper:
    """Penalties by name, and who is suppressed by them.

    Attributes:
        settings: The parameters.
        suppressed: The names that are suppressed.
    """

    def __init__(self, settings: FlapDampingSettings) -> None:
        """Start without penalties."""
        self.settings = settings
        self.suppressed: set[str] = set()
        self._penalties: dict[str, _Penalty] = {}

    def penalty(self, name: str, now_us: int) -> float:
        """Return the penalty by now; 0 below `FORGET_PENALTY_THRESHOLD`."""
        value, at_us = self._penalties.get(name, (0.0, now_us))
        value *= 0.5 ** ((now_us - at_us) / self.settings.half_life_us)
        return value if value >= FORGET_PENALTY_THRESHOLD else 0.0

    def record_return(self, name: str, now_us: int) -> bool:
        """Record that an endpoint is back after it was away; return whether it is suppressed from here on."""
        value = min(self.penalty(name, now_us) + RETURN_PENALTY_UNITS, self.settings.max_penalty)
        self._penalties[name] = _Penalty(value, now_us)
        if value > self.settings.suppress_threshold:
            self.suppressed.add(name)
        return name in self.suppressed

    def suppressed_until_us(self, name: str) -> int:
        """Return when a suppressed endpoint may be used again."""
        value, at_us = self._penalties[name]
        half_lives = math.log2(value / self.settings.reuse_threshold)
        return at_us + math.ceil(self.settings.half_life_us * half_lives) + 1

    def release_due(self, now_us: int) -> list[str]:
        """Release and return the names whose time is over, and forget penalties that have faded."""
        released = [name for name in self.suppressed if self.suppressed_until_us(name) <= now_us]
        self.suppressed.difference_update(released)
        faded = [
            name for name in self._penalties if name not in self.suppressed and not self.penalty(name, now_us)
        ]
        for name in faded:
            del self._penalties[name]
        return released

    def next_release_us(self) -> int | None:
        """Return when `release_due` will next release a name; None for never."""
        return min(map(self.suppressed_until_us, self.suppressed), default=None)
