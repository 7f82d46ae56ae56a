"""How much of the work that could stay nearer goes to further rooms, and whose goes first. Pure, times in us.

Work that may move (new objects, reads of data that several servers hold) and whose nearer rooms are lost is
spill. A budget of units a second, learnt from how much of the spill is answered in time, bounds it: reserves
take what they are due, shares only while a third of the budget is there, spare only while two thirds are.
What is not let through is refused at once. Each front learns its own budget: together they find what the
remaining rooms bear without a word to each other, as senders on a shared line do."""

from dataclasses import dataclass, field

from umberlead.scheduling.interface import Settings
from umberlead.zones.model import SECOND

STEP = SECOND // 2
GOOD, POOR = 0.8, 0.5  # of the spill answered in time: above the one it grows, below the other it shrinks
GROW, SHRINK = 1.1, 0.75
LEAST = 1.0  # units a second below which no budget falls: nothing would be learnt any more
HOLDS = 1.0  # s of its rate that a budget saves up
IDLE = 60 * SECOND  # after which a volume's store is forgotten


@dataclass(slots=True)
class Store:
    """Units that fill at a rate up to a most."""

    rate: float
    most: float
    have: float
    at: int

    def fill(self, now: int) -> float:
        self.have = min(self.have + self.rate * (now - self.at) / SECOND, self.most)
        self.at = now
        return self.have


@dataclass(slots=True)
class Budget:
    """What one front may spill."""

    settings: Settings
    start: float  # units a second
    now: int
    rate: float = 0.0
    store: Store = field(init=False)
    spilled: int = 0  # requests let through
    refused: int = 0
    _good: int = 0
    _all: int = 0
    _asked: float = 0.0  # units, since the last step
    _step: int = 0
    _due: dict[str, Store] = field(default_factory=dict)
    _plans: dict[str, tuple[float, float]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.rate = max(self.rate or self.start, LEAST)
        self.store = Store(self.rate, self.rate * HOLDS, self.rate * HOLDS, self.now)
        self._plans = {p.name: (p.reserve, p.rate) for p in self.settings.plans}
        self._step = self.now

    def due(self, now: int, volume: str, plan: str, hosts: int, units: float) -> str:
        """Which tier `units` of a volume fall in now: reserve, share or spare. This front's part of the
        plan's figures is an even one of the volume's fronts."""
        reserve, rate = self._plans.get(plan, (0.0, 0.0))
        hosts = max(hosts, 1)
        for kind, fills in (("reserve", reserve / hosts), ("share", 2 * rate / hosts)):
            if fills <= 0:
                continue
            key = f"{kind} {volume}"
            most = fills + self.settings.max_units
            store = self._due.get(key) or self._due.setdefault(key, Store(fills, most, most, now))
            if store.fill(now) >= units:
                store.have -= units
                return kind
        return "spare"

    def take(self, now: int, volume: str, plan: str, hosts: int, units: float) -> bool:
        """Whether a request may spill."""
        self.step(now)
        have, tier = self.store.fill(now), self.due(now, volume, plan, hosts, units)
        self._asked += units
        part = {"reserve": 0.0, "share": 1 / 3, "spare": 2 / 3}[tier]
        # A reserve may overdraw by a second: what it is due is worth three times the next.
        least = -self.store.most if tier == "reserve" else part * self.store.most
        if have - units < least:
            self.refused += 1
            return False
        self.store.have -= units
        self.spilled += 1
        return True

    def ended(self, now: int, in_time: bool) -> None:
        """How a request that was spilled went."""
        self._all += 1
        self._good += in_time
        self.step(now)

    def step(self, now: int) -> None:
        """Learn, twice a second: grow only where it was asked for, shrink on the first poor half second."""
        if now - self._step < STEP:
            return
        if self._all >= 4:
            part = self._good / self._all
            wanted = self._asked * SECOND / max(now - self._step, 1)
            if part >= GOOD and wanted > 0.7 * self.rate:
                self._set(now, self.rate * GROW)
            elif part < POOR:
                self._set(now, self.rate * SHRINK)
            self._good = self._all = 0
        self._asked, self._step = 0.0, now
        if len(self._due) > 1000:
            self._due = {k: s for k, s in self._due.items() if now - s.at < IDLE}

    def _set(self, now: int, rate: float) -> None:
        self.store.fill(now)
        self.rate = max(rate, LEAST)
        self.store.rate, self.store.most = self.rate, self.rate * HOLDS
        self.store.have = min(self.store.have, self.store.most)
