"""The budget of requests that spill over to further zones, and which requests have priority in it.

No I/O; times are in us. Spillover is work that other endpoints can do (new objects, reads of data that
several endpoints hold) and whose nearer zones are down. A budget in units per second bounds it, and is
learned from how much of the spillover is answered in time. Units that a plan reserves may take all of the
budget, units within the share of a plan only what exceeds a third of it, and other units only what exceeds
two thirds. Requests that are not admitted are rejected at once. Each front learns its own budget. Without
exchanging messages, the fronts together find the load that the remaining zones can bear, as senders on a
shared link find their rates.
"""

from dataclasses import dataclass, field

from umberlead.scheduling.settings import Settings
from umberlead.zones.model import MICROSECONDS_PER_S

ADJUSTMENT_INTERVAL_US = MICROSECONDS_PER_S // 2
MIN_ANSWERS_TO_ADJUST_COUNT = 4
GROW_IN_TIME_RATIO = 0.8  # part of the answers that must be in time for the budget to grow
SHRINK_IN_TIME_RATIO = 0.5  # the budget shrinks if a smaller part of the answers is in time
GROWTH_FACTOR = 1.1
SHRINK_FACTOR = 0.75
MIN_DEMAND_RATIO = 0.7  # part of the budget that must have been requested for it to grow
MIN_UNITS_PER_SECOND_RATE = 1.0  # at a lower rate too few answers would come to learn from
BURST_SECONDS = 1.0  # seconds of its rate that a budget can save up
IDLE_TIMEOUT_US = 60 * MICROSECONDS_PER_S  # idle time after which a volume's bucket may be dropped
MAX_VOLUME_BUCKETS_COUNT = 1000  # number of buckets beyond which idle ones are dropped
# Part of the bucket's capacity that must remain after a request of each tier is admitted. A reservation may
# instead overdraw the bucket by a second's rate, as reserved units are worth three times those of the next
# tier.
REMAINING_RATIO_BY_TIER = {"reserve": -1.0, "share": 1 / 3, "spare": 2 / 3}


@dataclass(slots=True)
class SpilloverBucket:
    """A token bucket of units.

    Attributes:
        units_per_second: The rate at which it fills.
        capacity_units: The most units that it holds.
        available_units: The units that it held at `updated_us`; below 0 if it is overdrawn.
        updated_us: When `available_units` was computed.
    """

    units_per_second: float
    capacity_units: float
    available_units: float
    updated_us: int

    def refill(self, now_us: int) -> float:
        """Return the units that are available now."""
        refilled_units = self.units_per_second * (now_us - self.updated_us) / MICROSECONDS_PER_S
        self.available_units = min(self.available_units + refilled_units, self.capacity_units)
        self.updated_us = now_us
        return self.available_units


