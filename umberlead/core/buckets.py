"""A bucket of units that fills with time: limits and what is due are kept in these."""

NEVER = float("inf")  # when only news can change things


class Store:
    """A bucket of units, filling at `rate` a second up to `most`."""

    def __init__(self, rate: float, most: float, have: float, now: int) -> None:
        self.rate, self.most, self.have, self.at = rate / 1e6, most, have, now

    def wait(self, now: int, units: float) -> int:
        """How long until `units` are there."""
        self.have, self.at = min(self.have + (now - self.at) * self.rate, self.most), now
        return 0 if units <= self.have else int((units - self.have) / (self.rate or NEVER)) + 1
