"""Settings of the scheduler: request classes, plans, retry budgets, slow start.

Times are whole microseconds. Nothing here decides anything.
"""

from dataclasses import dataclass
from enum import Enum


class Repeatability(Enum):
    """How far a request may be repeated."""

    IDEMPOTENT = "safe"
    IDEMPOTENT_BY_KEY = "keyed"
    AT_MOST_ONCE = "unsafe"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One kind of request."""

    name: str
    latency_objective_us: int
    timeout_us: int
    repeatability: Repeatability = Repeatability.IDEMPOTENT
    deduplication_scope: str = "all"  # of a keyed class: where repeats are dropped, "all", "zone" or "cell"
    deduplication_window_us: int = 0  # of a keyed class: how long repeats are dropped
    ordered: bool = False
    priority_weight: float = 1.0
    late_priority_weight: float = 0.0


@dataclass(frozen=True, slots=True)
class Plan:
    """What a volume on this plan is owed, over all heads and nodes."""

    name: str
    weight: float = 1.0
    usual_units_per_second: float = 0.0  # usual units a second
    reserved_units_per_second: float = 0.0  # units a second
    priority_factor: float = 1.0
    limit_units_per_second: float = 0.0  # units a second, 0: no limit
    limit_burst_units: float = 0.0
    limit_slack_units: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """All that a head is told at its start."""

    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    front_count: int = 1
    mean_request_units: float = 1.0
    max_request_units: float = 1.0
    within_share_factor: float = (
        1.0  # part of the worth that units beyond the reserve, within the share, earn
    )
    beyond_share_factor: float = 1.0  # the same beyond the share
    max_attempts: int = 1
    cancellation_allowed: bool = False
    connect_timeout_us: int = 250_000
    clients_mark_retries: bool = False  # clients mark their repeats
    max_retry_after_us: int = 0  # 0: clients are given no advice
    polls_endpoint_list: bool = False  # the node list has to be asked for
    answer_grace_us: int = 0
    shard_count: int = 0  # how many there are, counted from 0; 0: not told
    cold_start_units: float = 0.0
    cold_capacity_ratio: float = 1.0
    cold_overload_factor: float = 1.0
    cold_window_us: int = 0
    warm_up_us: int = 0
    ordering_pause_us: int = 0
    retry_budget_window_us: int = 0  # 0: no budget
    retry_budget_min_retries: int = 0
    retry_budget_ratio: float = 0.0


def validate_settings(settings: Settings) -> None:
    """Raise ValueError where settings make no sense, whoever made them; what is no number makes none."""

    def finite(*figures: float) -> bool:
        return all(0 <= f < float("inf") for f in figures)

    if not settings.classes or not settings.plans:
        raise ValueError("settings need at least one request class and one plan")
    for names in ([c.name for c in settings.classes], [p.name for p in settings.plans]):
        if len(set(names)) < len(names):
            raise ValueError("names of classes and of plans must differ")
    for cls in settings.classes:
        if cls.latency_objective_us <= 0 or cls.timeout_us <= 0:
            raise ValueError(f"class {cls.name}: aim and deadline must be above 0")
        if not finite(cls.priority_weight, cls.late_priority_weight, cls.deduplication_window_us):
            raise ValueError(f"class {cls.name}: worth and memory must not be negative")
    for plan in settings.plans:
        if not finite(plan.weight) or not plan.weight:
            raise ValueError(f"plan {plan.name}: weight must be above 0")
        limit = plan.limit_units_per_second, plan.limit_burst_units, plan.limit_slack_units
        if not finite(
            plan.usual_units_per_second, plan.reserved_units_per_second, plan.priority_factor, *limit
        ):
            raise ValueError(f"plan {plan.name}: rates must not be negative")
    if settings.front_count < 1 or settings.max_attempts < 1:
        raise ValueError("heads and max_attempts must be at least 1")
    units = settings.mean_request_units, settings.max_request_units
    if not finite(*units) or not all(units):
        raise ValueError("mean_units and max_units must be above 0")