@dataclass(slots=True)
class SpilloverBudget:
    """The budget of one front for requests that go to further zones.

    Attributes:
        settings: The settings with the plans.
        initial_units_per_second: The rate of the budget at first.
        created_us: The time of its creation.
        units_per_second: The current rate of the budget.
        bucket: The token bucket of the budget.
        admitted_count: Requests that were admitted.
        rejected_count: Requests that were rejected.
    """

    settings: Settings
    initial_units_per_second: float
    created_us: int
    units_per_second: float = 0.0
    bucket: SpilloverBucket = field(init=False)
    admitted_count: int = 0
    rejected_count: int = 0
    # Since the last adjustment:
    _in_time_count: int = 0
    _answered_count: int = 0
    _requested_units: float = 0.0
    _adjusted_us: int = 0
    _volume_buckets: dict[str, SpilloverBucket] = field(default_factory=dict)
    _plans: dict[str, tuple[float, float]] = field(default_factory=dict)  # reserved and usual units a second

    def __post_init__(self) -> None:
        """Start with a full bucket."""
        self.units_per_second = max(
            self.units_per_second or self.initial_units_per_second, MIN_UNITS_PER_SECOND_RATE
        )
        capacity_units = self.units_per_second * BURST_SECONDS
        self.bucket = SpilloverBucket(self.units_per_second, capacity_units, capacity_units, self.created_us)
        self._plans = {
            plan.name: (plan.reserved_units_per_second, plan.usual_units_per_second)
            for plan in self.settings.plans
        }
        self._adjusted_us = self.created_us

    def take_from_tier(
        self, now_us: int, volume: str, plan: str, volume_front_count: int, units: float
    ) -> str:
        """Take a request's units from the first tier of its volume that has them, and return that tier.

        The tiers are `reserve` (the plan's reserved rate), `share` (twice its usual rate) and `spare` (no
        limit). The rates of the plan are split evenly among the fronts of the volume.
        """
        reserved_units_per_second, usual_units_per_second = self._plans.get(plan, (0.0, 0.0))
        front_count = max(volume_front_count, 1)
        if self._take_units(now_us, f"reserve {volume}", reserved_units_per_second / front_count, units):
            return "reserve"
        if self._take_units(now_us, f"share {volume}", 2 * usual_units_per_second / front_count, units):
            return "share"
        return "spare"

    def _take_units(self, now_us: int, key: str, units_per_second: float, units: float) -> bool:
        """Take units from a bucket of one volume, and return whether it had them."""
        if units_per_second <= 0:
            return False
        bucket = self._volume_buckets.get(key)
        if bucket is None:
            capacity_units = units_per_second + self.settings.max_request_units
            bucket = SpilloverBucket(units_per_second, capacity_units, capacity_units, now_us)
            self._volume_buckets[key] = bucket
        if bucket.refill(now_us) < units:
            return False
        bucket.available_units -= units
        return True

    def try_admit(self, now_us: int, volume: str, plan: str, volume_front_count: int, units: float) -> bool:
        """Take a request's units from the budget, and return whether it may go to a further zone."""
        self.adjust(now_us)
        available_units = self.bucket.refill(now_us)
        tier = self.take_from_tier(now_us, volume, plan, volume_front_count, units)
        self._requested_units += units
        if available_units - units < REMAINING_RATIO_BY_TIER[tier] * self.bucket.capacity_units:
            self.rejected_count += 1
            return False
        self.bucket.available_units -= units
        self.admitted_count += 1
        return True

    def record_answer(self, now_us: int, in_time: bool) -> None:
        """Record the final answer to a request that was admitted."""
        self._answered_count += 1
        self._in_time_count += in_time
        self.adjust(now_us)

    def adjust(self, now_us: int) -> None:
        """Adjust the budget to the answers of the last interval, if that has ended.

        The budget grows only if most of it was requested. It shrinks after a single interval in which too few
        answers were in time.
        """
        interval_us = now_us - self._adjusted_us
        if interval_us < ADJUSTMENT_INTERVAL_US:
            return
        if self._answered_count >= MIN_ANSWERS_TO_ADJUST_COUNT:
            in_time_ratio = self._in_time_count / self._answered_count
            requested_per_second = self._requested_units * MICROSECONDS_PER_S / max(interval_us, 1)
            was_requested = requested_per_second > MIN_DEMAND_RATIO * self.units_per_second
            if in_time_ratio >= GROW_IN_TIME_RATIO and was_requested:
                self._set_rate(now_us, self.units_per_second * GROWTH_FACTOR)
            elif in_time_ratio < SHRINK_IN_TIME_RATIO:
                self._set_rate(now_us, self.units_per_second * SHRINK_FACTOR)
            self._in_time_count = 0
            self._answered_count = 0
        self._requested_units = 0.0
        self._adjusted_us = now_us
        if len(self._volume_buckets) > MAX_VOLUME_BUCKETS_COUNT:
            self._volume_buckets = {
                key: bucket
                for key, bucket in self._volume_buckets.items()
                if now_us - bucket.updated_us < IDLE_TIMEOUT_US
            }

    def _set_rate(self, now_us: int, units_per_second: float) -> None:
        bucket = self.bucket
        bucket.refill(now_us)
        self.units_per_second = max(units_per_second, MIN_UNITS_PER_SECOND_RATE)
        bucket.units_per_second = self.units_per_second
        bucket.capacity_units = self.units_per_second * BURST_SECONDS
        bucket.available_units = min(bucket.available_units, bucket.capacity_units)
