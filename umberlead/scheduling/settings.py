"""Settings of the scheduler: request classes, plans, retry budget, slow start.

Times are whole microseconds. `validate_settings` checks settings from any source.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from umberlead.common.errors import UmberleadError


class InvalidSettingsError(UmberleadError, ValueError):
    """Invalid settings; the message names the class, the plan or the key."""


class Repeatability(Enum):
    """Whether a request that may have run can be sent again."""

    IDEMPOTENT = "safe"
    IDEMPOTENT_BY_KEY = "keyed"
    AT_MOST_ONCE = "unsafe"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests.

    Attributes:
        name: name in the settings.
        latency_objective_us: time in which an answer counts with the full priority weight.
        timeout_us: time after which clients give up.
        repeatability: whether a request that may have run can be sent again.
        deduplication_scope: the part of the system that drops repeats with the same idempotency key:
            "all", "zone" or "cell".
        deduplication_window_us: how long repeats are dropped.
        ordered: whether requests of one key run one at a time, in the order of their arrival.
        priority_weight: priority weight of a unit that is answered within the objective.
        late_priority_weight: priority weight of a unit that is answered later, before the timeout.
    """

    name: str
    latency_objective_us: int
    timeout_us: int
    repeatability: Repeatability = Repeatability.IDEMPOTENT
    deduplication_scope: str = "all"
    deduplication_window_us: int = 0
    ordered: bool = False
    priority_weight: float = 1.0
    late_priority_weight: float = 0.0


@dataclass(frozen=True, slots=True)
class Plan:
    """A customer's plan: the rates that each of its volumes has, over all fronts and endpoints.

    Attributes:
        name: name in the settings.
        weight: weight of the plan's share (W in the paper behind `controller.py`).
        usual_units_per_second: usual request rate of a volume.
        reserved_units_per_second: reserved rate, up to which requests have their full priority.
        priority_factor: factor on the priority weight of the request class.
        limit_units_per_second: rate limit; 0: no limit.
        limit_burst_units: capacity of the rate limit's token bucket.
        limit_slack_units: units by which the token bucket may be overdrawn.
    """

    name: str
    weight: float = 1.0
    usual_units_per_second: float = 0.0
    reserved_units_per_second: float = 0.0
    priority_factor: float = 1.0
    limit_units_per_second: float = 0.0
    limit_burst_units: float = 0.0
    limit_slack_units: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of a scheduler.

    Attributes:
        classes: request classes; at least one, with distinct names.
        plans: plans; at least one, with distinct names.
        front_count: number of fronts that share the endpoints.
        mean_request_units: mean size of a request.
        max_request_units: size of the largest request.
        within_share_factor: priority factor, up to 1, of units over the reserved rate and within the share.
        beyond_share_factor: priority factor, up to 1, of units over the share.
        max_attempts: maximum number of attempts for one request.
        cancellation_allowed: whether an attempt may be cancelled.
        connect_timeout_us: timeout for connecting to an endpoint.
        clients_mark_retries: whether clients mark their retries.
        max_retry_after_us: retry advice for rejected clients; 0: no advice.
        polls_endpoint_list: whether the scheduler has to request the endpoint list with `WatchEndpoints`.
        answer_grace_us: time by which an answer may come after the deadline.
        shard_count: number of shards, which are numbered from 0; 0: not known.
        slow_start_units: units in `slow_start_window_us` that a cold endpoint can always take; 0: no slow
            start.
        initial_capacity_ratio: part of its capacity, up to 1, that an endpoint has at its start.
        slow_start_overload_factor: multiple of its present capacity at which a cold endpoint fails.
        slow_start_window_us: window over which the load of a cold endpoint is counted.
        warm_up_us: time from an endpoint's start to its full capacity.
        ordering_pause_us: pause of a key whose last request may still be running.
        retry_budget_window_us: window over which retries are counted; 0: no retry budget.
        retry_budget_min_retries: retries that are always allowed in a window.
        retry_budget_ratio: further retries allowed in a window, per request.
    """

    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    front_count: int = 1
    mean_request_units: float = 1.0
    max_request_units: float = 1.0
    within_share_factor: float = 1.0
    beyond_share_factor: float = 1.0
    max_attempts: int = 1
    cancellation_allowed: bool = False
    connect_timeout_us: int = 250_000
    clients_mark_retries: bool = False
    max_retry_after_us: int = 0
    polls_endpoint_list: bool = False
    answer_grace_us: int = 0
    shard_count: int = 0
    slow_start_units: float = 0.0
    initial_capacity_ratio: float = 1.0
    slow_start_overload_factor: float = 1.0
    slow_start_window_us: int = 0
    warm_up_us: int = 0
    ordering_pause_us: int = 0
    retry_budget_window_us: int = 0
    retry_budget_min_retries: int = 0
    retry_budget_ratio: float = 0.0


def validate_settings(settings: Settings) -> None:
    """Check settings; NaN and infinite values are invalid.

    Raises:
        InvalidSettingsError: the settings are invalid.
    """
    if not settings.classes or not settings.plans:
        raise InvalidSettingsError("settings need at least one request class and one plan")
    _check_distinct([cls.name for cls in settings.classes])
    _check_distinct([plan.name for plan in settings.plans])
    for request_class in settings.classes:
        _check_class(request_class)
    for plan in settings.plans:
        _check_plan(plan)
    if settings.front_count < 1 or settings.max_attempts < 1:
        raise InvalidSettingsError("front_count and max_attempts must be at least 1")
    sizes = settings.mean_request_units, settings.max_request_units
    if not _are_valid_amounts(*sizes) or not all(sizes):
        raise InvalidSettingsError("mean_request_units and max_request_units must be above 0")


def _are_valid_amounts(*values: float) -> bool:
    return all(0 <= value < math.inf for value in values)


def _check_distinct(names: Sequence[str]) -> None:
    if len(set(names)) < len(names):
        raise InvalidSettingsError("names of classes and of plans must be distinct")


def _check_class(cls: RequestClass) -> None:
    if cls.latency_objective_us <= 0 or cls.timeout_us <= 0:
        raise InvalidSettingsError(f"class {cls.name}: aim and deadline must be above 0")
    if not _are_valid_amounts(cls.priority_weight, cls.late_priority_weight, cls.deduplication_window_us):
        raise InvalidSettingsError(f"class {cls.name}: worth and memory must not be negative")


def _check_plan(plan: Plan) -> None:
    if not _are_valid_amounts(plan.weight) or not plan.weight:
        raise InvalidSettingsError(f"plan {plan.name}: weight must be above 0")
    rates = plan.usual_units_per_second, plan.reserved_units_per_second, plan.priority_factor
    limit = plan.limit_units_per_second, plan.limit_burst_units, plan.limit_slack_units
    if not _are_valid_amounts(*rates, *limit):
        raise InvalidSettingsError(f"plan {plan.name}: rates must not be negative")
