"""What a waiting request is worth, whether it can be in time, and whether it yields its place to others."""

from umberlead.scheduling.controller import Controller
from umberlead.scheduling.endpoint_state import EndpointState
from umberlead.scheduling.pending_request import PendingRequest
from umberlead.scheduling.rate_limits import RateLimits
from umberlead.scheduling.settings import Settings

MIN_SIZE_RATIO = 0.5  # of a mean request's time, least that a smaller request is expected to take
MAX_EXPECTED_LATENCY_RATIO = 0.9  # of the objective, so that on arrival every request has a chance
RELAXED_LATENCY_RATIO = 0.5  # of the target latency, up to which an endpoint takes requests that can wait
DEFERRABLE_LATENCIES_COUNT = 6  # target latencies before its objective, up to which a request can wait


class Priorities:
    """Weighs requests by class, plan, entitlement and the plans' present shares."""

    def __init__(self, settings: Settings, controller: Controller, rate_limits: RateLimits) -> None:
        """Weigh by `settings`, the shares of `controller` and the entitlements of `rate_limits`."""
        self._settings = settings
        self._controller = controller
        self._rate_limits = rate_limits
        highest_weight = max(cls.priority_weight for cls in settings.classes)
        highest_factor = max(plan.priority_factor for plan in settings.plans)
        self._max_priority = highest_weight * highest_factor or 1.0

    def is_entitled(self, pending: PendingRequest, now_us: int) -> bool:
        """Tell whether its volume is still owed the units of a request."""
        entitlement = self._rate_limits[pending.request.volume].entitlement
        units = min(pending.request.units, entitlement.capacity_units)
        return not entitlement.wait_us(now_us, units)

    def priority(self, pending: PendingRequest, entitled: bool) -> float:
        """Return what a unit of a request is worth, to 1; beyond its entitlement, by its plan's share."""
        settings = self._settings
        entitlement_factor = 1.0
        if not entitled:
            index = pending.plan_index
            plan_share = self._controller.share[index] / self._controller.reference_shares[index]
            mean_factor = (settings.within_share_factor + settings.beyond_share_factor) / 2
            entitlement_factor = mean_factor * plan_share
        plan_factor = settings.plans[pending.plan_index].priority_factor
        return entitlement_factor * pending.request_class.priority_weight * plan_factor / self._max_priority

    def is_late(self, pending: PendingRequest, state: EndpointState, now_us: int) -> bool:
        """Tell whether a request sent to an endpoint now is expected to miss its objective."""
        size_ratio = max(pending.request.units / self._settings.mean_request_units, MIN_SIZE_RATIO)
        expected_us = state.relative_latency.read(now_us) * state.target_latency_us * size_ratio
        objective_us = pending.request_class.latency_objective_us
        expected_us = min(expected_us, MAX_EXPECTED_LATENCY_RATIO * objective_us)
        return now_us + expected_us > pending.objective_at_us

    @staticmethod
    def yields(pending: PendingRequest, state: EndpointState, priority: float, now_us: int) -> bool:
        """Tell whether a request leaves a busy endpoint to others: it can wait, or is worth too little."""
        pressure = state.relative_latency.read(now_us)
        deferrable_us = DEFERRABLE_LATENCIES_COUNT * state.target_latency_us
        can_wait = pressure > RELAXED_LATENCY_RATIO and now_us + deferrable_us < pending.objective_at_us
        return can_wait or priority < pressure - 1
