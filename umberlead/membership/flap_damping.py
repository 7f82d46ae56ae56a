"""Damping of flapping servers, after RFC 2439 (BGP route flap damping): each return costs a penalty that
halves with time. Times are whole us. Free of I/O; it holds no list, only penalties by name."""

import math
from dataclasses import dataclass

RETURN_PENALTY_UNITS = 1000.0  # penalty of one return
FORGET_PENALTY_THRESHOLD = 50.0  # penalty below which a name is forgotten


@dataclass(frozen=True, slots=True)
class FlapDampingSettings:
    """Figures of RFC 2439, 4.2; `half_life` in us."""

    half_life_us: int = 15_000_000
    suppress_threshold: float = 3000.0  # held above
    reuse_threshold: float = 1000.0  # let in again below
    max_penalty: float = 8000.0  # so that no server is held longer than `longest`

    def __post_init__(self) -> None:
        if (
            not 0 < self.reuse_threshold < self.suppress_threshold <= self.max_penalty
            or self.half_life_us <= 0
        ):
            raise ValueError("damping needs 0 < reuse < suppress <= most and a half-life above 0")

    @property
    def max_suppression_us(self) -> int:
        """us that a server which stopped flapping is held at the most."""
        return math.ceil(self.half_life_us * math.log2(self.max_penalty / self.reuse_threshold)) + 1


class FlapDamper:
    def __init__(self, settings: FlapDampingSettings) -> None:
        self.settings = settings
        self._penalties: dict[str, tuple[float, int]] = {}  # penalty, and when it was so
        self.suppressed: set[str] = set()

    def penalty(self, name: str, now_us: int) -> float:
        """What has faded below `LEAST` counts as nothing, whether it was forgotten yet or not."""
        value, at = self._penalties.get(name, (0.0, now_us))
        value *= 0.5 ** ((now_us - at) / self.settings.half_life_us)
        return value if value >= FORGET_PENALTY_THRESHOLD else 0.0

    def record_return(self, name: str, now_us: int) -> bool:
        """The name is there again after it was not; whether it is held from here on."""
        value = min(self.penalty(name, now_us) + RETURN_PENALTY_UNITS, self.settings.max_penalty)
        self._penalties[name] = (value, now_us)
        if value > self.settings.suppress_threshold:
            self.suppressed.add(name)
        return name in self.suppressed

    def suppressed_until_us(self, name: str) -> int:
        """When a held name may be let in."""
        value, at = self._penalties[name]
        return (
            at + math.ceil(self.settings.half_life_us * math.log2(value / self.settings.reuse_threshold)) + 1
        )

    def release_due(self, now_us: int) -> list[str]:
        """Names whose time is over: they are no longer held. What has faded is forgotten."""
        free = [name for name in self.suppressed if self.suppressed_until_us(name) <= now_us]
        self.suppressed.difference_update(free)
        for name in [n for n in self._penalties if n not in self.suppressed and not self.penalty(n, now_us)]:
            del self._penalties[name]
        return free

    def next_release_us(self) -> int | None:
        """When `due` has something to say, if ever."""
        return min(map(self.suppressed_until_us, self.suppressed), default=None)
