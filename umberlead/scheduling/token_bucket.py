"""A bucket of units that fills with time: limits and what is due are kept in these."""

NEVER = float("inf")  # when only news can change things
MAX_WAIT_US = 1e15  # us: a wait beyond it, at a rate of next to nothing, is no whole number


class TokenBucket:
    """A bucket of units, filling at `rate` a second up to `most`; from `now` on, which may lie ahead."""

    def __init__(self, rate: float, most: float, have: float, now: int) -> None:
        self.units_per_us, self.capacity_units, self.available_units, self.updated_us = (
            rate / 1e6,
            most,
            have,
            now,
        )

    def refill(self, now: int) -> None:
        if now > self.updated_us:
            self.available_units, self.updated_us = (
                min(self.available_units + (now - self.updated_us) * self.units_per_us, self.capacity_units),
                now,
            )

    def wait_us(self, now: int, units: float) -> int:
        """How long (us) until `units` are there."""
        self.refill(now)
        if units <= self.available_units:
            return 0
        return (
            max(self.updated_us - now, 0)
            + int(min((units - self.available_units) / (self.units_per_us or NEVER), MAX_WAIT_US))
            + 1
        )

    def resize(self, now: int, rate: float, most: float) -> None:
        """From `now` on it fills at another rate up to another height; what stands above that is lost."""
        self.refill(now)
        self.units_per_us, self.capacity_units, self.available_units = (
            rate / 1e6,
            most,
            min(self.available_units, most),
        )

    def give_back(self, units: float) -> None:
        """Units that were taken and not used come back."""
        self.available_units = min(self.available_units + units, self.capacity_units)
