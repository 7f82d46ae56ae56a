"""Damping of flapping servers, after RFC 2439 (BGP route flap damping): each return costs a penalty that
halves with time. Times are whole us. Free of I/O; it holds no list, only penalties by name."""

import math
from dataclasses import dataclass

RETURN = 1000.0  # penalty of one return
LEAST = 50.0  # penalty below which a name is forgotten


@dataclass(frozen=True, slots=True)
class Damping:
    """Figures of RFC 2439, 4.2; `half_life` in us."""

    half_life: int = 15_000_000
    suppress: float = 3000.0  # held above
    reuse: float = 1000.0  # let in again below
    most: float = 8000.0  # so that no server is held longer than `longest`

    def __post_init__(self) -> None:
        if not 0 < self.reuse < self.suppress <= self.most or self.half_life <= 0:
            raise ValueError("damping needs 0 < reuse < suppress <= most and a half-life above 0")

    @property
    def longest(self) -> int:
        """us that a server which stopped flapping is held at the most."""
        return math.ceil(self.half_life * math.log2(self.most / self.reuse)) + 1


class Flaps:
    def __init__(self, rules: Damping) -> None:
        self.rules = rules
        self._at: dict[str, tuple[float, int]] = {}  # penalty, and when it was so
        self.held: set[str] = set()

    def penalty(self, name: str, now: int) -> float:
        """What has faded below `LEAST` counts as nothing, whether it was forgotten yet or not."""
        value, at = self._at.get(name, (0.0, now))
        value *= 0.5 ** ((now - at) / self.rules.half_life)
        return value if value >= LEAST else 0.0

    def returned(self, name: str, now: int) -> bool:
        """The name is there again after it was not; whether it is held from here on."""
        value = min(self.penalty(name, now) + RETURN, self.rules.most)
        self._at[name] = (value, now)
        if value > self.rules.suppress:
            self.held.add(name)
        return name in self.held

    def until(self, name: str) -> int:
        """When a held name may be let in."""
        value, at = self._at[name]
        return at + math.ceil(self.rules.half_life * math.log2(value / self.rules.reuse)) + 1

    def due(self, now: int) -> list[str]:
        """Names whose time is over: they are no longer held. What has faded is forgotten."""
        free = [name for name in self.held if self.until(name) <= now]
        self.held.difference_update(free)
        for name in [n for n in self._at if n not in self.held and not self.penalty(n, now)]:
            del self._at[name]
        return free

    def next(self) -> int | None:
        """When `due` has something to say, if ever."""
        return min(map(self.until, self.held), default=None)
