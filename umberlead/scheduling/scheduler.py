"""Every decision of a head. The types it speaks are in interface.py, beside this file.

Requests leave their shard's lane by start tag under a bound of units out at the node; the plan shares behind
the tags come from the paper's estimator and law (14), in controller.py. The rest guards the rules."""

import heapq
import random
from collections import deque
from collections.abc import Callable
from dataclasses import replace
from itertools import count

from umberlead.scheduling.actions import (
    Action,
    Cancel,
    EndReason,
    Fail,
    Reject,
    Send,
    SetTimer,
    WatchEndpoints,
)
from umberlead.scheduling.client_retries import ClientRetries
from umberlead.scheduling.controller import MIN_SHARE, Controller
from umberlead.scheduling.events import (
    AttemptResult,
    ClientDisconnected,
    Endpoint,
    EndpointList,
    EndpointListFailed,
    EndpointStatus,
    Event,
    ManualDrain,
    OpenRequestLimit,
    Outcome,
    ProcessShare,
    Request,
)
from umberlead.scheduling.load_shedding import LoadShedder
from umberlead.scheduling.moving_average import MovingAverage
from umberlead.scheduling.pending_request import AttemptInFlight, PendingRequest
from umberlead.scheduling.rate_limits import RateLimits
from umberlead.scheduling.settings import Repeatability, Settings, validate_settings
from umberlead.scheduling.slow_start import (
    SendWindow,
    available_capacity_ratio,
    max_window_units,
    pacing_delay_us,
)
from umberlead.scheduling.token_bucket import NEVER
from umberlead.scheduling.weighted_round_robin import SmoothWeightedRoundRobin

INTERVAL = 500_000  # us between control steps: the paper's interval for its file server
BOUND = 8.0  # mean-size requests: most that one head has out at a node
TARGET = 0.33  # wanted time at a node, in the smallest class aim: the rest is left for waiting here
CUT = 0.5  # share of its own units by which a late answer lowers the bound
SMOOTH = 0.2  # weight of a new answer in a node's mean time
REST_LINK = 2  # link time-outs a node rests after a failed connection or a full queue
OVERDUE = 4.0  # an attempt is overdue after so many mean times of its node, or the wanted time if longer
MEMORY = 2_000_000  # us after which a node's own mean has lost most of its weight against the fleet's
SMALL = 0.5  # least part of a mean-size request's time that a smaller one is counted with
MOSTLY = 0.9  # most of its aim that a request is thought to take at a node: on arrival all have a chance
MOST = 3.0  # most targets that one answer counts for
KEPT = 10_000_000  # us that a silent volume is kept: longer than its due store takes to fill
PRIOR = 0.1  # units that a head counts as asked of every shard before it has seen any
SICK = 0.3  # part of errors from which a node gets no new objects while others can take them
CALM = 0.5  # targets that answers take at most where there is room for who can wait
PATIENT = 6  # targets before its aim until which a request can wait: for others there is no later
PART = 1 / 3  # most of a shard's traffic that a head takes for its own


