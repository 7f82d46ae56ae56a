"""The scheduler: takes events in batches and returns the actions to carry out.

Each shard has a fair queue. Requests leave it in the order of their start tags, as far as the concurrency
limits of the endpoints allow. The tags depend on the plans' shares, which `controller.py` sets. Admission,
retries, ordering, rate limits and load shedding have modules of their own. All times are whole microseconds
of one monotonic clock.
"""

import heapq
import random
from collections import deque
from collections.abc import Callable, Iterable
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
from umberlead.scheduling.admission import AdmissionControl
from umberlead.scheduling.controller import MIN_SHARE, Controller
from umberlead.scheduling.endpoint_directory import EndpointDirectory
from umberlead.scheduling.endpoint_state import EndpointState
from umberlead.scheduling.events import (
    AttemptResult,
    ClientDisconnected,
    DelayedWriteEnded,
    EndpointList,
    EndpointListFailed,
    Event,
    ManualDrain,
    OpenRequestLimit,
    Outcome,
    ProcessShare,
    Request,
    WriteDelayed,
)
from umberlead.scheduling.fair_queue import FairQueue
from umberlead.scheduling.load_shedding import LoadShedder
from umberlead.scheduling.ordered_requests import OrderedRequests
from umberlead.scheduling.pending_request import PendingRequest
from umberlead.scheduling.placements import Placements
from umberlead.scheduling.priorities import Priorities
from umberlead.scheduling.rate_limits import RateLimits
from umberlead.scheduling.retries import RetryPolicy, is_harmless_to_repeat
from umberlead.scheduling.settings import Repeatability, Settings, validate_settings
from umberlead.scheduling.shard_queues import ShardQueues

CONTROL_INTERVAL_US = 500_000  # the interval that the paper behind `controller.py` uses for its file server
VOLUME_RETENTION_US = 10_000_000  # of a volume without requests; longer than its entitlement takes to fill
DEFERRALS_PER_TARGET_LATENCY_COUNT = 4  # times that a deferred request is tried per target latency
UNCERTAIN_RESULTS = (AttemptResult.TIMEOUT, AttemptResult.RESET, AttemptResult.CANCELLED)

Timer = tuple[int, int, Callable[..., None], tuple[object, ...]]  # when, number, callback, arguments


