"""Settings of the scheduler: request classes, plans, retry budget, slow start.

Times are whole microseconds. Where the settings come from is not known here; `validate_settings` checks them
whoever made them.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from umberlead.common.errors import UmberleadError


class InvalidSettingsError(UmberleadError, ValueError):
    """Settings that make no sense; the text names the class, plan or key."""


class Repeatability(Enum):
    """Whether a request may be repeated once it may have run."""

    IDEMPOTENT = "safe"
    IDEMPOTENT_BY_KEY = "keyed"
    AT_MOST_ONCE = "unsafe"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests.

    Attributes:
        name: as in the settings.
        latency_objective_us: in which an answer earns the full priority weight.
        timeout_us: after which clients give up.
        repeatability: whether it may be repeated.
        deduplication_scope: where repeats by an idempotency key are dropped: "all", "zone" or "cell".
        deduplication_window_us: how long they are.
        ordered: whether requests of one key run in the order they came.
        priority_weight: what a unit answered within the objective is worth.
        late_priority_weight: what it is worth later, before the timeout.
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
    """What a volume on this plan is owed, over all fronts and endpoints.

    Attributes:
        name: as in the settings.
        weight: of its share (the paper's W).
        usual_units_per_second: that a volume usually asks for.
        reserved_units_per_second: that earn their full weight.
        priority_factor: over the class's priority weight.
        limit_units_per_second: that may not be exceeded; 0: no limit.
        limit_burst_units: of the limit's bucket.
        limit_slack_units: by which the bucket may be overdrawn.
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
    """All that a scheduler is given at its start.

    Attributes:
        classes: one at least, by different names.
        plans: one at least, by different names.
        front_count: fronts that share the endpoints.
        mean_request_units: size of a mean request.
        max_request_units: size of the largest.
        within_share_factor: what units beyond the reserve, within the share, are worth, to 1.
        beyond_share_factor: the same beyond the share.
        max_attempts: of one request.
        cancellation_allowed: whether an attempt may be cancelled.
        connect_timeout_us: of a connection to an endpoint.
        clients_mark_retries: whether clients mark their retries.
        max_retry_after_us: advised to clients that are rejected; 0: none is given.
        polls_endpoint_list: whether the endpoint list has to be asked for.
        answer_grace_us: by which an answer may be late.
        shard_count: shards, counted from 0; 0: not known.
        slow_start_units: that a cold endpoint always bears in `slow_start_window_us`; 0: none is ever cold.
        initial_capacity_ratio: capacity at a start, to 1.
        slow_start_overload_factor: over its capacity, at which a cold endpoint fails.
        slow_start_window_us: in which that is counted.
        warm_up_us: from a start to full capacity.
        ordering_pause_us: of a key whose last request may still run.
        retry_budget_window_us: over which retries are counted; 0: no budget.
        retry_budget_min_retries: allowed in a window whatever comes.
        retry_budget_ratio: of requests, that may be retried beyond that.
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
    """Check settings, whoever made them; what is not a number makes no sense either.

    Raises:
        InvalidSettingsError: they make no sense.
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
        raise InvalidSettingsError("heads and max_attempts must be at least 1")
    sizes = settings.mean_request_units, settings.max_request_units
    if not _are_figures(*sizes) or not all(sizes):
        raise InvalidSettingsError("mean_units and max_units must be above 0")


def _are_figures(*values: float) -> bool:
    return all(0 <= value < math.inf for value in values)


def _check_distinct(names: Sequence[str]) -> None:
    if len(set(names)) < len(names):
        raise InvalidSettingsError("names of classes and of plans must differ")


def _check_class(cls: RequestClass) -> None:
    if cls.latency_objective_us <= 0 or cls.timeout_us <= 0:
        raise InvalidSettingsError(f"class {cls.name}: aim and deadline must be above 0")
    if not _are_figures(cls.priority_weight, cls.late_priority_weight, cls.deduplication_window_us):
        raise InvalidSettingsError(f"class {cls.name}: worth and memory must not be negative")


def _check_plan(plan: Plan) -> None:
    if not _are_figures(plan.weight) or not plan.weight:
        raise InvalidSettingsError(f"plan {plan.name}: weight must be above 0")
    rates = plan.usual_units_per_second, plan.reserved_units_per_second, plan.priority_factor
    limit = plan.limit_units_per_second, plan.limit_burst_units, plan.limit_slack_units
    if not _are_figures(*rates, *limit):
        raise InvalidSettingsError(f"plan {plan.name}: rates must not be negative")
