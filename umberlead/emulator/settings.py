"""Builds the fronts' settings for a day, under the platform's names, as a configuration file has them."""

from typing import Any

from umberlead.emulator.figures import Figures
from umberlead.load_generator.day import Day

SECOND_US = 1_000_000
# Fraction of the work that the coldest node bears in the overload window, allowed to all fronts together.
SLOW_START_PART = 0.5


def settings(of: Figures, day: Day, fronts: int, shards: int) -> dict[str, Any]:
    """Return the `settings` table, with units and times in the form that the platform uses."""
    rates = {v.plan: v.rate for v in day.volumes}
    asked = [r.units for r in day.requests]
    bears = of.cold.one("multiple") * of.cold.one("least") * day.power * of.cold.one("window_s")
    return {
        "instances": fronts,
        "tick": 2000,
        "bounds": {
            "maxAttempts": 3,
            "cancel": True,
            "dialTimeout": int(of.links.one("timeout_ms") * 1000),
            "keepalive": int(of.links.one("idle_s") * SECOND_US),
        },
        "extra": {
            "meanUnits": sum(asked) / max(len(asked), 1) or 1.0,
            "maxUnits": float(day.max_units),
            "nShards": shards,
            "fairWorth": of.worth.one("share"),
            "idleWorth": of.worth.one("spare"),
            "coldUnits": SLOW_START_PART * bears,
        },
        "guarantees": {
            "coldShare": of.cold.one("least"),
            "fallMultiple": of.cold.one("multiple"),
            "overloadFor": int(of.cold.one("window_s") * SECOND_US),
            "warmUp": int(of.cold.one("longest_s") * SECOND_US),
        },
        "loadReport": {"fields": ["inflight", "latency_ms"]},
        "grades": [
            {
                "name": k.name,
                "aim": k.latency_objective_us,
                "hardLimit": k.timeout_us,
                "effect": k.effect,
                "credit": k.priority_weight,
                "lateWorth": k.late_priority_weight,
            }
            for k in day.kinds
        ],
        "plans": [
            {
                "name": g.name,
                "weight": g.one("weight"),
                "usualRate": rates.get(g.name, 0.0),
                "reservation": g.one("reserve") * rates.get(g.name, 0.0),
                "valueFactor": g.one("price"),
            }
            for g in of.plans
        ],
    }
