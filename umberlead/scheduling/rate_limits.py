"""What this process may send for a volume, and what it owes it: its shares of buckets that all fronts share.

The rule (the operators' protocol page): for a plan with a limit each volume has one bucket over all fronts,
full at first, that fills at the limit's rate up to its burst. A request takes its units once, when its last
byte has come to an endpoint for the first time; the bucket may go below nothing by the slack.

Why the sum holds: a front has one share in `front_count` of rate and burst, and a process has its share of
the front's. Shares never add up to more than one, no bucket holds more than its share of the burst, and a
process that starts beside others starts with nothing: so all buckets together never hold more than the rule's
one. Beyond that there is half a share of the slack at the start of a front without a sibling process, which
can't know what was spent before. Fronts don't speak of it: how many serve a volume is known from its requests
alone.
"""

from dataclasses import dataclass

from umberlead.scheduling.events import AttemptResult, Outcome, Request
from umberlead.scheduling.pending_request import PendingRequest
from umberlead.scheduling.settings import Plan, Settings
from umberlead.scheduling.token_bucket import NEVER, TokenBucket

PROCESS_NOTICE_US = 100_000  # in which siblings learn of a new process; the slack bears a late one
MAX_SHARE_CHANGES_COUNT = 8  # that are remembered; before these, a volume not yet seen has nothing
START_SLACK_RATIO = 0.5  # of the slack, that a process without siblings starts with
# The endpoint answered: the request had come there completely.
RESULTS_OF_DELIVERY = (AttemptResult.OK, AttemptResult.ERROR, AttemptResult.REJECTED)


@dataclass(frozen=True, slots=True)
class BucketSize:
    """How fast a bucket fills, and how much it holds."""

    units_per_second: float
    capacity_units: float


@dataclass(frozen=True, slots=True)
class ShareChange:
    """From `at_us` on, this process has `share`, to 1, of its front."""

    at_us: int
    share: float


class VolumeLimit:
    """One volume's limit and entitlement.

    Attributes:
        front_count: through how many fronts the volume works.
        process_share: of its front, that this process has.
        last_request_us: when the volume's last request came.
        limit: this process's share of the volume's rate limit.
        entitlement: this front's share of the reserve, or of what the usual rate earns; kept in the mean, on
            credit.
    """

    def __init__(self, plan: Plan, front_count: int, settings: Settings, now_us: int) -> None:
        """Begin with a full entitlement and no limit: `start_limit` sets that."""
        self.front_count = front_count
        self.process_share = 1.0
        self.last_request_us = now_us
        self._plan = plan
        self._settings = settings
        self._lower_front_count = 0  # as requests tell lately, where it is below `front_count`
        self._lower_since_us = now_us
        size = self._entitlement_size()
        self.entitlement = TokenBucket(
            size.units_per_second, size.capacity_units, size.capacity_units, now_us
        )
        self.limit = TokenBucket(1.0, NEVER, NEVER, now_us)

    def start_limit(self, since_us: int, process_share: float, slack_ratio: float) -> None:
        """Set the limit as it was at `since_us`, with that part of the slack in it."""
        self.process_share = process_share
        size = self._limit_size()
        available_units = NEVER
        if size.capacity_units < NEVER:
            slack_units = self._plan.limit_slack_units * slack_ratio * process_share / self.front_count
            available_units = min(slack_units, size.capacity_units)
        self.limit = TokenBucket(size.units_per_second, size.capacity_units, available_units, since_us)

    def _limit_size(self) -> BucketSize:
        if not self._plan.limit_units_per_second:
            return BucketSize(1.0, NEVER)
        share = self.process_share / self.front_count
        return BucketSize(self._plan.limit_units_per_second * share, self._plan.limit_burst_units * share)

    def _entitlement_size(self) -> BucketSize:
        usual_units = self._settings.within_share_factor * self._plan.usual_units_per_second
        units_per_second = max(self._plan.reserved_units_per_second, usual_units) / self.front_count
        return BucketSize(units_per_second, units_per_second + self._settings.mean_request_units)

    def set_process_share(self, now_us: int, process_share: float) -> None:
        """Let the process have another share from now on."""
        self.process_share = process_share
        size = self._limit_size()
        self.limit.resize(now_us, size.units_per_second, size.capacity_units)

    def set_front_count(self, now_us: int, front_count: int, hold_us: int) -> None:
        """Take over the number of fronts that a request tells.

        More hold at once, fewer after `hold_us`: until then another front may still send what it took when
        there were more.
        """
        self.last_request_us = now_us
        if front_count < self.front_count:
            self._lower_since_us = self._lower_since_us if self._lower_front_count else now_us
            self._lower_front_count = max(self._lower_front_count, front_count)
            if now_us - self._lower_since_us < hold_us:
                return
            front_count = self._lower_front_count
        self._lower_front_count = 0
        if front_count != self.front_count:
            self._resize_for(now_us, front_count)

    def _resize_for(self, now_us: int, front_count: int) -> None:
        earlier_capacity_units = self.limit.capacity_units
        self.front_count = front_count
        size = self._limit_size()
        self.limit.refill(now_us)
        # A front that joins may have as much in its bucket as each of the others gives up.
        if size.capacity_units < earlier_capacity_units:
            self.limit.available_units -= earlier_capacity_units - size.capacity_units
        self.limit.resize(now_us, size.units_per_second, size.capacity_units)
        entitlement = self._entitlement_size()
        self.entitlement.resize(now_us, entitlement.units_per_second, entitlement.capacity_units)