class EndpointState:
    """What this head knows of one node: bound, health, cold window."""

    def __init__(self, node: Endpoint, head: "Scheduler") -> None:
        s, now = head.settings, head.now
        self.settings, self.endpoint, self.traffic_share, self.first_send_jitter = (
            s,
            node,
            head.traffic_share,
            head.rng.random(),
        )
        self.concurrency_limit_units = max(
            self.max_concurrency_units() / s.front_count, s.mean_request_units
        )  # all heads may begin at once
        self.relative_latency, self.units_in_flight, self.ejected_until_us = (
            MovingAverage(now, SMOOTH, MEMORY, MOST, head.fleet_latency),
            0.0,
            0,
        )
        self.error_rate = MovingAverage(now, 2 * SMOOTH, 2 * MEMORY, 1.0)  # part of answers that are errors
        self.send_window = SendWindow(s.cold_window_us)
        self.latest_served_sent_us = 0  # when the latest sent of those served was sent
        self.paced_until_us: float = max(
            now, head.started_us + s.cold_window_us
        )  # what our last life sent is not known
        self.target_latency_us = int(TARGET * min(c.latency_objective_us for c in s.classes))

    def max_concurrency_units(self) -> float:
        return min(BOUND * self.settings.mean_request_units, self.endpoint.max_in_flight_units or NEVER)

    def slow_start_cost_us(self, now: int, units: float) -> float:
        """How long `units` take of this head's part of a warming node; in the mean if below a request."""
        return pacing_delay_us(
            self.settings, self.endpoint, now, units, self.traffic_share(self.endpoint.shard)
        )

    def ready_at_us(self, now: int, units: float) -> float:
        """When the node may take `units` more."""
        if self.endpoint.status is not EndpointStatus.UP or (
            self.units_in_flight
            and self.units_in_flight + units > min(self.concurrency_limit_units, self.max_concurrency_units())
        ):
            return NEVER
        if not (cost := self.slow_start_cost_us(now, units)):
            return max(self.ejected_until_us, now)
        first = self.first_send_jitter * max(
            cost - self.settings.cold_window_us, 0.0
        )  # before the first one, by chance: heads differ
        most = max_window_units(self.settings, self.endpoint, now, self.traffic_share(self.endpoint.shard))
        return max(
            self.ejected_until_us, self.paced_until_us + first, self.send_window.free_at(now, units, most)
        )

    def is_outlier(self, now: int) -> bool:
        """Who has a choice goes elsewhere: who fails quickly looks idle. What only it has is still asked."""
        return self.error_rate.read(now) >= SICK

    def overdue_at_us(self, now: int, units: float) -> float:
        mean = (
            self.relative_latency.read(now)
            * self.target_latency_us
            * max(units / self.settings.mean_request_units, 1.0)
        )
        return now + max(OVERDUE * mean, self.target_latency_us)

    def record_send(self, now: int, units: float) -> AttemptInFlight:
        """What is served can't pass a cold node's capacity: one of the multiple is set aside for it, the
        rest is charged for what is not served. Service gives that back, but for one in the multiple where
        the part is below a request: many heads may be waiting for the same. The window keeps all."""
        self.units_in_flight, self.first_send_jitter = self.units_in_flight + units, 0.0
        cost, one = self.slow_start_cost_us(now, units), 1 / max(self.settings.cold_overload_factor, 1.01)
        self.paced_until_us = max(self.paced_until_us, now) + int(cost / (1 - one))
        if cost:
            self.send_window.add(now, units)
        return AttemptInFlight(
            self, now, units, cost / (1 - one) - (0 if cost < self.settings.cold_window_us else one * cost)
        )

    def record_outcome(
        self, now: int, tried: AttemptInFlight, result: AttemptResult, elapsed: int, pressed: bool
    ) -> None:
        """Bound and health follow each outcome."""
        units, one = tried.reserved_units, self.settings.mean_request_units
        if result is AttemptResult.OK:
            self.latest_served_sent_us, self.paced_until_us = (
                max(self.latest_served_sent_us, tried.sent_us),
                self.paced_until_us - tried.slow_start_credit_us,
            )
        self.units_in_flight = max(self.units_in_flight - units, 0.0)
        if result in (AttemptResult.OK, AttemptResult.ERROR):
            self.error_rate.add(now, result is AttemptResult.ERROR)
        if (
            result in (AttemptResult.OK, AttemptResult.TIMEOUT) or elapsed > self.target_latency_us
        ):  # a quick error is none
            self.relative_latency.add(
                now, elapsed / self.target_latency_us / max(tried.request_units / one, 1.0)
            )  # see overdue
            if elapsed > self.target_latency_us:
                self.concurrency_limit_units = max(
                    self.concurrency_limit_units
                    - CUT * min(elapsed / self.target_latency_us - 1, 1.0) * units,
                    one,
                )
            elif pressed:
                self.concurrency_limit_units = min(
                    self.concurrency_limit_units + units * one / self.concurrency_limit_units,
                    self.max_concurrency_units(),
                )
        if result in (
            AttemptResult.REJECTED,
            AttemptResult.CONNECT_FAILED,
        ):  # a break rests none: a peer may drop links
            self.concurrency_limit_units, self.ejected_until_us = (
                one,
                now + self.settings.connect_timeout_us * REST_LINK,
            )


