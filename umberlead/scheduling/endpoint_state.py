"""The state of one endpoint: its concurrency limit, its health and its slow start.

The concurrency limit grows by additive increase while requests wait, and late answers lower it. An endpoint
that rejects a request or a connection is ejected for a while. All times are whole microseconds.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from umberlead.scheduling.events import AttemptResult, Endpoint, EndpointStatus
from umberlead.scheduling.moving_average import MovingAverage
from umberlead.scheduling.settings import Settings
from umberlead.scheduling.slow_start import SendWindow, max_window_units, pacing_delay_us
from umberlead.scheduling.token_bucket import NEVER

MAX_CONCURRENCY_REQUESTS = 8.0  # requests of mean size in flight from one front
TARGET_LATENCY_RATIO = 0.33  # of the smallest latency objective; the rest is for waiting in the front
LATE_ANSWER_DECREASE_RATIO = 0.5  # part of its units by which a very late answer lowers the limit
LATENCY_SAMPLE_WEIGHT = 0.2
LATENCY_MEMORY_US = 2_000_000  # time constant with which an endpoint's mean decays to the fleet's
MAX_LATENCY_SAMPLE_RATIO = 3.0  # maximum of one sample, over the target latency
ERROR_SAMPLE_WEIGHT = 2 * LATENCY_SAMPLE_WEIGHT
ERROR_MEMORY_US = 2 * LATENCY_MEMORY_US
MAX_ERROR_SAMPLE_RATIO = 1.0
OUTLIER_ERROR_RATE_THRESHOLD = 0.3
EJECTION_CONNECT_TIMEOUTS_COUNT = 2  # an ejection lasts so many connect timeouts
OVERDUE_LATENCY_FACTOR = 4.0  # an attempt is overdue after this multiple of its endpoint's mean latency
MIN_OVERLOAD_FACTOR = 1.01


def fleet_latency_average(now_us: int) -> MovingAverage:
    """Return a new average of the latency of all endpoints, relative to the target latency."""
    return MovingAverage(now_us, LATENCY_SAMPLE_WEIGHT, LATENCY_MEMORY_US, MAX_LATENCY_SAMPLE_RATIO)


@dataclass(frozen=True, slots=True)
class EndpointContext:
    """State that all endpoints of a scheduler share.

    Attributes:
        settings: settings of the scheduler.
        started_us: when the scheduler started.
        fleet_latency: mean latency of all endpoints, used for an endpoint whose own is not known.
        traffic_share: function from a shard to this process's share, up to 1, of the shard's traffic.
    """

    settings: Settings
    started_us: int
    fleet_latency: MovingAverage
    traffic_share: Callable[[int], float]


@dataclass(slots=True, eq=False)
class AttemptInFlight:
    """An attempt in flight.

    Attributes:
        endpoint_state: state of the endpoint that the attempt was sent to.
        sent_us: when the attempt was sent.
        reserved_units: the attempt's part of the units in flight; 0 once it is written off.
        slow_start_credit_us: pacing time that is given back if the request is served.
        request_units: size of the request, also after a write-off.
    """

    endpoint_state: "EndpointState"
    sent_us: int
    reserved_units: float
    slow_start_credit_us: float
    request_units: float = field(init=False)

    def __post_init__(self) -> None:
        """Take the size of the request from the units that are reserved at first."""
        self.request_units = self.reserved_units


class EndpointState:
    """The state of one endpoint.

    Attributes:
        endpoint: the endpoint's entry in the present list.
        first_send_jitter: part, from 0 to 1, of the pacing delay that passes before the first request. It is
            random, so that fronts do not send at the same time.
        concurrency_limit_units: present limit on the units in flight.
        relative_latency: mean latency over `target_latency_us`.
        units_in_flight: units sent and not answered, without those written off.
        ejected_until_us: end of the ejection; no request is sent before.
        error_rate: share of answers that are errors.
        send_window: units sent during slow start.
        latest_served_sent_us: latest send time of all requests that were served.
        paced_until_us: time until which requests sent during slow start use up this front's share.
        target_latency_us: latency above which the concurrency limit is lowered.
    """

    def __init__(
        self, endpoint: Endpoint, context: EndpointContext, now_us: int, first_send_jitter: float
    ) -> None:
        """Create the state of a new `endpoint`; `first_send_jitter` is a random number from 0 to 1."""
        settings = context.settings
        self.settings = settings
        self.endpoint = endpoint
        self.traffic_share = context.traffic_share
        self.first_send_jitter = first_send_jitter
        # All fronts may start sending at the same time, so each begins with an even part of the limit.
        self.concurrency_limit_units = max(
            self.max_concurrency_units() / settings.front_count, settings.mean_request_units
        )
        self.relative_latency = MovingAverage(
            now_us,
            LATENCY_SAMPLE_WEIGHT,
            LATENCY_MEMORY_US,
            MAX_LATENCY_SAMPLE_RATIO,
            context.fleet_latency,
        )
        self.units_in_flight = 0.0
        self.ejected_until_us = 0
        self.error_rate = MovingAverage(now_us, ERROR_SAMPLE_WEIGHT, ERROR_MEMORY_US, MAX_ERROR_SAMPLE_RATIO)
        self.send_window = SendWindow(settings.slow_start_window_us)
        self.latest_served_sent_us = 0
        # A previous process of this front may have sent requests in the window before the start.
        self.paced_until_us: float = max(now_us, context.started_us + settings.slow_start_window_us)
        smallest_objective_us = min(cls.latency_objective_us for cls in settings.classes)
        self.target_latency_us = int(TARGET_LATENCY_RATIO * smallest_objective_us)

    def max_concurrency_units(self) -> float:
        """Return the upper bound of the concurrency limit."""
        configured_units = self.endpoint.max_in_flight_units or NEVER
        return min(MAX_CONCURRENCY_REQUESTS * self.settings.mean_request_units, configured_units)

    def slow_start_cost_us(self, now_us: int, units: float) -> float:
        """Return how long `units` use up this front's share of a warming endpoint; 0 for a warm one."""
        share = self.traffic_share(self.endpoint.shard)
        return pacing_delay_us(self.settings, self.endpoint, now_us, units, share)

    def ready_at_us(self, now_us: int, units: float) -> float:
        """Return when the endpoint can take `units` more; NEVER if that depends on an event."""
        if self.endpoint.status is not EndpointStatus.UP or self._is_full(units):
            return NEVER
        cost_us = self.slow_start_cost_us(now_us, units)
        if not cost_us:
            return max(self.ejected_until_us, now_us)
        first_delay_us = self.first_send_jitter * max(cost_us - self.settings.slow_start_window_us, 0.0)
        share = self.traffic_share(self.endpoint.shard)
        max_units = max_window_units(self.settings, self.endpoint, now_us, share)
        window_available_us = self.send_window.available_at(now_us, units, max_units)
        slow_start_ready_us = max(self.paced_until_us + first_delay_us, window_available_us)
        return max(self.ejected_until_us, min(slow_start_ready_us, self.warm_at_us()))

    def warm_at_us(self) -> int:
        """Return when the endpoint has its full capacity and pacing ends."""
        return self.endpoint.started_us + self.settings.warm_up_us

    def _is_full(self, units: float) -> bool:
        """Return whether `units` more exceed the limit; an idle endpoint takes a request of any size."""
        if not self.units_in_flight:
            return False
        limit_units = min(self.concurrency_limit_units, self.max_concurrency_units())
        return self.units_in_flight + units > limit_units

    def is_outlier(self, now_us: int) -> bool:
        """Return whether the error rate is so high that other endpoints are preferred.

        An endpoint that fails quickly would otherwise look idle and attract requests.
        """
        return self.error_rate.read(now_us) >= OUTLIER_ERROR_RATE_THRESHOLD

    def overdue_at_us(self, now_us: int, units: float) -> float:
        """Return when an attempt of `units` that is sent now becomes overdue."""
        size_factor = max(units / self.settings.mean_request_units, 1.0)
        mean_us = self.relative_latency.read(now_us) * self.target_latency_us * size_factor
        return now_us + max(OVERDUE_LATENCY_FACTOR * mean_us, self.target_latency_us)

    def record_send(self, now_us: int, units: float) -> AttemptInFlight:
        """Record that `units` are sent, and return the attempt.

        A cold endpoint fails at its capacity times the overload factor, and can't serve more than its
        capacity. So 1 / factor of that load is set aside for requests that are served, and each request is
        charged to the rest, as if it were not served. A request that is served gets the charge back. If the
        front's share of a window is less than the request, 1 / factor of the cost is kept, as many fronts may
        be waiting to send to the same endpoint. The send window keeps the units in any case.
        """
        self.units_in_flight += units
        self.first_send_jitter = 0.0
        cost_us = self.slow_start_cost_us(now_us, units)
        served_ratio = 1 / max(self.settings.slow_start_overload_factor, MIN_OVERLOAD_FACTOR)
        self.paced_until_us = max(self.paced_until_us, now_us) + int(cost_us / (1 - served_ratio))
        if cost_us:
            self.send_window.add(now_us, units)
        retained_us = 0 if cost_us < self.settings.slow_start_window_us else served_ratio * cost_us
        return AttemptInFlight(self, now_us, units, cost_us / (1 - served_ratio) - retained_us)

    def record_outcome(
        self,
        now_us: int,
        attempt: AttemptInFlight,
        result: AttemptResult,
        elapsed_us: int,
        requests_wait: bool,
    ) -> None:
        """Update the state at the end of an attempt; the limit grows only while `requests_wait`."""
        if result is AttemptResult.OK:
            self.latest_served_sent_us = max(self.latest_served_sent_us, attempt.sent_us)
            self.paced_until_us -= attempt.slow_start_credit_us
        self.units_in_flight = max(self.units_in_flight - attempt.reserved_units, 0.0)
        if result in (AttemptResult.OK, AttemptResult.ERROR):
            self.error_rate.add(now_us, result is AttemptResult.ERROR)
        # The latency of an error counts only if it is over the target: quick errors are no sign of speed.
        if result in (AttemptResult.OK, AttemptResult.TIMEOUT) or elapsed_us > self.target_latency_us:
            self._learn_latency(now_us, attempt, elapsed_us, requests_wait)
        # A lost connection ejects no endpoint: a peer may close connections at any time.
        if result in (AttemptResult.REJECTED, AttemptResult.CONNECT_FAILED):
            self.concurrency_limit_units = self.settings.mean_request_units
            ejection_us = self.settings.connect_timeout_us * EJECTION_CONNECT_TIMEOUTS_COUNT
            self.ejected_until_us = now_us + ejection_us

    def _learn_latency(
        self, now_us: int, attempt: AttemptInFlight, elapsed_us: int, requests_wait: bool
    ) -> None:
        mean_units = self.settings.mean_request_units
        latency_ratio = elapsed_us / self.target_latency_us
        self.relative_latency.add(now_us, latency_ratio / max(attempt.request_units / mean_units, 1.0))
        if elapsed_us > self.target_latency_us:
            decrease = LATE_ANSWER_DECREASE_RATIO * min(latency_ratio - 1, 1.0) * attempt.reserved_units
            self.concurrency_limit_units = max(self.concurrency_limit_units - decrease, mean_units)
        elif requests_wait:
            increase = attempt.reserved_units * mean_units / self.concurrency_limit_units
            self.concurrency_limit_units = min(
                self.concurrency_limit_units + increase, self.max_concurrency_units()
            )
