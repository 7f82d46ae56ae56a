"""Settings of a small deployment, with the figures of the example on the wire's page."""

from typing import Any


def grade(name: str, aim_ms: int, limit_ms: int, effect: str, credit: float) -> dict[str, Any]:
    """Return the settings of a class."""
    return {
        "name": name,
        "aim": aim_ms * 1000,
        "hardLimit": limit_ms * 1000,
        "effect": effect,
        "group": "all",
        "memorySpan": 5_000_000,
        "credit": credit,
        "lateWorth": 0.2,
        "stream": False,
    }


def plan(name: str, usual: float, reserved: float, factor: float) -> dict[str, Any]:
    """Return the settings of a plan without a limit."""
    return {
        "name": name,
        "usualRate": usual,
        "reservation": reserved,
        "valueFactor": factor,
        "weight": 1.0,
        "neverOver": 0.0,
        "mostAtOnce": 0.0,
        "capSlack": 0.0,
    }


def deployment(fronts: int, shards: int) -> dict[str, Any]:
    """Return the settings of a deployment like `gent-archive`."""
    return {
        "instances": fronts,
        "discovery": "push",
        "family": "stores",
        "azs": ["room-a"],
        "zone": "room-a",
        "tick": 2000,
        "tier": 0,
        "tiers": ["image-store"],
        "shapes": ["node-2c"],
        "weights": "rough",
        "bounds": {
            "cancel": True,
            "dialTimeout": 250_000,
            "keepalive": 15_000_000,
            "maxAttempts": 3,
            "maxRetryAfter": 500_000,
            "openCap": 20_000,
            "peers": False,
            "probes": False,
            "retryAfter": False,
            "secondCopies": False,
            "streamsPerConn": 1,
        },
        "callers": {"marksRetry": False},
        "extra": {
            "classWrites": [False, True, False],
            "coldUnits": 28.0,
            "meanUnits": 2.08,
            "maxUnits": 6,
            "nShards": shards,
            "fairWorth": 0.35,
            "idleWorth": 0.08,
        },
        "guarantees": {
            "coldShare": 0.17,
            "drainGrace": 1_000_000,
            "fallMultiple": 4.0,
            "graceToAnswer": 8000,
            "mustAskIn": 10_000_000,
            "overloadFor": 3_000_000,
            "warmUp": 16_000_000,
        },
        "loadReport": {"how": "answers", "fields": ["concurrent", "mean_ms"]},
        "grades": [
            grade("image-read", 300, 2000, "idempotent", 2.0),
            grade("image-upload", 600, 3000, "at_most_once", 2.0),
            grade("bulk-export", 2000, 6000, "idempotent", 1.0),
        ],
        "plans": [
            plan("basic", 6.1, 0.0, 0.8),
            plan("standard", 12.0, 9.6, 0.9),
            plan("priority", 15.0, 18.0, 1.4),
        ],
    }


def configuration(settings: dict[str, Any], known: dict[str, Any]) -> dict[str, Any]:
    """Return a front's configuration, without its name and addresses."""
    return {
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": known,
        "settings": settings,
    }
