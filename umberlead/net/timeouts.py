"""Timeouts of the states of a client connection, computed without I/O.

All times are whole microseconds of one monotonic clock.
"""

from dataclasses import dataclass

REQUEST_TIMEOUT_US = 2_500_000  # for a request, from the accept or from its first byte
MIN_BODY_TIMEOUT_US = 400_000  # for a body, from the end of its headers, even if these were late
LINGER_TIMEOUT_US = 300_000  # after the last response, so that the client receives it
WRITE_STALL_TIMEOUT_US = 30_000_000  # for a client that reads nothing of its response
SHORT_IDLE_TIMEOUT_US = 2_000_000  # for an idle connection, once over half of the slots are in use
MIN_BODY_BYTES_PER_S = 32_000  # minimum rate at which a body must be received
MIN_UPLOAD_BYTES_PER_S = 1_000  # rate below which a slow upload can be evicted
NO_TIMEOUT_US = 1 << 62


@dataclass(frozen=True, slots=True)
class RequestProgress:
    """How far a request has been read.

    Attributes:
        headers_complete: whether all headers have been read.
        body_since_us: when the headers were complete.
        body_bytes: size of the part of the body that has been read.
    """

    headers_complete: bool
    body_since_us: int
    body_bytes: int


def partial_request_timeout_us(progress: RequestProgress, state_since_us: int) -> int:
    """Return the timeout of a request that is being received, from `state_since_us`."""
    if not progress.headers_complete:
        return REQUEST_TIMEOUT_US
    after_headers_us = progress.body_since_us + MIN_BODY_TIMEOUT_US - state_since_us
    return max(REQUEST_TIMEOUT_US, after_headers_us) + progress.body_bytes * 1_000_000 // MIN_BODY_BYTES_PER_S


def connection_timeout_us(
    *,
    has_active_request: bool,
    ended: bool,
    progress: RequestProgress | None,
    has_served: bool,
    state_since_us: int,
    idle_timeout_us: int,
) -> int:
    """Return how long a connection may stay in its present state, from `state_since_us`.

    Args:
        has_active_request: a request is being responded to.
        ended: the last response was written, and the connection lingers.
        progress: how far the partially received request has been read; None without one.
        has_served: the connection has had at least one response.
        state_since_us: when the present state began.
        idle_timeout_us: how long an idle connection may stay.
    """
    if has_active_request:
        return NO_TIMEOUT_US
    if ended:
        return LINGER_TIMEOUT_US
    if progress is not None:
        return partial_request_timeout_us(progress, state_since_us)
    return idle_timeout_us if has_served else REQUEST_TIMEOUT_US


def idle_timeout_us(configured_us: int, connection_count: int, max_connections: int) -> int:
    """Return how long an idle connection may stay; a configured 0 means no limit."""
    timeout_us = configured_us or NO_TIMEOUT_US
    if connection_count > max_connections // 2:
        timeout_us = min(timeout_us, SHORT_IDLE_TIMEOUT_US)
    return timeout_us


def is_slow_upload(progress: RequestProgress | None, now_us: int) -> bool:
    """Return whether a body is received more slowly than `MIN_UPLOAD_BYTES_PER_S`, after a grace period."""
    if progress is None or not progress.headers_complete:
        return False
    allowed_us = REQUEST_TIMEOUT_US + progress.body_bytes * 1_000_000 // MIN_UPLOAD_BYTES_PER_S
    return progress.body_since_us + allowed_us <= now_us
