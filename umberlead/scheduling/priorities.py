"""Priorities of waiting requests: the priority value, expected lateness and deferral on busy endpoints."""

from umberlead.scheduling.controller import Controller
from umberlead.scheduling.endpoint_state import EndpointState
from umberlead.scheduling.pending_request import PendingRequest
from umberlead.scheduling.rate_limits import RateLimits
from umberlead.scheduling.settings import Settings

MIN_SIZE_RATIO = 0.5  # minimum expected time, as a part of that of a request of mean size
MAX_EXPECTED_LATENCY_RATIO = 0.9  # of the objective, so that no request counts as late on arrival
RELAXED_LATENCY_RATIO = 0.5  # of the target latency; a slower endpoint gets no deferrable requests
DEFERRABLE_LATENCIES_COUNT = 6  # a request is deferrable until so many target latencies before its objective


class Priorities:
    """Computes priorities from class, plan, entitlement and the plans' present shares."""

    def __init__(self, settings: Settings, controller: Controller, rate_limits: RateLimits) -> None:
        """Use the weights of `settings`, the shares of `controller` and the entitlements of `rate_limits`."""
        self._settings = settings
        self._controller = controller
        self._rate_limits = rate_limits
        highest_weight = max(cls.priority_weight for cls in settings.classes)
        highest_factor = max(plan.priority_factor for plan in settings.plans)
        self._max_priority = highest_weight * highest_factor or 1.0

    def is_entitled(self, pending: PendingRequest, now_us: int) -> bool:
        """Return whether the volume's entitlement covers the units of a request."""
        entitlement = self._rate_limits[pending.request.volume].entitlement
        units = min(pending.request.units, entitlement.capacity_units)
        return not entitlement.wait_us(now_us, units)

    def priority(self, pending: PendingRequest, entitled: bool) -> float:
        """Return a request's priority, up to 1; beyond the entitlement, it depends on the plan's share."""
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
        """Return whether a request that is sent to an endpoint now is expected to miss its objective."""
        size_ratio = max(pending.request.units / self._settings.mean_request_units, MIN_SIZE_RATIO)
        expected_us = state.relative_latency.read(now_us) * state.target_latency_us * size_ratio
        objective_us = pending.request_class.latency_objective_us
        expected_us = min(expected_us, MAX_EXPECTED_LATENCY_RATIO * objective_us)
        return now_us + expected_us > pending.objective_at_us

    @staticmethod
    def should_defer(pending: PendingRequest, state: EndpointState, priority: float, now_us: int) -> bool:
        """Return whether to defer a request at a busy endpoint: it can wait, or its priority is too low."""
        latency_ratio = state.relative_latency.read(now_us)
        deferrable_us = DEFERRABLE_LATENCIES_COUNT * state.target_latency_us
        can_wait = latency_ratio > RELAXED_LATENCY_RATIO and now_us + deferrable_us < pending.objective_at_us
        return can_wait or priority < latency_ratio - 1
