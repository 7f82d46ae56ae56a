"""What a head may send for a volume, and what it owes it: its parts of stores that all fronts share.

The rule (BENCH, WIRE, PROTOCOL): for a plan with a limit each volume has one store for all fronts, full at
first, that fills at the limit's rate up to its burst. A request takes its units once, when its last byte has
come to a chunk server for the first time; the store may go below nothing by the slack.

Why the sum holds: a front has one part in `writers` of rate and burst, and a process has its part of the
front's. Parts never add up to more than one, no store holds more than its part of the burst, and who begins
beside others begins with nothing: so all stores together never hold more than the rule's one. Beyond that
there is half a part of the slack at the birth of a front that nobody stands beside, which can't know what was
spent before. Fronts don't speak of it: how many send for a volume is known from `writers` alone."""

from umberlead.scheduling.events import AttemptResult, Outcome, Request
from umberlead.scheduling.pending_request import PendingRequest
from umberlead.scheduling.settings import Plan, Settings
from umberlead.scheduling.token_bucket import NEVER, TokenBucket

PROCESS_NOTICE_US = (
    100_000  # us in which others learn of a new process, by their next look; the slack bears a late one
)
MAX_SHARE_CHANGES = 8  # of the part that are remembered; before these, a volume not yet seen has nothing
RESULTS_OF_DELIVERY = (
    AttemptResult.OK,
    AttemptResult.ERROR,
    AttemptResult.REJECTED,
)  # its node answered: the request had come there whole


class VolumeLimit:
    """`limit` is this process's part; `due`, the reserve or what the usual rate earns, this front's, and kept
    in the mean, on credit."""

    def __init__(self, plan: Plan, writers: int, s: Settings, now: int) -> None:
        self.plan, self.settings, self.front_count, self.process_share = plan, s, writers, 1.0
        self.last_request_us, self.lower_front_count, self.lower_since_us = (
            now,
            0,
            now,
        )  # told of late, where it is below `writers`
        owed, most = self._owed()
        self.entitlement, self.limit = TokenBucket(owed, most, most, now), TokenBucket(1.0, NEVER, NEVER, now)

    def start_limit(self, since: int, part: float, credit: float) -> None:
        """The limit's store as it was at `since` (us), with that part of the slack in it."""
        self.process_share = part
        rate, most = self._limit()
        have = self.plan.limit_slack_units * credit * part / self.front_count if most < NEVER else NEVER
        self.limit = TokenBucket(rate, most, min(have, most), since)

    def _limit(self) -> tuple[float, float]:
        if not self.plan.limit_units_per_second:
            return 1.0, NEVER
        part = self.process_share / self.front_count
        return self.plan.limit_units_per_second * part, self.plan.limit_burst_units * part

    def _owed(self) -> tuple[float, float]:
        owed = (
            max(
                self.plan.reserved_units_per_second,
                self.settings.within_share_factor * self.plan.usual_units_per_second,
            )
            / self.front_count
        )
        return owed, owed + self.settings.mean_request_units

    def set_process_share(self, now: int, part: float) -> None:
        """The process has another part from `now` on."""
        self.process_share = part
        self.limit.resize(now, *self._limit())

    def set_front_count(self, now: int, writers: int, hold: int) -> None:
        """A request tells of `writers`. More hold at once, fewer after `hold` (us): until then another front
        may still send what it took when there were more."""
        self.last_request_us = now
        if writers < self.front_count:
            self.lower_since_us = self.lower_since_us if self.lower_front_count else now
            self.lower_front_count = max(self.lower_front_count, writers)
            if now - self.lower_since_us < hold:
                return
            writers = self.lower_front_count
        self.lower_front_count = 0
        if writers != self.front_count:
            before, self.front_count = self.limit.capacity_units, writers
            rate, most = self._limit()
            self.limit.refill(now)
            if most < before:  # whoever joins may have as much in its store as each of the others gives up
                self.limit.available_units -= before - most
            self.limit.resize(now, rate, most)
            self.entitlement.resize(now, *self._owed())


class RateLimits(dict[str, VolumeLimit]):
    """The volumes that a head has seen of late, by name."""

    def __init__(self, s: Settings, born: int) -> None:
        super().__init__()
        self.settings, self.longest_timeout_us = s, max(c.timeout_us for c in s.classes)
        self.buckets_since_us, self.first_share, self.slack_credit = (
            born,
            1.0,
            0.5,
        )  # how the store of any volume began
        self.share_changes: list[tuple[int, float]] = []  # of the part since then: when, and to what
        self.unused, self.process_share = True, 0.0  # nothing was asked yet; the part told last, 0 for none

    def set_process_share(self, now: int, part: float) -> None:
        """This process has `part` (to 1) of what its front may send, from `now` (us) on."""
        if self.unused and (
            part < self.process_share or not self.process_share
        ):  # it begins; beside others with nothing
            self.buckets_since_us, self.first_share, self.slack_credit, self.share_changes = (
                now,
                part,
                0.5,
                [],
            )
            if part < 1:
                self.buckets_since_us, self.slack_credit = now + PROCESS_NOTICE_US, 0.0
        else:
            self.share_changes.append((now, part))
        self.process_share = part
        if len(self.share_changes) > MAX_SHARE_CHANGES:
            (self.buckets_since_us, self.first_share), self.slack_credit = self.share_changes.pop(0), 0.0
        for volume in self.values():
            volume.set_process_share(now, part)

    def record_request(self, req: Request, plan: Plan, now: int) -> None:
        """A request came: its volume is known from here on, and through how many fronts it works."""
        writers, self.unused = max(req.volume_front_count, 1), False
        if (known := self.get(req.volume)) is not None:
            known.set_front_count(now, writers, self.longest_timeout_us)
            return
        volume = self[req.volume] = VolumeLimit(plan, writers, self.settings, now)
        volume.start_limit(self.buckets_since_us, self.first_share, self.slack_credit)
        for at, part in self.share_changes:
            volume.set_process_share(at, part)

    def wait_us(self, item: PendingRequest, now: int) -> int:
        """How long (us) until `item` may go as far as its volume's limit is concerned."""
        return (
            0
            if item.charged_attempt is not None
            else self[item.request.volume].limit.wait_us(now, item.request.units)
        )

    def charge(self, item: PendingRequest) -> None:
        """The next attempt of `item` goes out."""
        if item.charged_attempt is None:
            self[item.request.volume].limit.available_units -= item.request.units
            item.charged_attempt = item.attempt_count

    def record_outcome(self, item: PendingRequest, e: Outcome) -> None:
        """What was never sent takes nothing. Where a node answered, the request took its units, and a further
        attempt takes none. Else that is not known, and a further one is charged as well: it comes later than
        what was charged. A failed connection takes its units too: the simulator counts them."""
        if e.attempt != item.charged_attempt or e.result in RESULTS_OF_DELIVERY or e.misdirected:
            return
        item.charged_attempt = None
        if e.result is AttemptResult.NOT_SENT and item.request.volume in self:
            self[item.request.volume].limit.give_back(item.request.units)

    def forget_idle(self, now: int, old: int) -> None:
        """Volumes silent since `old` go once their store is full: a new one would hold no more."""
        for name in [
            k
            for k, v in self.items()
            if v.last_request_us <= old and not v.limit.wait_us(now, v.limit.capacity_units)
        ]:
            del self[name]