class FairQueue:
    """One shard's fair queue of volumes; within one, the class of most worth, then the nearest aim."""

    def __init__(self, plans: int) -> None:
        self.virtual_time = 0.0
        self.finish_tags: dict[str, float] = {}  # finish tag by volume
        self.waiting: dict[str, list[tuple[float, int, int, PendingRequest]]] = {}
        self.start_tags: list[tuple[float, int, str]] = []
        self.valid_tag_numbers: dict[str, int] = {}  # the volume's valid entry among the tags
        self.waiting_volumes_by_plan, self.tag_numbers = (
            [0] * plans,
            count(),
        )  # volumes waiting; numbers of tags

    def push(self, item: PendingRequest) -> None:
        waiting = self.waiting.setdefault(item.request.volume, [])
        self.waiting_volumes_by_plan[item.plan_index] += not waiting
        heapq.heappush(
            waiting, (-item.request_class.priority_weight, item.objective_at_us, item.sequence_number, item)
        )
        item.queued = True

    def most_urgent(self, volume: str) -> PendingRequest | None:
        """The volume's most urgent live request; an emptied volume leaves the lane."""
        waiting = self.waiting.get(volume, [])
        while waiting and not waiting[0][3].queued:
            item = heapq.heappop(waiting)[3]
            if not waiting:
                self.waiting_volumes_by_plan[item.plan_index] -= 1
                del self.waiting[volume]
        return waiting[0][3] if waiting else None

    def tag_volume(self, volume: str) -> None:
        """A volume's start tag, replacing an earlier one."""
        self.valid_tag_numbers[volume] = next(self.tag_numbers)
        start = max(self.virtual_time, self.finish_tags.get(volume, 0.0))
        heapq.heappush(self.start_tags, (start, self.valid_tag_numbers[volume], volume))

    def prune(self, known: RateLimits) -> None:
        """Tags that no longer count go: of ever new volumes the tables would grow for ever."""
        self.finish_tags = {
            v: tag for v, tag in self.finish_tags.items() if tag > self.virtual_time and v in known
        }
        self.valid_tag_numbers = {
            v: number for v, number in self.valid_tag_numbers.items() if v in self.waiting
        }

    def dequeue(self, item: PendingRequest, weight: float) -> None:
        """`item` leaves: virtual time moves on, its units over `weight` advance the volume's tag."""
        self.virtual_time = start = heapq.heappop(self.start_tags)[0]
        item.queued = False
        self.finish_tags[item.request.volume] = (
            start + item.request.units * self.waiting_volumes_by_plan[item.plan_index] / weight
        )