class RateLimits(dict[str, VolumeLimit]):
    """The volumes seen lately, by name.

    Attributes:
        process_share: of its front, that this process has; 0 while it was not told.
    """

    def __init__(self, settings: Settings, started_us: int) -> None:
        """Begin with no volume known; `started_us` is the process's start."""
        super().__init__()
        self.process_share = 0.0
        self._settings = settings
        self._longest_timeout_us = max(cls.timeout_us for cls in settings.classes)
        # How the bucket of any volume started, and the changes of the share since then.
        self._first_change = ShareChange(started_us, 1.0)
        self._slack_ratio = START_SLACK_RATIO
        self._share_changes: list[ShareChange] = []
        self._is_unused = True

    def set_process_share(self, now_us: int, share: float) -> None:
        """Let this process have `share`, to 1, of what its front may send, from now on."""
        if self._is_unused and (share < self.process_share or not self.process_share):
            self._start_with(now_us, share)
        else:
            self._share_changes.append(ShareChange(now_us, share))
        self.process_share = share
        if len(self._share_changes) > MAX_SHARE_CHANGES_COUNT:
            self._first_change = self._share_changes.pop(0)
            self._slack_ratio = 0.0
        for volume in self.values():
            volume.set_process_share(now_us, share)

    def _start_with(self, now_us: int, share: float) -> None:
        """Start anew: beside siblings with empty buckets, once they know of this process."""
        self._share_changes = []
        if share < 1:
            self._first_change = ShareChange(now_us + PROCESS_NOTICE_US, share)
            self._slack_ratio = 0.0
        else:
            self._first_change = ShareChange(now_us, share)
            self._slack_ratio = START_SLACK_RATIO

    def record_request(self, request: Request, plan: Plan, now_us: int) -> None:
        """Note that a request came: its volume is known from here on, and its front count."""
        front_count = max(request.volume_front_count, 1)
        self._is_unused = False
        known = self.get(request.volume)
        if known is not None:
            known.set_front_count(now_us, front_count, self._longest_timeout_us)
            return
        volume = self[request.volume] = VolumeLimit(plan, front_count, self._settings, now_us)
        volume.start_limit(self._first_change.at_us, self._first_change.share, self._slack_ratio)
        for change in self._share_changes:
            volume.set_process_share(change.at_us, change.share)

    def wait_us(self, pending: PendingRequest, now_us: int) -> int:
        """Return how long until a request may be sent as far as its volume's limit is concerned."""
        if pending.charged_attempt is not None:
            return 0
        return self[pending.request.volume].limit.wait_us(now_us, pending.request.units)

    def charge(self, pending: PendingRequest) -> None:
        """Take the units of a request whose next attempt is sent, unless an earlier one took them."""
        if pending.charged_attempt is None:
            self[pending.request.volume].limit.available_units -= pending.request.units
            pending.charged_attempt = pending.attempt_count

    def record_outcome(self, pending: PendingRequest, outcome: Outcome) -> None:
        """Settle what an attempt took.

        What was never sent takes nothing. Where an endpoint answered, the request took its units, and a
        further attempt takes none. Else that is not known, and a further one is charged as well: it comes
        later than what was charged. A failed connection takes its units too: the simulator counts them.
        """
        was_delivered = outcome.result in RESULTS_OF_DELIVERY or outcome.misdirected
        if outcome.attempt != pending.charged_attempt or was_delivered:
            return
        pending.charged_attempt = None
        if outcome.result is AttemptResult.NOT_SENT and pending.request.volume in self:
            self[pending.request.volume].limit.give_back(pending.request.units)

    def forget_idle(self, now_us: int, idle_since_us: int) -> None:
        """Forget volumes that are silent since then and whose limit is full."""
        idle = [
            name
            for name, volume in self.items()
            if volume.last_request_us <= idle_since_us
            and not volume.limit.wait_us(now_us, volume.limit.capacity_units)
        ]
        for name in idle:
            del self[name]
