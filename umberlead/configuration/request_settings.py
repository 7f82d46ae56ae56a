"""Parses the scheduler's settings, which the platform, operators' files and the simulator all provide."""

from collections.abc import Mapping, Sequence
from typing import Any

from umberlead.configuration.errors import ConfigError
from umberlead.configuration.keys import Keys
from umberlead.scheduling.settings import Plan, Repeatability, RequestClass, Settings, validate_settings

REPEATABILITY_BY_EFFECT = {
    "idempotent": Repeatability.IDEMPOTENT,
    "deduplicated": Repeatability.IDEMPOTENT_BY_KEY,
    "at_most_once": Repeatability.AT_MOST_ONCE,
}
DEDUPLICATION_SCOPES = {name: name for name in ("all", "zone", "cell")}
POLLS_ENDPOINT_LIST_BY_MODE = {"push": False, "ask": True}
SETTINGS_TABLES = ("bounds", "callers", "extra", "guarantees", "loadReport")
# No response arrives in less than this time, and fractions of a shorter time round to 0.
MIN_DURATION_US = 1000
# The smallest value of a setting used as a divisor, so that the quotient of two settings is bounded.
MIN_DIVISOR = 1e-9
MAX_SHARD_COUNT = 1 << 20


def parse_settings(values: Mapping[str, Any]) -> Settings:
    """Return the settings given by dotted paths; unknown paths are ignored.

    Raises:
        ConfigError: A value is missing, of the wrong type or out of range, or values contradict each other.
    """
    keys = Keys(values, "settings")
    for name in SETTINGS_TABLES:
        keys.table(name)
    classes = tuple(_request_class(keys, index) for index in keys.table_indexes("grades"))
    plans = tuple(_plan(keys, index) for index in keys.table_indexes("plans"))
    _reject_duplicates(keys, "grades", [request_class.name for request_class in classes])
    _reject_duplicates(keys, "plans", [plan.name for plan in plans])
    settings = _settings(keys, classes, plans)
    try:
        validate_settings(settings)
    except ValueError as error:
        raise ConfigError("settings", str(error)) from None
    return settings


def _request_class(keys: Keys, index: int) -> RequestClass:
    path = f"grades.{index}"
    return RequestClass(
        name=keys.text(f"{path}.name"),
        latency_objective_us=keys.integer(f"{path}.aim", None, MIN_DURATION_US),
        timeout_us=keys.integer(f"{path}.hardLimit", None, MIN_DURATION_US),
        repeatability=keys.choice(f"{path}.effect", REPEATABILITY_BY_EFFECT, "at_most_once"),
        deduplication_scope=keys.choice(f"{path}.group", DEDUPLICATION_SCOPES, "cell"),
        deduplication_window_us=_deduplication_window_us(keys, path),
        ordered=keys.flag(f"{path}.sequential"),
        priority_weight=keys.number(f"{path}.credit", 1),
        late_priority_weight=keys.number(f"{path}.lateWorth", 0),
    )


def _deduplication_window_us(keys: Keys, path: str) -> int:
    """Return how long endpoints deduplicate the requests of a class; 0 if the front must not rely on it.

    The scheduler does not choose endpoints by zone. If deduplication works only within one zone and there is
    not exactly one zone, a request that may have run is therefore never sent again.
    """
    window_us = keys.integer(f"{path}.memorySpan", 0)
    within_one_zone = keys.raw(f"{path}.group") == "zone"
    return 0 if within_one_zone and len(keys.texts("azs")) != 1 else window_us


def _plan(keys: Keys, index: int) -> Plan:
    path = f"plans.{index}"
    return Plan(
        name=keys.text(f"{path}.name"),
        weight=keys.number(f"{path}.weight", 1, MIN_DIVISOR),
        usual_units_per_second=keys.number(f"{path}.usualRate", 0),
        reserved_units_per_second=keys.number(f"{path}.reservation", 0),
        priority_factor=keys.number(f"{path}.valueFactor", 1),
        limit_units_per_second=keys.zero_or_number(f"{path}.neverOver", MIN_DIVISOR),
        limit_burst_units=keys.number(f"{path}.mostAtOnce", 0),
        limit_slack_units=keys.number(f"{path}.capSlack", 0),
    )


def _reject_duplicates(keys: Keys, table: str, names: Sequence[str]) -> None:
    for index, name in enumerate(names):
        if name in names[:index]:
            raise keys.error(f"{table}.{index}.name", f"is there twice: {name!r}")


def _settings(keys: Keys, classes: tuple[RequestClass, ...], plans: tuple[Plan, ...]) -> Settings:
    warm_up_us = keys.integer("guarantees.warmUp", 0)
    slow_start_units = keys.number("extra.coldUnits", 0)
    return Settings(
        classes=classes,
        plans=plans,
        front_count=keys.integer("instances", 1, 1),
        mean_request_units=keys.number("extra.meanUnits", 1, MIN_DIVISOR),
        max_request_units=keys.number("extra.maxUnits", 1, MIN_DIVISOR),
        within_share_factor=keys.number("extra.fairWorth", 1),
        beyond_share_factor=keys.number("extra.idleWorth", 1),
        max_attempts=keys.integer("bounds.maxAttempts", 1, 1),
        cancellation_allowed=keys.flag("bounds.cancel"),
        connect_timeout_us=keys.integer("bounds.dialTimeout", 0),
        clients_mark_retries=keys.flag("callers.marksRetry"),
        max_retry_after_us=keys.integer("bounds.maxRetryAfter", 0) if keys.flag("bounds.retryAfter") else 0,
        polls_endpoint_list=keys.choice("discovery", POLLS_ENDPOINT_LIST_BY_MODE, "push"),
        answer_grace_us=keys.integer("guarantees.graceToAnswer", 0),
        shard_count=keys.integer("extra.nShards", 0, 0, MAX_SHARD_COUNT),
        # Without a warm-up time, no endpoint counts as cold.
        slow_start_units=slow_start_units if warm_up_us else 0.0,
        initial_capacity_ratio=keys.number("guarantees.coldShare", 1, 0, 1),
        slow_start_overload_factor=keys.number("guarantees.fallMultiple", 1),
        slow_start_window_us=keys.integer("guarantees.overloadFor", 0),
        warm_up_us=warm_up_us,
        ordering_pause_us=keys.integer("guarantees.orderPause", 0),
        retry_budget_window_us=keys.integer("guarantees.resendSpan", 0),
        retry_budget_min_retries=keys.integer("guarantees.freeResends", 0),
        retry_budget_ratio=keys.number("guarantees.resendRatio", 0),
    )
