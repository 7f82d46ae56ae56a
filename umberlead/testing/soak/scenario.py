"""The scenario of the soak test: settings of the fronts, limits for the judge, and failing system calls."""

import errno
from typing import Any

from umberlead.testing.soak.judge import MACHINE_SLACK_NS, Limits
from umberlead.testing.soak.plan import CLOCK_STEPS_SECONDS, Fault, Interval, Size

PORT = 8000
LISTS_PORT = 8003
OTHER_LISTS_PORT = 8004
# Ports of the admin API: each process of a front gets its own, so that a call reaches that very process.
FIRST_MANAGEMENT_PORT = 8010
MANAGEMENT_PORTS_COUNT = 50
# Last octet of the address of the first front, chunk server and proxy.
FRONT_HOST = 10
NODE_HOST = 50
PROXY_HOST = 120
CLIENT_PROCESS_RATE = 70.0  # requests per second of each client process
# SIGKILL follows SIGTERM after the longest request deadline, capped at 3 s, plus this grace period.
KILL_GRACE_SECONDS = 0.7
MAX_KILL_DEADLINE_SECONDS = 3.0
READY_SECONDS = 10.0  # time within which a restarted front must be ready
DRAINED_AFTER_SECONDS = 3.5  # from when all fronts know of a drain until the server is removed
RESOURCE_CHECK_SECONDS = 0.25  # between checks of descriptors and memory
DESCRIPTORS = 256
MEMORY_MB = 128
LOAD_CLIENTS = 440  # partial, slow or unread exchanges at one front
FLOOD_CLIENTS = 6
CROWD_CLIENTS = 140  # more clients than a front with DESCRIPTORS descriptors admits
MAX_DRIVER_LATE_SECONDS = MACHINE_SLACK_NS / 1e9  # the judge's tolerance; beyond it a verdict is invalid
COLD_UNITS = 24.0
COLD_SHARE = 0.2
MEAN_UNITS = 1.75
WARM_UP_SECONDS = 8.0
COLD_WINDOW_SECONDS = 2.0
PLAN = "basic"
UNSAFE_CLASS = "store"
SAFE_CLASS = "fetch"
ACCEPT_FAILS_SECONDS = 0.25  # short enough that requests still get a final answer in time
ACCEPT_ERRORS = (errno.ECONNABORTED, errno.ENFILE, errno.EMFILE, errno.ENOBUFS)
DIAL_ERRORS = (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS)
BREAK_ERRORS = (errno.ETIMEDOUT, errno.EHOSTUNREACH)
FOLDER_ERRORS = (errno.ENOSPC, errno.EIO)


def kill_delay_seconds(deadline_seconds: float) -> float:
    """Return the shortest delay between SIGTERM and SIGKILL on the platform."""
    return min(deadline_seconds, MAX_KILL_DEADLINE_SECONDS) + KILL_GRACE_SECONDS


def settings(size: Size, deadline_seconds: float) -> dict[str, Any]:
    """Return the settings of the run in the form in which the platform supplies them."""
    second = 1_000_000
    grades = [
        {
            "name": SAFE_CLASS,
            "aim": int(min(deadline_seconds, 1.0) * second),
            "hardLimit": int(deadline_seconds * second),
            "effect": "idempotent",
        },
        {
            "name": UNSAFE_CLASS,
            "aim": int(min(deadline_seconds, 1.0) * second),
            "hardLimit": int(deadline_seconds * second),
            "effect": "at_most_once",
            "credit": 2,
        },
    ]
    return {
        "instances": size.fronts,
        "grades": grades,
        "plans": [{"name": PLAN}],
        "bounds": {
            "maxAttempts": 3,
            "dialTimeout": 250_000,
            "maxRetryAfter": 500_000,
            "keepalive": 3 * second,
        },
        "callers": {"marksRetry": True},
        "guarantees": {
            "warmUp": int(WARM_UP_SECONDS * second),
            "coldShare": COLD_SHARE,
            "fallMultiple": 4,
            "overloadFor": int(COLD_WINDOW_SECONDS * second),
        },
        "extra": {"nShards": size.nodes, "meanUnits": MEAN_UNITS, "maxUnits": 3, "coldUnits": COLD_UNITS},
    }


def limits() -> Limits:
    """Return the limits that the settings of the run imply, for the judge."""
    window_ns = int(COLD_WINDOW_SECONDS * 1e9)
    return Limits(
        unsafe=frozenset((UNSAFE_CLASS,)),
        max_attempts=3,
        cold_requests=COLD_UNITS / MEAN_UNITS,
        cold_share=COLD_SHARE,
        cold_window_ns=window_ns,
        warm_up_ns=int(WARM_UP_SECONDS * 1e9),
        mean_units=MEAN_UNITS,
    )


def faults_of(interval: Interval) -> dict[str, int]:
    """Return the fields of `SystemFaults` that a fault in system calls sets, with their values."""

    def one_of(errors: tuple[int, ...]) -> int:
        return errors[int(interval.variant * len(errors)) % len(errors)]

    rate = 200 + int(800 * (interval.variant * 7 % 1))
    match interval.fault:
        case Fault.ACCEPT_FAILS:
            code = one_of(ACCEPT_ERRORS)
            passing = code == errno.ECONNABORTED  # any other error lasts for a while
            return {"accept_rate": rate if passing else 1000, "accept_errno": code}
        case Fault.CONNECT_FAILS:
            code = one_of(DIAL_ERRORS)
            call = "socket" if code == errno.ENOBUFS else "connect"
            return {f"{call}_rate": rate, f"{call}_errno": code}
        case Fault.SHORT_IO:
            return {"short_rate": 500, "eintr_rate": 100}
        case Fault.CONNECTIONS_BREAK:
            return {"break_rate": 100, "break_errno": one_of(BREAK_ERRORS)}
        case Fault.FOLDER_FAILS:
            return {"folder_rate": 1000, "folder_errno": one_of(FOLDER_ERRORS)}
        case _:
            steps = CLOCK_STEPS_SECONDS
            return {"clock_step_ns": int(steps[int(interval.variant * len(steps)) % len(steps)] * 1e9)}
