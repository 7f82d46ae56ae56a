"""When to call again at a service that a whole fleet calls, after a break or a no.

What one front does by itself is harmless: it calls again after 0.1 s. Where all do it, a service that answers
in turn and turns away what has waited too long is held down for good: its queue is full of calls that will be
turned away, and each comes back as a new one. So a front counts the whole fleet: the pauses are drawn from
windows in which all of it calls no faster than the service is thought to bear."""

import random

FIRST, LAST = 100_000, 2_000_000  # us: windows of a front that is alone
BURST = 10  # calls a second of the whole fleet after a break: what waits a moment is answered in turn
BURST_MOST = 5_000_000  # us over which that is spread at most: a drain has to be known in 6 s
STEADY = 5  # calls a second of the whole fleet where calls are turned away
AT_ONCE = 500_000  # us: where the burst is over in that time a new process need not wait
ASKED_MOST = 30_000_000  # us: the most of a Retry-After that is kept to; a longer one is a fault of its own
LONGEST = 60_000_000  # us: no pause is longer, however large the fleet


class Backoff:
    """Pauses between calls of one member of a fleet of `fleet` that may all have broken at once."""

    def __init__(self, fleet: int = 1, chance: random.Random | None = None) -> None:
        self.fleet, self.chance = max(fleet, 1), chance or random.Random()
        self.refused = 0  # calls in a row that were turned away

    def window(self) -> int:
        """Us within which the next call falls. It doubles with each call in a row that was turned away, from
        a burst that the service's waiting room takes to a rate that it bears for good."""
        first = max(FIRST, self._burst())
        last = max(LAST, self.fleet * 1_000_000 // STEADY)
        return min(first << min(self.refused, 16), last, LONGEST)

    def next(self, asked: int = 0) -> int:
        """Us until the next call; `asked`, the service's Retry-After in us. The first after a break falls
        anywhere in its window; later ones keep at least half of it, so that the mean rate falls with it."""
        low = 0.5 if self.refused or self.fleet == 1 else 0.0
        drawn = int(self.window() * (low + (1 - low) * self.chance.random()))
        self.refused += 1
        return max(drawn, min(asked, ASKED_MOST))

    def alone(self, asked: int = 0) -> int:
        """Us until the next call at a service of this member's own: nobody else is held up by it."""
        drawn = int(FIRST * (0.5 + 0.5 * self.chance.random()))
        return max(drawn, min(asked, ASKED_MOST))

    def start(self) -> int:
        """Us until a new process's first call: a release starts much of a fleet at once. A small one
        need not wait."""
        window = self._burst()
        return int(window * self.chance.random()) if window > AT_ONCE else 0

    def _burst(self) -> int:
        return min(self.fleet * 1_000_000 // BURST, BURST_MOST)

    def worked(self) -> None:
        """A list came: only that is a sign of life, an answer that says no is none."""
        self.refused = 0
