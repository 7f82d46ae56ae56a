"""How much of the work that could stay nearer goes to further rooms, and whose goes first. Pure, times in us.

Work that may move (new objects, reads of data that several servers hold) and whose nearer rooms are lost is
spill. A budget of units a second, learnt from how much of the spill is answered in time, bounds it: reserves
take what they are due, shares only while a third of the budget is there, spare only while two thirds are.
What is not let through is refused at once. Each front learns its own budget: together they find what the
remaining rooms bear without a word to each other, as senders on a shared line do."""

from dataclasses import dataclass, field

from umberlead.scheduling.settings import Settings
from umberlead.zones.model import MICROSECONDS_PER_S

ADJUSTMENT_INTERVAL_US = MICROSECONDS_PER_S // 2
GROW_IN_TIME_RATIO, SHRINK_IN_TIME_RATIO = (
    0.8,
    0.5,
)  # of the spill answered in time: above the one it grows, below the other it shrinks
GROWTH_FACTOR, SHRINK_FACTOR = 1.1, 0.75
MIN_UNITS_PER_SECOND_RATE = (
    1.0  # units a second below which no budget falls: nothing would be learnt any more
)
BURST_SECONDS = 1.0  # s of its rate that a budget saves up
IDLE_TIMEOUT_US = 60 * MICROSECONDS_PER_S  # after which a volume's store is forgotten


@dataclass(slots=True)
class SpilloverBucket:
    """Units that fill at a rate up to a most."""

    units_per_second: float
    capacity_units: float
    available_units: float
    updated_us: int

    def refill(self, now_us: int) -> float:
        self.available_units = min(
            self.available_units + self.units_per_second * (now_us - self.updated_us) / MICROSECONDS_PER_S,
            self.capacity_units,
        )
        self.updated_us = now_us
        return self.available_units


@dataclass(slots=True)
class SpilloverBudget:
    """What one front may spill."""

    settings: Settings
    initial_units_per_second: float  # units a second
    created_us: int
    units_per_second: float = 0.0
    bucket: SpilloverBucket = field(init=False)
    admitted_count: int = 0  # requests let through
    rejected_count: int = 0
    _in_time_count: int = 0
    _answered_count: int = 0
    _requested_units: float = 0.0  # units, since the last step
    _adjusted_us: int = 0
    _volume_buckets: dict[str, SpilloverBucket] = field(default_factory=dict)
    _plans: dict[str, tuple[float, float]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.units_per_second = max(
            self.units_per_second or self.initial_units_per_second, MIN_UNITS_PER_SECOND_RATE
        )
        self.bucket = SpilloverBucket(
            self.units_per_second,
            self.units_per_second * BURST_SECONDS,
            self.units_per_second * BURST_SECONDS,
            self.created_us,
        )
        self._plans = {
            p.name: (p.reserved_units_per_second, p.usual_units_per_second) for p in self.settings.plans
        }
        self._adjusted_us = self.created_us

    def tier_of(self, now_us: int, volume: str, plan: str, volume_front_count: int, units: float) -> str:
        """Which tier `units` of a volume fall in now: reserve, share or spare. This front's part of the
        plan's figures is an even one of the volume's fronts."""
        reserve, rate = self._plans.get(plan, (0.0, 0.0))
        volume_front_count = max(volume_front_count, 1)
        for tier, units_per_second in (
            ("reserve", reserve / volume_front_count),
            ("share", 2 * rate / volume_front_count),
        ):
            if units_per_second <= 0:
                continue
            key = f"{tier} {volume}"
            capacity_units = units_per_second + self.settings.max_request_units
            bucket = self._volume_buckets.get(key) or self._volume_buckets.setdefault(
                key, SpilloverBucket(units_per_second, capacity_units, capacity_units, now_us)
            )
            if bucket.refill(now_us) >= units:
                bucket.available_units -= units
                return tier
        return "spare"

    def try_admit(self, now_us: int, volume: str, plan: str, volume_front_count: int, units: float) -> bool:
        """Whether a request may spill."""
        self.adjust(now_us)
        available_units, tier = (
            self.bucket.refill(now_us),
            self.tier_of(now_us, volume, plan, volume_front_count, units),
        )
        self._requested_units += units
        reserved_ratio = {"reserve": 0.0, "share": 1 / 3, "spare": 2 / 3}[tier]
        # A reserve may overdraw by a second: what it is due is worth three times the next.
        min_remaining_units = (
            -self.bucket.capacity_units if tier == "reserve" else reserved_ratio * self.bucket.capacity_units
        )
        if available_units - units < min_remaining_units:
            self.rejected_count += 1
            return False
        self.bucket.available_units -= units
        self.admitted_count += 1
        return True

    def record_answer(self, now_us: int, in_time: bool) -> None:
        """How a request that was spilled went."""
        self._answered_count += 1
        self._in_time_count += in_time
        self.adjust(now_us)

    def adjust(self, now_us: int) -> None:
        """Learn, twice a second: grow only where it was asked for, shrink on the first poor half second."""
        if now_us - self._adjusted_us < ADJUSTMENT_INTERVAL_US:
            return
        if self._answered_count >= 4:
            in_time_ratio = self._in_time_count / self._answered_count
            requested_units_per_second = (
                self._requested_units * MICROSECONDS_PER_S / max(now_us - self._adjusted_us, 1)
            )
            if (
                in_time_ratio >= GROW_IN_TIME_RATIO
                and requested_units_per_second > 0.7 * self.units_per_second
            ):
                self._set_rate(now_us, self.units_per_second * GROWTH_FACTOR)
            elif in_time_ratio < SHRINK_IN_TIME_RATIO:
                self._set_rate(now_us, self.units_per_second * SHRINK_FACTOR)
            self._in_time_count = self._answered_count = 0
        self._requested_units, self._adjusted_us = 0.0, now_us
        if len(self._volume_buckets) > 1000:
            self._volume_buckets = {
                key: bucket
                for key, bucket in self._volume_buckets.items()
                if now_us - bucket.updated_us < IDLE_TIMEOUT_US
            }

    def _set_rate(self, now_us: int, units_per_second: float) -> None:
        self.bucket.refill(now_us)
        self.units_per_second = max(units_per_second, MIN_UNITS_PER_SECOND_RATE)
        self.bucket.units_per_second, self.bucket.capacity_units = (
            self.units_per_second,
            self.units_per_second * BURST_SECONDS,
        )
        self.bucket.available_units = min(self.bucket.available_units, self.bucket.capacity_units)
