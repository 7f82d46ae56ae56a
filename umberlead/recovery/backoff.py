"""When to call again at a service that a whole fleet calls, after a break or a no. No I/O.

What one front does by itself is harmless: it calls again after 0.1 s. Where all do it, a service that
answers in turn and turns away what has waited too long is held down for good: its queue is full of calls
that will be turned away, and each comes back as a new one. So a front counts the whole fleet. Each member
has a place of its own in every window, drawn once: in any window the fleet calls once a member, evenly, and
no faster when windows follow one another.

A window is bounded, so that news is known in time, however large the fleet. Only where a call was turned
away after it had waited its turn is the service known to get more than it takes. A fleet that it can't
answer within the bound then waits until its queue is worked off, and calls again no faster than it answers:
sooner, nobody is told. docs/measurements/news.md has the figures."""

import random

BOUND = 6_000_000  # us after discovery had a change and could be reached by which it counts as told
TURN = 2_000_000  # us that a service lets a call wait its turn before it says no
MARGIN = 150_000  # us for the network, the timers' ticks and a busy machine
LIMIT = BOUND - TURN - MARGIN  # us from the last sign of life to the next call, that call's turn not counted
FIRST, LAST = 100_000, 2_000_000  # us: windows of a front that is alone
GAP = FIRST // 2  # us between a failure and the next call at the least
BURST = 10  # calls a second of the whole fleet after a break: what waits a moment is answered in turn
STEADY = 5  # calls a second that a service is thought to answer at least: some 7 were seen
AT_ONCE = 500_000  # us: where the burst is over in that time a new process need not wait
LONGEST = 60_000_000  # us: no service is thought to be further behind, however large the fleet


class Backoff:
    """Pauses between calls of one member of a fleet of `fleet` that may all have broken at once."""

    def __init__(self, fleet: int = 1, chance: random.Random | None = None) -> None:
        self.fleet, self.chance = max(fleet, 1), chance or random.Random()
        self.place = self.chance.random()  # in each window
        self.failed = 0  # calls in a row that brought no list
        self.waited = 0  # of these, turned away after they had waited their turn

    def window(self) -> int:
        """Us within which the next call falls: from a burst that the service's waiting room takes it doubles
        with each failure, to LIMIT at most."""
        steady = self.fleet * 1_000_000 // STEADY
        return min(self._burst() << min(self.failed, 16), max(LAST, steady), LIMIT)

    def next(self, now: int, room: int = LIMIT, asked: int = 0, waited: bool = False) -> int:
        """Us from `now` until the next call. The first after a break falls anywhere in its window; while
        windows grow, later ones keep at least half of it, so that the mean rate falls with it. `room`: us
        that are left of the bound, as what a call has hung is part of it; `asked`: the service's Retry-After
        in us, kept as far as there is room; `waited`: the call was turned away after it waited its turn."""
        self.waited += waited
        window, room, again = self.window(), max(room, FIRST), self.failed > 0
        self.failed += 1
        if self.waited and (behind := self._behind()):
            return self._placed(now, behind, 2 * behind)  # what is in the queue goes first
        wait = self._placed(
            now, window // 2 if window < LIMIT and (again or self.fleet == 1) else GAP, window
        )
        if wait > room:  # its place comes too late: another, still spread over what is left
            wait = self._placed(now, GAP, room)
        return max(wait, min(asked, room))

    def _placed(self, now: int, low: int, high: int) -> int:
        """Us until this member's place among all that wait from `low` to less than `high`."""
        turn = high - low
        return low + (int(self.place * turn) - now - low) % turn

    def _behind(self) -> int:
        """Us that the service is behind with the fleet's calls; 0 where it can't be, or the fleet is so small
        that a no after a wait has another cause. It doubles with each call in a row that was turned away."""
        behind = self.fleet * 1_000_000 // STEADY - LIMIT - TURN
        return min(max(behind, LAST) << min(self.waited - 1, 8), LONGEST) if behind > 0 else 0

    def alone(self) -> int:
        """Us until the next call at a service of this member's own: nobody else is held up by it."""
        return int(FIRST * (0.5 + 0.5 * self.chance.random()))

    def start(self) -> int:
        """Us until a new process's first call: a release starts much of a fleet at once. A small one
        need not wait."""
        window = self._burst()
        return int(window * self.place) if window > AT_ONCE else 0

    def _burst(self) -> int:
        return min(max(self.fleet * 1_000_000 // BURST, FIRST), LIMIT)

    def emptied(self) -> None:
        """Nobody listens there any longer: who waited in turn waits no more."""
        self.waited = 0

    def worked(self) -> None:
        """A list came: only that is a sign of life, an answer that says no is none."""
        self.failed = self.waited = 0