class Scheduler:
    """One front's scheduler.

    Attributes:
        requests: requests that are not answered or have an attempt in flight, by id.
        directory: the endpoints.
        queues: fair queues by shard.
        open_request_count: number of requests that are not answered.
    """

    def __init__(self, settings: Settings, seed: int, now_us: int) -> None:
        """Create a scheduler without endpoints.

        Raises:
            ValueError: `settings` are invalid.
        """
        validate_settings(settings)
        self.settings = settings
        self.now_us = now_us
        self.classes = {cls.name: cls for cls in settings.classes}
        self.plan_index = {plan.name: index for index, plan in enumerate(settings.plans)}
        self.controller = Controller([plan.weight for plan in settings.plans])
        self.latency_ratio_sums = [0.0] * len(settings.plans)
        self.latency_ratio_counts = [0] * len(settings.plans)
        self.requests: dict[str, PendingRequest] = {}
        self.directory = EndpointDirectory(settings, now_us, random.Random(seed))
        self.placements = Placements()
        self.queues = ShardQueues(len(settings.plans), self.directory.serves)
        self.rate_limits = RateLimits(settings, now_us)
        self.priorities = Priorities(settings, self.controller, self.rate_limits)
        self.admission = AdmissionControl(settings)
        self.retries = RetryPolicy(settings)
        self.ordered = OrderedRequests()
        self.load_shedder = LoadShedder()
        self.open_request_count = 0
        self._timers: list[Timer] = []
        self._unhandled_events: deque[Event] = deque()
        self._timer_due_us = 0  # of the latest `SetTimer`
        self._sequence_numbers = count()
        self._shards_to_dispatch: dict[int, None] = {}
        self._actions: list[Action] = [WatchEndpoints()] if settings.polls_endpoint_list else []
        self._schedule(now_us + CONTROL_INTERVAL_US, self._run_control_interval)
        self._schedule(now_us + VOLUME_RETENTION_US, self._prune)

    def handle(self, now_us: int, events: list[Event]) -> list[Action]:
        """Handle a batch of events that occur at `now_us`; return the actions to carry out, in order.

        If handling an event raises, the next call handles those after it, and returns all actions so far.
        """
        self.now_us = now_us
        self._unhandled_events.extend(events)
        while self._unhandled_events:
            self._handle_event(self._unhandled_events.popleft())
        while self._timers and self._timers[0][0] <= now_us:
            _, _, callback, arguments = heapq.heappop(self._timers)
            callback(*arguments)
        while self._shards_to_dispatch:
            self._dispatch(self._shards_to_dispatch.popitem()[0])
        self._shed_load()  # last, so that no request that can be sent now is rejected
        self._request_timer()
        actions = self._actions
        self._actions = []
        return actions

    def _handle_event(self, event: Event) -> None:
        if isinstance(event, Request):
            self._admit(event)
        elif isinstance(event, Outcome):
            self._apply_outcome(event)
        elif isinstance(event, WriteDelayed | DelayedWriteEnded):
            self._apply_write(event)
        elif isinstance(event, EndpointList):
            self._request_dispatch(self.directory.apply_list(event, self.now_us))
        elif isinstance(event, EndpointListFailed):
            retry_at_us = self.now_us + CONTROL_INTERVAL_US
            self._schedule(retry_at_us, lambda: self._actions.append(WatchEndpoints()))
        elif isinstance(event, ClientDisconnected):
            self._handle_disconnect(event.request_id)
        elif isinstance(event, ManualDrain):
            self._request_dispatch(self.directory.apply_manual_drain(event, self.now_us))
        elif isinstance(event, ProcessShare):
            self.rate_limits.set_process_share(self.now_us, event.share)
            self.directory.process_share = event.share
        elif isinstance(event, OpenRequestLimit):
            self.load_shedder.max_open_requests = event.max_requests

    # Timers

    def _schedule(self, when_us: float, callback: Callable[..., None], *arguments: object) -> None:
        when = max(int(when_us), self.now_us + 1)
        heapq.heappush(self._timers, (when, next(self._sequence_numbers), callback, arguments))

    def _request_timer(self) -> None:
        if self._timers and (self._timer_due_us <= self.now_us or self._timers[0][0] < self._timer_due_us):
            self._timer_due_us = self._timers[0][0]
            self._actions.append(SetTimer(self._timer_due_us - self.now_us, "due"))

    def _run_control_interval(self) -> None:
        self._schedule(self.now_us + CONTROL_INTERVAL_US, self._run_control_interval)
        self.controller.step(self.latency_ratio_sums, self.latency_ratio_counts)

    def _prune(self) -> None:
        """Drop idle volumes with full buckets, old placements and old demand."""
        self._schedule(self.now_us + VOLUME_RETENTION_US, self._prune)
        longest_timeout_us = max(cls.timeout_us for cls in self.settings.classes)
        self.rate_limits.forget_idle(self.now_us, self.now_us - VOLUME_RETENTION_US - longest_timeout_us)
        self.queues.prune(self.rate_limits)
        self.placements.rotate()
        self.directory.decay_demand()

    # Arrivals

    def _admit(self, request: Request) -> None:
        request_class = self.classes[request.class_name]
        self.retries.record_request(self.now_us)
        admission = self.admission.admit(request, request_class, self.now_us)
        pending = PendingRequest(
            request,
            request_class,
            self.plan_index[request.plan],
            self.now_us,
            admission.objective_at_us,
            next(self._sequence_numbers),
        )
        pending.is_client_retry = admission.is_client_retry
        self.requests[request.request_id] = pending
        self.rate_limits.record_request(request, self.settings.plans[pending.plan_index], self.now_us)
        self.directory.record_demand(request.shard, request.units)
        if request_class.ordered and request.key is not None:
            self.ordered.add(request.key, pending)
            self._release_ordered(request.key)
        else:
            self._enqueue(pending)
        self._schedule(pending.objective_at_us, self._end_unserved, pending)
        self.open_request_count += 1

    def _release_ordered(self, key: str) -> None:
        """Put the key's first request into its fair queue, after the key's pause if there is one."""
        paused_until_us = self.ordered.paused_until_us(key)
        if self.now_us < paused_until_us:
            self._schedule(paused_until_us, self._release_ordered, key)
            return
        pending = self.ordered.next_to_release(key)
        if pending is not None:
            self._enqueue(pending)

    def _enqueue(self, pending: PendingRequest) -> None:
        self.load_shedder.add(
            pending, self.priorities.priority(pending, self.priorities.is_entitled(pending, self.now_us))
        )
        shard = pending.shard
        volume = pending.request.volume
        queue = self.queues.of(shard)
        queue.push(pending)
        if queue.most_urgent(volume) is pending:
            self._tag_volume(shard, volume)

    def _tag_volume(self, shard: int, volume: str, number: int | None = None) -> None:
        """Give a volume that has waiting requests a new start tag.

        Timers pass the `number` of the tag that they replace. The call does nothing if the volume has been
        given a later tag since.
        """
        queue = self.queues.get(shard)
        if queue is None or queue.most_urgent(volume) is None:
            return
        if number is None or number == queue.valid_tag_numbers.get(volume):
            queue.tag_volume(volume)
            self._shards_to_dispatch[shard] = None

    # Sending

    def _request_dispatch(self, shards: Iterable[int]) -> None:
        for shard in shards:
            self._shards_to_dispatch[shard] = None

    def _dispatch(self, shard: int) -> None:
        """Send the requests of a shard that can be sent now, lowest start tag first."""
        queue = self.queues.get(shard)
        if queue is None:
            return
        while (pending := queue.next_request()) is not None:
            if not self._dispatch_request(shard, queue, pending):
                return

    def _dispatch_request(self, shard: int, queue: FairQueue, pending: PendingRequest) -> bool:
        """Send, defer or end one request; return whether to go on with the shard's next request."""
        volume = pending.request.volume
        selection = self.directory.select(shard, pending.request.units, self.now_us)
        state = selection.endpoint_state
        reason = self._unservable_reason(pending, state)
        if reason is not None:
            self._end_unserved(pending, reason)
            self._tag_volume(shard, volume)
            return True
        if state is None:
            return False
        if selection.ready_at_us > self.now_us:
            self._schedule(selection.ready_at_us, self._request_dispatch, (shard,))
            return False
        rate_limit_wait_us = self.rate_limits.wait_us(pending, self.now_us)
        entitled = self.priorities.is_entitled(pending, self.now_us)
        priority = self.priorities.priority(pending, entitled)
        if rate_limit_wait_us or self.priorities.should_defer(pending, state, priority, self.now_us):
            delay_us = rate_limit_wait_us or state.target_latency_us // DEFERRALS_PER_TARGET_LATENCY_COUNT
            self._schedule(self.now_us + delay_us, self._tag_volume, shard, volume, queue.postpone())
            return True
        if pending.attempt_count:
            self.retries.record_retry(self.now_us)
        elif entitled:
            self.rate_limits[volume].entitlement.available_units -= pending.request.units
        queue.dequeue(pending, self.controller.share[pending.plan_index] * max(priority, MIN_SHARE))
        self._tag_volume(shard, volume)
        self._send(pending, state)
        return True

    def _unservable_reason(self, pending: PendingRequest, state: EndpointState | None) -> EndReason | None:
        """Return why a request can't be served and ends now; None if it goes on.

        A request that would miss its latency objective is not sent, because it would delay requests that can
        still meet theirs.
        """
        if state is not None and self.priorities.is_late(pending, state, self.now_us):
            return EndReason.OBJECTIVE_UNREACHABLE
        if not self.retries.may_attempt(pending, self.now_us):
            return EndReason.NO_ATTEMPT_LEFT
        return None

    def _send(self, pending: PendingRequest, state: EndpointState) -> None:
        units = pending.request.units
        self.rate_limits.charge(pending)
        attempt = pending.attempt_count
        pending.attempts_in_flight[attempt] = state.record_send(self.now_us, units)
        self._schedule(state.overdue_at_us(self.now_us, units), self._write_off_overdue, pending, attempt)
        self.directory.record_selection(state.endpoint.name)
        # Further attempts for a new object go to the shard that may have stored it.
        pending.shard = state.endpoint.shard
        pending.attempt_count += 1
        self._actions.append(Send(pending.request.request_id, state.endpoint.name))

    # Ends

    def _apply_write(self, event: WriteDelayed | DelayedWriteEnded) -> None:
        """Record that the write of an attempt in flight is delayed, or no longer is."""
        pending = self.requests.get(event.request_id)
        if pending is None or event.attempt not in pending.attempts_in_flight:
            return
        if isinstance(event, WriteDelayed):
            self.rate_limits.hold(pending, event.attempt, self.now_us)
        else:
            self.rate_limits.release(pending, event.attempt, self.now_us)

    def _apply_outcome(self, outcome: Outcome) -> None:
        pending = self.requests.get(outcome.request_id)
        attempt = None if pending is None else pending.attempts_in_flight.pop(outcome.attempt, None)
        if pending is None or attempt is None:
            return
        result = outcome.result
        # The outcome of an attempt that was written off counts only if it succeeded.
        if attempt.reserved_units or result is AttemptResult.OK:
            queue = self.queues.get(pending.shard)
            requests_wait = queue is not None and bool(queue.waiting)
            attempt.endpoint_state.record_outcome(
                self.now_us, attempt, result, outcome.elapsed_us, requests_wait
            )
        self._shards_to_dispatch[pending.shard] = None
        self.rate_limits.record_outcome(pending, outcome, self.now_us)
        self._record_effect(pending, result, attempt.sent_us)
        if outcome.final or pending.done:
            self._conclude(pending)
        elif self._is_redirected(pending, outcome) and self.retries.may_attempt(pending, self.now_us):
            self._enqueue(pending)
        elif self.now_us >= pending.objective_at_us:
            self._end_unserved(pending)
        elif outcome.misdirected or not self.retries.may_attempt(pending, self.now_us):
            self._end_unserved(pending, EndReason.NO_ATTEMPT_LEFT)
        else:
            self._enqueue(pending)

    def _record_effect(self, pending: PendingRequest, result: AttemptResult, sent_us: int) -> None:
        """Record where an attempt stored a new object, and whether the request may have run.

        If the outcome of an ordered request is uncertain, its key is paused, as the request may still run.
        """
        key = pending.request.key
        if result is AttemptResult.OK and pending.request.shard < 0 and key is not None:
            self.placements.record(key, pending.shard)
        is_uncertain = result in UNCERTAIN_RESULTS
        if (is_uncertain or result is AttemptResult.ERROR) and pending.may_have_run_since_us is None:
            pending.may_have_run_since_us = sent_us
        if is_uncertain and pending.request_class.ordered and key is not None:
            self.ordered.pause(key, self.now_us + self.settings.ordering_pause_us)

    def _is_redirected(self, pending: PendingRequest, outcome: Outcome) -> bool:
        """Move a misdirected request to the shard where this front stored its object, if that is another.

        Return whether the request was moved.
        """
        if not outcome.misdirected:
            return False
        named_shard = pending.shard
        pending.shard = self.placements.shard_of(pending.request.key or "", named_shard)
        return pending.shard != named_shard

    def _write_off_overdue(self, pending: PendingRequest, attempt_number: int) -> None:
        """Write off an overdue attempt if its endpoint has served a request that was sent later.

        The attempt's answer is lost or its request is very large. Its units no longer count as in flight, so
        they block no other request. If cancellation is allowed and enough time is left, the attempt is
        cancelled and the request is attempted again.
        """
        attempt = pending.attempts_in_flight.get(attempt_number)
        if attempt is None:
            return
        state = attempt.endpoint_state
        if state.latest_served_sent_us <= attempt.sent_us:
            overdue_at_us = state.overdue_at_us(self.now_us, pending.request.units)
            self._schedule(overdue_at_us, self._write_off_overdue, pending, attempt_number)
            return
        state.units_in_flight = max(state.units_in_flight - attempt.reserved_units, 0.0)
        attempt.reserved_units = 0.0
        self._shards_to_dispatch[state.endpoint.shard] = None
        if self._may_replace(pending, state):
            self._actions.append(Cancel(pending.request.request_id, attempt_number))

    def _may_replace(self, pending: PendingRequest, state: EndpointState) -> bool:
        """Return whether to cancel an overdue attempt: a new one is allowed and can meet the objective."""
        if pending.request_class.repeatability is Repeatability.AT_MOST_ONCE or pending.done:
            return False
        if not self.retries.may_attempt(pending, self.now_us) or not self.settings.cancellation_allowed:
            return False
        expected_us = state.relative_latency.read(self.now_us) * state.target_latency_us
        return self.now_us + expected_us < pending.objective_at_us

    def _handle_disconnect(self, request_id: str) -> None:
        pending = self.requests.get(request_id)
        if pending is not None:
            self._conclude(pending)
            self._shards_to_dispatch[pending.shard] = None  # the next request of the queue may be sent

    def _shed_load(self) -> None:
        """Reject the waiting requests of lowest priority while too many requests are open."""
        while (pending := self.load_shedder.next_to_shed(self.open_request_count)) is not None:
            self._end_unserved(pending, EndReason.OVERLOAD)

    def _end_unserved(self, pending: PendingRequest, reason: EndReason = EndReason.OBJECTIVE_PASSED) -> None:
        """Answer a request that has no attempt in flight: rejected if it is safe to retry, else failed."""
        if pending.done or pending.attempts_in_flight:
            return
        request = pending.request
        if is_harmless_to_repeat(pending):
            self._actions.append(Reject(request.request_id, self.settings.max_retry_after_us, reason))
            if not pending.is_client_retry:
                self.admission.record_rejection(request, self.now_us)
        else:
            self._actions.append(Fail(request.request_id, reason))
        self._conclude(pending)

    def _conclude(self, pending: PendingRequest) -> None:
        """Mark a request as done; once no attempt is in flight, drop it and release the next of its key."""
        if not pending.done:
            latency_us = self.now_us - pending.arrived_us
            objective_us = pending.request_class.latency_objective_us
            self.latency_ratio_sums[pending.plan_index] += latency_us / objective_us
            self.latency_ratio_counts[pending.plan_index] += 1
            self.open_request_count -= 1
        pending.done = True
        pending.queued = False
        if pending.attempts_in_flight:
            return
        self.requests.pop(pending.request.request_id, None)
        key = pending.request.key
        if pending.request_class.ordered and key is not None and self.ordered.remove(key, pending):
            self._release_ordered(key)
