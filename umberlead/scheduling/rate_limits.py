"""What a head may send for a volume, and what it owes it: its parts of stores that all fronts share.

The rule (BENCH, WIRE, PROTOCOL): for a plan with a limit each volume has one store for all fronts, full at
first, that fills at the limit's rate up to its burst. A request takes its units once, when its last byte has
come to a chunk server for the first time; the store may go below nothing by the slack.

Why the sum holds: a front has one part in `writers` of rate and burst, and a process has its part of the
front's. Parts never add up to more than one, no store holds more than its part of the burst, and who begins
beside others begins with nothing: so all stores together never hold more than the rule's one. Beyond that
there is half a part of the slack at the birth of a front that nobody stands beside, which can't know what was
spent before. Fronts don't speak of it: how many send for a volume is known from `writers` alone."""

from umberlead.scheduling import interface as api
from umberlead.scheduling.interface import Result
from umberlead.scheduling.pending_request import Item
from umberlead.scheduling.token_bucket import NEVER, Store

NOTICE = 100_000  # us in which others learn of a new process, by their next look; the slack bears a late one
CHANGES = 8  # of the part that are remembered; before these, a volume not yet seen has nothing
CAME = (Result.OK, Result.ERROR, Result.FULL)  # its node answered: the request had come there whole


class Volume:
    """`limit` is this process's part; `due`, the reserve or what the usual rate earns, this front's, and kept
    in the mean, on credit."""

    def __init__(self, plan: api.Plan, writers: int, s: api.Settings, now: int) -> None:
        self.plan, self.s, self.writers, self.part = plan, s, writers, 1.0
        self.seen, self.fewer, self.fewer_since = now, 0, now  # told of late, where it is below `writers`
        owed, most = self._owed()
        self.due, self.limit = Store(owed, most, most, now), Store(1.0, NEVER, NEVER, now)

    def begin(self, since: int, part: float, credit: float) -> None:
        """The limit's store as it was at `since` (us), with that part of the slack in it."""
        self.part = part
        rate, most = self._limit()
        have = self.plan.limit_slack * credit * part / self.writers if most < NEVER else NEVER
        self.limit = Store(rate, most, min(have, most), since)

    def _limit(self) -> tuple[float, float]:
        if not self.plan.limit_rate:
            return 1.0, NEVER
        part = self.part / self.writers
        return self.plan.limit_rate * part, self.plan.limit_burst * part

    def _owed(self) -> tuple[float, float]:
        owed = max(self.plan.reserve, self.s.fair_worth * self.plan.rate) / self.writers
        return owed, owed + self.s.mean_units

    def share(self, now: int, part: float) -> None:
        """The process has another part from `now` on."""
        self.part = part
        self.limit.fit(now, *self._limit())

    def through(self, now: int, writers: int, hold: int) -> None:
        """A request tells of `writers`. More hold at once, fewer after `hold` (us): until then another front
        may still send what it took when there were more."""
        self.seen = now
        if writers < self.writers:
            self.fewer_since = self.fewer_since if self.fewer else now
            self.fewer = max(self.fewer, writers)
            if now - self.fewer_since < hold:
                return
            writers = self.fewer
        self.fewer = 0
        if writers != self.writers:
            before, self.writers = self.limit.most, writers
            rate, most = self._limit()
            self.limit.fill(now)
            if most < before:  # whoever joins may have as much in its store as each of the others gives up
                self.limit.have -= before - most
            self.limit.fit(now, rate, most)
            self.due.fit(now, *self._owed())


class Volumes(dict[str, Volume]):
    """The volumes that a head has seen of late, by name."""

    def __init__(self, s: api.Settings, born: int) -> None:
        super().__init__()
        self.s, self.hold = s, max(c.deadline for c in s.classes)
        self.since, self.first, self.credit = born, 1.0, 0.5  # how the store of any volume began
        self.changes: list[tuple[int, float]] = []  # of the part since then: when, and to what
        self.fresh, self.part = True, 0.0  # nothing was asked yet; the part told last, 0 for none

    def share(self, now: int, part: float) -> None:
        """This process has `part` (to 1) of what its front may send, from `now` (us) on."""
        if self.fresh and (part < self.part or not self.part):  # it begins; beside others with nothing
            self.since, self.first, self.credit, self.changes = now, part, 0.5, []
            if part < 1:
                self.since, self.credit = now + NOTICE, 0.0
        else:
            self.changes.append((now, part))
        self.part = part
        if len(self.changes) > CHANGES:
            (self.since, self.first), self.credit = self.changes.pop(0), 0.0
        for volume in self.values():
            volume.share(now, part)

    def asked(self, req: api.Request, plan: api.Plan, now: int) -> None:
        """A request came: its volume is known from here on, and through how many fronts it works."""
        writers, self.fresh = max(req.writers, 1), False
        if (known := self.get(req.volume)) is not None:
            known.through(now, writers, self.hold)
            return
        volume = self[req.volume] = Volume(plan, writers, self.s, now)
        volume.begin(self.since, self.first, self.credit)
        for at, part in self.changes:
            volume.share(at, part)

    def wait(self, item: Item, now: int) -> int:
        """How long (us) until `item` may go as far as its volume's limit is concerned."""
        return 0 if item.paid is not None else self[item.req.volume].limit.wait(now, item.req.units)

    def charge(self, item: Item) -> None:
        """The next attempt of `item` goes out."""
        if item.paid is None:
            self[item.req.volume].limit.have -= item.req.units
            item.paid = item.tries

    def ended(self, item: Item, e: api.Outcome) -> None:
        """What was never sent takes nothing. Where a node answered, the request took its units, and a further
        attempt takes none. Else that is not known, and a further one is charged as well: it comes later than
        what was charged. A failed connection takes its units too: the simulator counts them."""
        if e.attempt != item.paid or e.result in CAME or e.astray:
            return
        item.paid = None
        if e.result is Result.MOOT and item.req.volume in self:
            self[item.req.volume].limit.give(item.req.units)

    def forget(self, now: int, old: int) -> None:
        """Volumes silent since `old` go once their store is full: a new one would hold no more."""
        for name in [k for k, v in self.items() if v.seen <= old and not v.limit.wait(now, v.limit.most)]:
            del self[name]