class Scheduler:
    """One head: hand it its events batch by batch, do what it says."""

    def __init__(self, settings: Settings, seed: int, now: int) -> None:
        validate_settings(settings)
        s = self.settings = settings
        self.now, self.started_us, self.timer_due_us, self.rng = now, now, 0, random.Random(seed)
        self.classes = {c.name: c for c in s.classes}
        self.max_priority = (
            max(c.priority_weight for c in s.classes) * max(p.priority_factor for p in s.plans) or 1.0
        )
        self.plan_index = {p.name: k for k, p in enumerate(s.plans)}
        self.fleet_latency = MovingAverage(
            now, SMOOTH, MEMORY, MOST
        )  # mean time of answers, all nodes together
        self.controller = Controller([p.weight for p in s.plans])
        self.latency_ratio_sums, self.latency_ratio_counts = [0.0] * len(s.plans), [0] * len(s.plans)
        self.requests: dict[str, PendingRequest] = {}
        self.endpoints: dict[str, EndpointState] = {}
        self.by_shard: dict[int, dict[str, None]] = {}
        self.manual_drains: dict[str, int] = {}  # by hand, and when
        self.manual_returns: dict[
            str, tuple[int, int]
        ] = {}  # taken out, and back again: restarted in between
        self.round_robin, self.placement_weights = SmoothWeightedRoundRobin(), dict[str, float]()
        self.demand_by_shard: dict[int, float] = {}  # units by shard, of late
        self.queues, self.rate_limits = dict[int, FairQueue](), RateLimits(s, now)
        self.ordered_requests: dict[
            str, deque[PendingRequest]
        ] = {}  # ordered classes: requests of a key, as taken
        self.key_paused_until_us: dict[str, int] = {}
        self.placements = dict[str, int](), dict[str, int]()  # where new objects went; this span, last
        self.longest_timeouts_us: dict[str, int] = {}  # most time a client of the class has left on arrival
        self.recent_requests_us, self.recent_retries_us = (
            deque[int](),
            deque[int](),
        )  # when: the budget's two counts
        self.load_shedder, self.open_requests = LoadShedder(), 0
        self.client_retries = ClientRetries()
        self.timers: list[tuple[int, int, Callable[..., None], tuple[object, ...]]] = []
        self.sequence_numbers = count()
        self.shards_to_dispatch: dict[int, None] = {}  # shards to look at before this batch ends
        self.actions: list[Action] = [WatchEndpoints()] if s.polls_endpoint_list else []
        self.schedule(now + INTERVAL, self.run_control_interval)
        self.schedule(now + KEPT, self.prune)

    def schedule(self, when: float, what: Callable[..., None], *args: object) -> None:
        heapq.heappush(self.timers, (max(int(when), self.now + 1), next(self.sequence_numbers), what, args))

    def handle(self, now: int, events: list[Event]) -> list[Action]:
        """One batch of events, all at `now`; the actions to carry out in order."""
        self.now = now
        for event in events:
            if isinstance(event, Request):
                self.admit(event)
            elif isinstance(event, Outcome):
                self.apply_outcome(event)
            elif isinstance(event, EndpointList):
                self.apply_endpoint_list(event)
            elif isinstance(event, EndpointListFailed):
                self.schedule(now + INTERVAL, lambda: self.actions.append(WatchEndpoints()))
            elif isinstance(event, ClientDisconnected) and event.request_id in self.requests:
                self.conclude(item := self.requests[event.request_id])
                self.shards_to_dispatch[item.shard] = None  # what it stood before may go
            elif isinstance(event, ManualDrain):
                self.apply_manual_drain(event)
            elif isinstance(event, ProcessShare):
                self.rate_limits.set_process_share(now, event.share)
            elif isinstance(event, OpenRequestLimit):
                self.load_shedder.max_open_requests = event.max_requests
        while self.timers and self.timers[0][0] <= now:
            _, _, what, args = heapq.heappop(self.timers)
            what(*args)
        while self.shards_to_dispatch:
            self.dispatch(self.shards_to_dispatch.popitem()[0])
        self.shed_load()  # what could go has gone
        if self.timers and (self.timer_due_us <= now or self.timers[0][0] < self.timer_due_us):
            self.timer_due_us = self.timers[0][0]
            self.actions.append(SetTimer(self.timer_due_us - now, "due"))
        acts, self.actions = self.actions, []
        return acts

    def run_control_interval(self) -> None:
        self.controller.step(self.latency_ratio_sums, self.latency_ratio_counts)
        self.schedule(self.now + INTERVAL, self.run_control_interval)

    def prune(self) -> None:
        """Forget volumes whose stores are full again."""
        self.rate_limits.forget_idle(
            self.now, self.now - KEPT - max(c.timeout_us for c in self.settings.classes)
        )
        for lane in self.queues.values():
            lane.prune(self.rate_limits)
        self.placements = ({}, self.placements[0])
        self.demand_by_shard = {k: units / 2 for k, units in self.demand_by_shard.items() if units > PRIOR}
        self.schedule(self.now + KEPT, self.prune)

    def apply_endpoint_list(self, news: EndpointList) -> None:
        """A node with a new start is new, one that is gone is forgotten: where all are replaced again and
        again the list would grow. A lane outlives its node and waits for the shard's next one."""
        named = {n.name: n for n in news.endpoints}
        for old in [v.endpoint for v in self.endpoints.values()] if news.complete else []:
            named.setdefault(old.name, Endpoint(old.name, EndpointStatus.GONE, old.shard, old.started_us))
        for name, node in named.items():
            view = self.endpoints.get(name)
            if node.status is EndpointStatus.GONE:
                if view is not None:
                    self.by_shard[view.endpoint.shard].pop(name)
                    self.endpoints.pop(name).endpoint = node
                self.manual_returns.pop(name, None)
                continue
            if name in self.manual_returns and node.started_us < self.manual_returns[name][0]:
                node = replace(node, started_us=self.manual_returns[name][1])  # of before its restart
            if view is not None and node.started_us <= view.endpoint.started_us:
                view.endpoint = node
            else:
                self.endpoints[name] = EndpointState(node, self)
            self.by_shard.setdefault(node.shard, {})[name] = None
            self.shards_to_dispatch |= {node.shard: None, -1: None}

    def apply_manual_drain(self, e: ManualDrain) -> None:
        """Out, it gets nothing whatever the list says. It is restarted in that time and comes back cold,
        which the list may tell late: until it does, it counts as started when it was put back."""
        if e.drained:
            self.manual_drains.setdefault(e.endpoint, e.at_us)
        elif (since := self.manual_drains.pop(e.endpoint, None)) is not None and (
            view := self.endpoints.get(e.endpoint)
        ):
            if view.endpoint.started_us < since:
                self.manual_returns[e.endpoint] = (since, self.now)
                info = replace(view.endpoint, started_us=self.now)
                self.endpoints[e.endpoint] = EndpointState(info, self)
            self.shards_to_dispatch |= {view.endpoint.shard: None, -1: None}

    def traffic_share(self, shard: int) -> float:
        """This head's part of a shard's traffic: its own share of units that go there, over the even share,
        is the head's even part in the mean of all. Who seldom asks leaves its part to others. Each of two
        processes of a head has its share of that."""
        s, own, known = (
            self.settings,
            self.demand_by_shard.get(shard, 0.0) + PRIOR,
            sum(self.demand_by_shard.values()),
        )
        share = own / (known + PRIOR * s.shard_count) * s.shard_count if s.shard_count > 0 <= shard else 1.0
        return (
            max(min(share, PART * s.front_count), 1.0)
            / s.front_count
            * (self.rate_limits.process_share or 1.0)
        )

    def select_endpoint(self, shard: int, units: float) -> tuple[float, EndpointState | None]:
        """The shard's node that can take `units` soonest; of those, where an answer comes soonest. So new
        objects leave what the fullest and the slowest have to reads, which can go nowhere else. Where the
        list gives weights, new objects go by these among the nodes that can take them now."""
        names = self.by_shard.get(shard, {}) if shard >= 0 else self.endpoints
        views = [self.endpoints[n] for n in names if n not in self.manual_drains]
        views = [v for v in views if shard >= 0 or v.endpoint.weight != 0]
        now = self.now
        ready = [
            (
                v.ready_at_us(now, units),
                v.is_outlier(now),
                v.relative_latency.read(now)
                * (v.units_in_flight + units)
                * v.endpoint.distance_factor
                / available_capacity_ratio(self.settings, v.endpoint, now),
                k,
            )
            for k, v in enumerate(views)
        ]
        given = [w for v in views if (w := v.endpoint.weight) is not None] if shard < 0 else []
        able = [views[k] for when, _, _, k in ready if when <= now] if given else []
        free = [v.endpoint for v in able if not v.is_outlier(now)] or [v.endpoint for v in able]
        self.placement_weights = {n.name: 1.0 if n.weight is None else n.weight for n in free}
        if self.placement_weights:
            return now, self.endpoints[self.round_robin.select(self.placement_weights)]
        when, _, _, k = min(ready, default=(NEVER, False, 0.0, -1))
        return (when, views[k]) if when < NEVER else (NEVER, None)

    def admit(self, req: Request) -> None:
        """A new request. A client's second try has less time left than the longest seen for its class: its
        aim is counted from where its first try must have begun. Where clients mark their repeats, any other
        is a first try however impatient its client (ib57330); where not, impatience looks late unless those
        that were refused are seen not to come again."""
        now, cls = self.now, self.classes[req.class_name]
        self.recent_requests_us.append(now)
        patience = self.longest_timeouts_us[cls.name] = max(
            self.longest_timeouts_us.get(cls.name, 0), req.deadline_us - now
        )
        again = self.client_retries.record_arrival((req.volume, req.key, req.class_name), now)
        first = (
            not req.is_client_retry
            if self.settings.clients_mark_retries
            else not again and self.client_retries.are_rare()
        )
        aim_at = min(
            cls.latency_objective_us + (now if first else req.deadline_us - patience), req.deadline_us
        )
        item = self.requests[req.request_id] = PendingRequest(
            req, cls, self.plan_index[req.plan], now, aim_at, next(self.sequence_numbers)
        )
        item.is_client_retry = again
        self.rate_limits.record_request(req, self.settings.plans[item.plan_index], now)
        if req.shard >= 0:
            self.demand_by_shard[req.shard] = self.demand_by_shard.get(req.shard, 0.0) + req.units
        if cls.ordered and req.key is not None:
            self.ordered_requests.setdefault(req.key, deque()).append(item)
            self.release_ordered(req.key)
        else:
            self.enqueue(item)
        self.schedule(aim_at, self.end_unserved, item)
        self.open_requests += 1

    def shed_load(self) -> None:
        """Refuse of those that wait the least valuable, while more are open than there are places for."""
        while (item := self.load_shedder.next_to_shed(self.open_requests)) is not None:
            self.end_unserved(item, EndReason.OVERLOAD)

    def enqueue(self, item: PendingRequest) -> None:
        owed = self.rate_limits[item.request.volume].entitlement
        due = not owed.wait_us(self.now, min(item.request.units, owed.capacity_units))
        self.load_shedder.add(item, self.priority(item, due))
        shard, volume = item.shard, item.request.volume
        lane = self.queues.get(shard) or self.queues.setdefault(shard, FairQueue(len(self.plan_index)))
        lane.push(item)
        if lane.most_urgent(volume) is item:
            self.tag_volume(shard, volume)

    def tag_volume(self, shard: int, volume: str, number: int | None = None) -> None:
        """Tag a waiting volume; by timer, if tag `number` is still its latest."""
        lane = self.queues[shard]
        if lane.most_urgent(volume) is not None and number in (None, lane.valid_tag_numbers.get(volume)):
            lane.tag_volume(volume)
            self.shards_to_dispatch[shard] = None

    def release_ordered(self, key: str) -> None:
        """The key's first request may go once the key has rested."""
        chain, rest = self.ordered_requests.get(key), self.key_paused_until_us.get(key, 0)
        if self.now < rest:
            self.schedule(rest, self.release_ordered, key)
        elif not chain:
            self.key_paused_until_us.pop(key, None)
            self.ordered_requests.pop(key, None)
        elif not (chain[0].queued or chain[0].attempts_in_flight or chain[0].done):
            self.enqueue(chain[0])

    def end_unserved(self, item: PendingRequest, reason: EndReason = EndReason.OBJECTIVE_PASSED) -> None:
        """The final answer at once: a refusal wherever it is harmless to try again, else a failure."""
        if item.done or item.attempts_in_flight:
            return
        keyed_for_all = (
            item.request_class.repeatability is Repeatability.IDEMPOTENT_BY_KEY
            and item.request_class.deduplication_scope == "all"
        )
        if (
            item.may_have_run_since_us is None
            or keyed_for_all
            or item.request_class.repeatability is Repeatability.IDEMPOTENT
        ):
            self.actions.append(Reject(item.request.request_id, self.settings.max_retry_after_us, reason))
            if not item.is_client_retry:
                self.client_retries.record_rejection(
                    (item.request.volume, item.request.key, item.request.class_name), self.now
                )
        else:
            self.actions.append(Fail(item.request.request_id, reason))
        self.conclude(item)

    def conclude(self, item: PendingRequest) -> None:
        """Over for the client, and measured; forgotten, and out of its key's way, with no attempt out."""
        if not item.done:
            self.latency_ratio_sums[item.plan_index] += (
                self.now - item.arrived_us
            ) / item.request_class.latency_objective_us
            self.latency_ratio_counts[item.plan_index] += 1
            self.open_requests -= 1
        item.done, item.queued = True, False
        if item.attempts_in_flight:
            return
        self.requests.pop(item.request.request_id, None)
        if (
            item.request_class.ordered
            and item.request.key in self.ordered_requests
            and item in self.ordered_requests[item.request.key]
        ):
            self.ordered_requests[item.request.key].remove(item)
            self.release_ordered(item.request.key)

    def may_attempt(self, item: PendingRequest) -> bool:
        """Whether the class, the count and the budget let this request go out once more."""
        forgets = {
            Repeatability.IDEMPOTENT: NEVER,
            Repeatability.IDEMPOTENT_BY_KEY: item.request_class.deduplication_window_us,
            Repeatability.AT_MOST_ONCE: 0,
        }[item.request_class.repeatability]
        known = item.may_have_run_since_us is None or self.now - item.may_have_run_since_us < forgets
        if not known or item.attempt_count >= self.settings.max_attempts:
            return False
        for log in (self.recent_requests_us, self.recent_retries_us):
            while log and log[0] <= self.now - self.settings.retry_budget_window_us:
                log.popleft()
        most = self.settings.retry_budget_min_retries + self.settings.retry_budget_ratio * len(
            self.recent_requests_us
        )
        return (
            item.attempt_count == 0
            or self.settings.retry_budget_window_us <= 0
            or len(self.recent_retries_us) + 1 <= most
        )

    def priority(self, item: PendingRequest, due: bool) -> float:
        """What a unit of this request earns, against the best; what is not due, by its plan's share."""
        part = self.controller.share[item.plan_index] / self.controller.rest[item.plan_index]
        earns = (
            1.0 if due else (self.settings.within_share_factor + self.settings.beyond_share_factor) / 2 * part
        )
        return (
            earns
            * item.request_class.priority_weight
            * self.settings.plans[item.plan_index].priority_factor
            / self.max_priority
        )

    def dispatch(self, shard: int) -> None:
        """Send what may go, lowest start tag first."""
        lane = self.queues.get(shard)
        while lane is not None and lane.start_tags:
            _, number, volume = lane.start_tags[0]
            item = lane.most_urgent(volume) if lane.valid_tag_numbers.get(volume) == number else None
            if item is None:
                heapq.heappop(lane.start_tags)
                continue
            units, owed = item.request.units, self.rate_limits[volume].entitlement
            when, view = self.select_endpoint(shard, units)
            press = view.relative_latency.read(self.now) if view else 0.0
            takes = (
                press
                * (view.target_latency_us if view else 0)
                * max(units / self.settings.mean_request_units, SMALL)
            )
            hopeless = (
                view
                and self.now + min(takes, MOSTLY * item.request_class.latency_objective_us)
                > item.objective_at_us
            )
            if hopeless or not self.may_attempt(item):
                # A late answer would take the place of one in time.
                self.end_unserved(
                    item, EndReason.OBJECTIVE_UNREACHABLE if hopeless else EndReason.NO_ATTEMPT_LEFT
                )
                self.tag_volume(shard, volume)
                continue
            if view is None or when > self.now:
                return self.schedule(when, self.shards_to_dispatch.update, {shard: None}) if view else None
            wait = self.rate_limits.wait_us(item, self.now)
            due = not owed.wait_us(self.now, min(units, owed.capacity_units))
            value = self.priority(item, due)
            early = press > CALM and self.now + PATIENT * view.target_latency_us < item.objective_at_us
            if wait or early or value < press - 1:
                heapq.heappop(lane.start_tags)
                self.schedule(
                    self.now + (wait or view.target_latency_us // 4), self.tag_volume, shard, volume, number
                )
                continue
            if item.attempt_count:
                self.recent_retries_us.append(self.now)
            else:
                owed.available_units -= units * due
            self.rate_limits.charge(item)
            lane.dequeue(item, self.controller.share[item.plan_index] * max(value, MIN_SHARE))
            self.tag_volume(shard, volume)
            item.attempts_in_flight[item.attempt_count] = view.record_send(self.now, units)
            self.schedule(
                view.overdue_at_us(self.now, units), self.write_off_overdue, item, item.attempt_count
            )
            if self.placement_weights:
                self.round_robin.record_selection(view.endpoint.name, self.placement_weights)
            item.shard = view.endpoint.shard  # a new object stays with the shard that may have taken it
            item.attempt_count += 1
            self.actions.append(Send(item.request.request_id, view.endpoint.name))

    def redirect_to_known_shard(self, item: PendingRequest) -> bool:
        """A client may name a shard of old. Where this head stored the object itself, it knows better."""
        new, old = self.placements
        key = item.request.key or ""
        shard = new.get(key, old.get(key, item.shard))
        known, item.shard = shard != item.shard, shard
        return known

    def write_off_overdue(self, item: PendingRequest, attempt: int) -> None:
        """Out much longer than its node takes, while later ones came back: lost, or enormous. Its units are
        written off, so they block nothing; with leave and time it is withdrawn, and sent again."""
        if (tried := item.attempts_in_flight.get(attempt)) is None:
            return
        view: EndpointState = tried.endpoint_state
        if view.latest_served_sent_us <= tried.sent_us:
            return self.schedule(
                view.overdue_at_us(self.now, item.request.units), self.write_off_overdue, item, attempt
            )
        view.units_in_flight, tried.reserved_units = (
            max(view.units_in_flight - tried.reserved_units, 0.0),
            0.0,
        )
        self.shards_to_dispatch[view.endpoint.shard] = None
        again = (
            item.request_class.repeatability is not Repeatability.AT_MOST_ONCE
            and not item.done
            and self.may_attempt(item)
        )
        if (
            again
            and self.settings.cancellation_allowed
            and self.now + view.relative_latency.read(self.now) * view.target_latency_us
            < item.objective_at_us
        ):
            self.actions.append(Cancel(item.request.request_id, attempt))

    def apply_outcome(self, e: Outcome) -> None:
        item = self.requests.get(e.request_id)
        if item is None or (tried := item.attempts_in_flight.pop(e.attempt, None)) is None:
            return
        view, lane = tried.endpoint_state, self.queues.get(item.shard)
        if tried.reserved_units or e.result is AttemptResult.OK:  # what was written off has been judged
            view.record_outcome(self.now, tried, e.result, e.elapsed_us, bool(lane and lane.waiting))
        self.shards_to_dispatch[item.shard] = None
        self.rate_limits.record_outcome(item, e)
        if e.result is AttemptResult.OK and item.request.shard < 0 and item.request.key is not None:
            self.placements[0][item.request.key] = item.shard
        unsure = e.result in (AttemptResult.TIMEOUT, AttemptResult.RESET, AttemptResult.CANCELLED)
        if (unsure or e.result is AttemptResult.ERROR) and item.may_have_run_since_us is None:
            item.may_have_run_since_us = tried.sent_us
        if unsure and item.request_class.ordered and item.request.key is not None:
            self.key_paused_until_us[item.request.key] = self.now + self.settings.ordering_pause_us
        if e.final or item.done:
            self.conclude(item)
        elif e.misdirected and self.redirect_to_known_shard(item) and self.may_attempt(item):
            self.enqueue(item)
        elif self.now >= item.objective_at_us:
            self.end_unserved(item)
        elif e.misdirected or not self.may_attempt(item):
            self.end_unserved(item, EndReason.NO_ATTEMPT_LEFT)
        else:
            self.enqueue(item)
