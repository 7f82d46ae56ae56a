"""A token bucket, used for rate limits and entitlements."""

NEVER = float("inf")  # for a time: not before some event; for units: no limit
MICROSECONDS_PER_SECOND = 1e6
MAX_WAIT_US = 1e15  # upper bound of waits; at a tiny rate, a wait may be infinite


class TokenBucket:
    """A bucket of units that fills at a constant rate up to its capacity.

    Attributes:
        units_per_us: fill rate.
        capacity_units: maximum of units in the bucket.
        available_units: units in the bucket at `updated_us`; negative if it is overdrawn.
        held_units: units that were taken here and are not used yet; the bucket fills up to its capacity less
            these.
        updated_us: time of the last refill. If it is in the future, the bucket does not fill until then.
    """

    def __init__(
        self, units_per_second: float, capacity_units: float, available_units: float, now_us: int
    ) -> None:
        """Create a bucket that holds `available_units` at `now_us`, which may be in the future."""
        self.units_per_us = units_per_second / MICROSECONDS_PER_SECOND
        self.capacity_units = capacity_units
        self.available_units = available_units
        self.held_units = 0.0
        self.updated_us = now_us

    def refill(self, now_us: int) -> None:
        """Add the units for the time since the last refill."""
        if now_us > self.updated_us:
            added_units = (now_us - self.updated_us) * self.units_per_us
            self.available_units = min(self.available_units + added_units, self._fill_limit_units())
            self.updated_us = now_us

    def _fill_limit_units(self) -> float:
        return self.capacity_units - self.held_units

    def hold(self, now_us: int, units: float) -> None:
        """Record that units that were taken will be used later than now."""
        self.refill(now_us)
        self.held_units += units

    def release(self, now_us: int, units: float) -> None:
        """Record that units that were held are used now, or never will be."""
        self.refill(now_us)
        self.held_units = max(self.held_units - units, 0.0)

    def wait_us(self, now_us: int, units: float) -> int:
        """Return how long until `units` are available; 0 if they are now."""
        self.refill(now_us)
        if units <= self.available_units:
            return 0
        begins_in_us = max(self.updated_us - now_us, 0)
        fills_in_us = (units - self.available_units) / (self.units_per_us or NEVER)
        return begins_in_us + int(min(fills_in_us, MAX_WAIT_US)) + 1

    def resize(self, now_us: int, units_per_second: float, capacity_units: float) -> None:
        """Change the fill rate and the capacity from now on; units over the new capacity are dropped."""
        self.refill(now_us)
        self.units_per_us = units_per_second / MICROSECONDS_PER_SECOND
        self.capacity_units = capacity_units
        self.available_units = min(self.available_units, self._fill_limit_units())

    def return_units(self, units: float) -> None:
        """Return units that were taken and not used."""
        self.available_units = min(self.available_units + units, self._fill_limit_units())
