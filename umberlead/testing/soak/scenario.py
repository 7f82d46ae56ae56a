"""The scenario of the soak test: settings of the fronts, what they allow, and which system calls fail."""

import errno
from typing import Any

from umberlead.testing.soak.judge import Limits
from umberlead.testing.soak.plan import CLOCK_STEPS_SECONDS, Interval, Size, Trouble

PORT, MANAGEMENT_PORT, OTHER_MANAGEMENT_PORT, LISTS_PORT, OTHER_LISTS_PORT = 8000, 8001, 8002, 8003, 8004
FRONT_HOST, NODE_HOST, PROXY_HOST = 10, 50, 120  # last part of the addresses of the first of each
CLIENT_PROCESS_RATE = 70.0  # requests a second of each process of clients
DEADLINE_SECONDS, GRACE_SECONDS = (
    2.5,
    0.7,
)  # the longest deadline; more that the platform gives before SIGKILL
END_SECONDS = max(DEADLINE_SECONDS, 3.0) + GRACE_SECONDS + 0.5  # in which a front told to end has to
READY_SECONDS = 10.0  # in which a restarted front has to be ready
DRAINED_AFTER_SECONDS = 3.5  # after all fronts were told of a drain, until the server goes
LOOK_SECONDS = 0.25  # between looks at descriptors and memory
DESCRIPTORS, MEMORY_MB = 256, 128
COLD_UNITS, COLD_SHARE, MEAN_UNITS, WARM_UP_SECONDS, COLD_WINDOW_SECONDS = 24.0, 0.2, 1.75, 8.0, 2.0
UNSAFE_CLASS, SAFE_CLASS = "store", "fetch"
ACCEPT_FAILS_SECONDS = 0.25  # that none is accepted: a request has a final answer in time all the same
ACCEPT_ERRORS = (errno.ECONNABORTED, errno.ENFILE, errno.EMFILE, errno.ENOBUFS)
DIAL_ERRORS = (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS)
BREAK_ERRORS = (errno.ETIMEDOUT, errno.EHOSTUNREACH)
FOLDER_ERRORS = (errno.ENOSPC, errno.EIO)


def settings(size: Size) -> dict[str, Any]:
    """Return the settings of the run, as the platform gives them."""
    second = 1_000_000
    grades = [
        {
            "name": SAFE_CLASS,
            "aim": second,
            "hardLimit": int(DEADLINE_SECONDS * second),
            "effect": "idempotent",
        },
        {
            "name": UNSAFE_CLASS,
            "aim": second,
            "hardLimit": int(DEADLINE_SECONDS * second),
            "effect": "at_most_once",
            "credit": 2,
        },
    ]
    return {
        "instances": size.fronts,
        "grades": grades,
        "plans": [{"name": "basic"}],
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
    """Return what the settings of the run allow, for the judge."""
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
    """Return what a trouble with system calls changes of `SystemFaults`."""

    def one_of(errors: tuple[int, ...]) -> int:
        return errors[int(interval.variant * len(errors)) % len(errors)]

    rate = 200 + int(800 * (interval.variant * 7 % 1))
    match interval.trouble:
        case Trouble.ACCEPT_FAILS:
            code = one_of(ACCEPT_ERRORS)
            passing = code == errno.ECONNABORTED  # any other lasts for a while, and then is over
            return {"accept_rate": rate if passing else 1000, "accept_errno": code}
        case Trouble.CONNECT_FAILS:
            code = one_of(DIAL_ERRORS)
            call = "socket" if code == errno.ENOBUFS else "connect"
            return {f"{call}_rate": rate, f"{call}_errno": code}
        case Trouble.SHORT_IO:
            return {"short_rate": 500, "eintr_rate": 100}
        case Trouble.CONNECTIONS_BREAK:
            return {"break_rate": 100, "break_errno": one_of(BREAK_ERRORS)}
        case Trouble.FOLDER_FAILS:
            return {"folder_rate": 1000, "folder_errno": one_of(FOLDER_ERRORS)}
        case _:
            steps = CLOCK_STEPS_SECONDS
            return {"clock_step_ns": int(steps[int(interval.variant * len(steps)) % len(steps)] * 1e9)}
