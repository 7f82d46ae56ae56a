"""Rate limits and entitlements of volumes: this process's shares of token buckets over all fronts.

The rule, as the operators' protocol states it: if the plan has a rate limit, each volume has one bucket over
all fronts. It is full at first and fills at the limit's rate up to the burst. A request takes its units once,
when its last byte reaches an endpoint for the first time. The bucket may be overdrawn by the slack.

The rate and burst of that bucket are divided among the fronts (1 / `front_count` each) and then among the
processes of a front. The shares never add up to more than 1, no bucket holds more than its share of the
burst, and a process that starts beside siblings starts with an empty bucket. So all buckets together never
hold more than the one bucket of the rule. A front that starts without a sibling process can't know what was
used before and starts with half of its share of the slack. Fronts do not coordinate: each request carries the
number of fronts that serve its volume.

A request is charged when it is sent. Until its last byte is written its units are still in the bucket of the
rule, which fills no further than its capacity. So a share fills only up to its capacity less such units.
"""

from dataclasses import dataclass

from umberlead.scheduling.events import AttemptResult, Outcome, Request
from umberlead.scheduling.pending_request import PendingRequest
from umberlead.scheduling.settings import Plan, Settings
from umberlead.scheduling.token_bucket import NEVER, TokenBucket

SIBLING_DISCOVERY_US = 100_000  # until siblings notice a new process; the slack covers a late one
MAX_TRACKED_VOLUMES_COUNT = 4096  # above it, idle volumes are forgotten early
EARLY_FORGET_INTERVAL_US = 500_000
MAX_SHARE_CHANGES_COUNT = 8  # kept; a new volume's bucket starts empty at the last one dropped
START_SLACK_RATIO = 0.5  # of its share of the slack, available at the start of a process without siblings
# Results with an answer of the endpoint, which means that it had received the whole request.
RESULTS_OF_DELIVERY = (AttemptResult.OK, AttemptResult.ERROR, AttemptResult.REJECTED)


@dataclass(frozen=True, slots=True)
class BucketSize:
    """The fill rate and the capacity of a token bucket."""

    units_per_second: float
    capacity_units: float


@dataclass(frozen=True, slots=True)
class ShareChange:
    """From `at_us` on, this process has `share`, up to 1, of its front."""

    at_us: int
    share: float


class VolumeLimit:
    """The rate limit and the entitlement of one volume.

    Attributes:
        front_count: number of fronts that serve the volume.
        process_share: this process's share of its front.
        last_request_us: arrival of the volume's last request.
        limit: bucket of this process's share of the volume's rate limit.
        entitlement: bucket of this front's share of the rate to which the volume is entitled: the reserved
            rate, or the usual rate times `within_share_factor` if that is higher. A large request may
            overdraw it, so the rate is kept on average.
    """

    def __init__(self, plan: Plan, front_count: int, settings: Settings, now_us: int) -> None:
        """Create a volume with a full entitlement and no limit; `start_limit` sets the limit."""
        self.front_count = front_count
        self.process_share = 1.0
        self.last_request_us = now_us
        self._plan = plan
        self._settings = settings
        self._lower_front_count = 0  # from recent requests, if below `front_count`; else 0
        self._lower_since_us = now_us
        size = self._entitlement_size()
        self.entitlement = TokenBucket(
            size.units_per_second, size.capacity_units, size.capacity_units, now_us
        )
        self.limit = TokenBucket(1.0, NEVER, NEVER, now_us)

    def start_limit(self, since_us: int, process_share: float, slack_ratio: float) -> None:
        """Start the limit's bucket at `since_us` with `slack_ratio` of this process's share of the slack."""
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
        """Change this process's share from now on."""
        self.process_share = process_share
        size = self._limit_size()
        self.limit.resize(now_us, size.units_per_second, size.capacity_units)

    def set_front_count(self, now_us: int, front_count: int, decrease_delay_us: int) -> None:
        """Apply the number of fronts that a request carries.

        A higher number applies at once, a lower one after `decrease_delay_us`. Until then, another front may
        still send requests that it accepted under the higher number.
        """
        self.last_request_us = now_us
        if front_count < self.front_count:
            self._lower_since_us = self._lower_since_us if self._lower_front_count else now_us
            self._lower_front_count = max(self._lower_front_count, front_count)
            if now_us - self._lower_since_us < decrease_delay_us:
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
        # The bucket of a front that joins may already hold what the other fronts give up here.
        if size.capacity_units < earlier_capacity_units:
            self.limit.available_units -= earlier_capacity_units - size.capacity_units
        self.limit.resize(now_us, size.units_per_second, size.capacity_units)
        entitlement = self._entitlement_size()
        self.entitlement.resize(now_us, entitlement.units_per_second, entitlement.capacity_units)


