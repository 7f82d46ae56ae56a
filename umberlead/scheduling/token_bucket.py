"""A bucket of units that fills with time: limits and what is due are kept in these."""

NEVER = float("inf")  # when only news can change things
LONGEST = 1e15  # us: a wait beyond it, at a rate of next to nothing, is no whole number


class Store:
    """A bucket of units, filling at `rate` a second up to `most`; from `now` on, which may lie ahead."""

    def __init__(self, rate: float, most: float, have: float, now: int) -> None:
        self.rate, self.most, self.have, self.at = rate / 1e6, most, have, now

    def fill(self, now: int) -> None:
        if now > self.at:
            self.have, self.at = min(self.have + (now - self.at) * self.rate, self.most), now

    def wait(self, now: int, units: float) -> int:
        """How long (us) until `units` are there."""
        self.fill(now)
        if units <= self.have:
            return 0
        return max(self.at - now, 0) + int(min((units - self.have) / (self.rate or NEVER), LONGEST)) + 1

    def fit(self, now: int, rate: float, most: float) -> None:
        """From `now` on it fills at another rate up to another height; what stands above that is lost."""
        self.fill(now)
        self.rate, self.most, self.have = rate / 1e6, most, min(self.have, most)

    def give(self, units: float) -> None:
        """Units that were taken and not used come back."""
        self.have = min(self.have + units, self.most)
