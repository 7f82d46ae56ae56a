"""A token bucket: rate limits and entitlements are kept in these."""

NEVER = float("inf")  # when only an event can change things
MICROSECONDS_PER_SECOND = 1e6
MAX_WAIT_US = 1e15  # a longer wait, at a rate of next to nothing, is no whole number


class TokenBucket:
    """A bucket of units that fills with time, up to its capacity.

    Attributes:
        units_per_us: the rate at which it fills.
        capacity_units: what it holds at most.
        available_units: what it held at `updated_us`; below nothing it is on credit.
        updated_us: when it was last refilled; ahead of now, it does not fill until then.
    """

    def __init__(
        self, units_per_second: float, capacity_units: float, available_units: float, now_us: int
    ) -> None:
        """Begin at `now_us`, which may lie ahead, with `available_units` in it."""
        self.units_per_us = units_per_second / MICROSECONDS_PER_SECOND
        self.capacity_units = capacity_units
        self.available_units = available_units
        self.updated_us = now_us

    def refill(self, now_us: int) -> None:
        """Add what came since the last refill."""
        if now_us > self.updated_us:
            added_units = (now_us - self.updated_us) * self.units_per_us
            self.available_units = min(self.available_units + added_units, self.capacity_units)
            self.updated_us = now_us

    def wait_us(self, now_us: int, units: float) -> int:
        """Return how long until `units` are there; 0 where they are."""
        self.refill(now_us)
        if units <= self.available_units:
            return 0
        begins_in_us = max(self.updated_us - now_us, 0)
        fills_in_us = (units - self.available_units) / (self.units_per_us or NEVER)
        return begins_in_us + int(min(fills_in_us, MAX_WAIT_US)) + 1

    def resize(self, now_us: int, units_per_second: float, capacity_units: float) -> None:
        """Fill at another rate up to another capacity from now on; what is above that is lost."""
        self.refill(now_us)
        self.units_per_us = units_per_second / MICROSECONDS_PER_SECOND
        self.capacity_units = capacity_units
        self.available_units = min(self.available_units, capacity_units)

    def give_back(self, units: float) -> None:
        """Put units back that were taken and not used."""
        self.available_units = min(self.available_units + units, self.capacity_units)