class RateLimits(dict[str, VolumeLimit]):
    """The volumes that had requests recently, by name.

    Attributes:
        process_share: this process's share of its front; 0 until it is known.
    """

    def __init__(self, settings: Settings, started_us: int) -> None:
        """Create an empty table; `started_us` is the start time of the process."""
        super().__init__()
        self.process_share = 0.0
        self._settings = settings
        self._longest_timeout_us = max(cls.timeout_us for cls in settings.classes)
        # The start of every volume's bucket, and the changes of the share since then.
        self._first_change = ShareChange(started_us, 1.0)
        self._slack_ratio = START_SLACK_RATIO
        self._share_changes: list[ShareChange] = []
        self._has_no_requests = True
        self._next_early_forget_us = started_us

    def set_process_share(self, now_us: int, share: float) -> None:
        """Set this process's share, up to 1, of what its front may send from now on."""
        if self._has_no_requests and (share < self.process_share or not self.process_share):
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
        """Restart all buckets; beside siblings they start empty, once these have noticed this process."""
        self._share_changes = []
        if share < 1:
            self._first_change = ShareChange(now_us + SIBLING_DISCOVERY_US, share)
            self._slack_ratio = 0.0
        else:
            self._first_change = ShareChange(now_us, share)
            self._slack_ratio = START_SLACK_RATIO

    def record_request(self, request: Request, plan: Plan, now_us: int) -> None:
        """Record the arrival of a request: add its volume if it is new, else update its front count."""
        front_count = max(request.volume_front_count, 1)
        self._has_no_requests = False
        known = self.get(request.volume)
        if known is not None:
            known.set_front_count(now_us, front_count, self._longest_timeout_us)
            return
        if len(self) >= MAX_TRACKED_VOLUMES_COUNT and now_us >= self._next_early_forget_us:
            self._next_early_forget_us = now_us + EARLY_FORGET_INTERVAL_US
            self.forget_idle(now_us, now_us - self._longest_timeout_us - 1)
        volume = self[request.volume] = VolumeLimit(plan, front_count, self._settings, now_us)
        volume.start_limit(self._first_change.at_us, self._first_change.share, self._slack_ratio)
        for change in self._share_changes:
            volume.set_process_share(change.at_us, change.share)

    def wait_us(self, pending: PendingRequest, now_us: int) -> int:
        """Return how long a request has to wait for its volume's rate limit."""
        if pending.charged_attempt is not None:
            return 0
        return self[pending.request.volume].limit.wait_us(now_us, pending.request.units)

    def charge(self, pending: PendingRequest) -> None:
        """Charge a request whose next attempt is sent, unless an earlier attempt was charged."""
        if pending.charged_attempt is None:
            self[pending.request.volume].limit.available_units -= pending.request.units
            pending.charged_attempt = pending.attempt_count

    def hold(self, pending: PendingRequest, attempt: int, now_us: int) -> None:
        """Record that the write of an attempt is delayed."""
        if attempt == pending.charged_attempt and pending.held_attempt is None:
            pending.held_attempt = attempt
            self[pending.request.volume].limit.hold(now_us, pending.request.units)

    def release(self, pending: PendingRequest, attempt: int, now_us: int) -> None:
        """Record that a delayed write has ended, or the attempt has."""
        if attempt != pending.held_attempt:
            return
        pending.held_attempt = None
        if (volume := self.get(pending.request.volume)) is not None:
            volume.limit.release(now_us, pending.request.units)

    def record_outcome(self, pending: PendingRequest, outcome: Outcome, now_us: int) -> None:
        """Settle the charge of an attempt that has ended.

        If the attempt was never sent, its units are returned. If the endpoint answered, the request stays
        charged and further attempts are free. Otherwise it is not known whether the request arrived, and a
        further attempt is charged again, as it may be the first to arrive. A failed connection stays charged
        too, because the simulator counts it.
        """
        self.release(pending, outcome.attempt, now_us)
        was_delivered = outcome.result in RESULTS_OF_DELIVERY or outcome.misdirected
        if outcome.attempt != pending.charged_attempt or was_delivered:
            return
        pending.charged_attempt = None
        if outcome.result is AttemptResult.NOT_SENT and pending.request.volume in self:
            self[pending.request.volume].limit.return_units(pending.request.units)

    def forget_idle(self, now_us: int, idle_since_us: int) -> None:
        """Drop volumes without a request since `idle_since_us` whose limit is full."""
        idle = [
            name
            for name, volume in self.items()
            if volume.last_request_us <= idle_since_us
            and not volume.limit.wait_us(now_us, volume.limit.capacity_units)
        ]
        for name in idle:
            del self[name]
